// What the module says, done with files, in the order that keeps promises: what is noted is written before it
// is said to be. latest_log.h says what is owned.

#include "peer/latest_log.h"

#include <algorithm>

namespace rockcrank::peer {

using namespace latest;

namespace {
constexpr std::size_t copied_in_a_turn = 1
                                         << 16;  // bytes of a compaction: a turn never waits for a whole one
constexpr std::size_t lines_most = 16;           // of a turn
}  // namespace

LatestLog::LatestLog(std::unique_ptr<Files> files, const std::string& where, const fleet::Roster& roster,
                     fleet::MemberId self, const LatestSettings& settings, std::size_t cache_bytes,
                     std::uint64_t seed, Millis now, Millis wall)
    : module_(Latest::make(roster, self, settings, seed)) {
  module_->begin(now, wall);
  Segments::Taker taker;
  taker.segment = [this](SegmentId id, StreamId stream, bool sealed) {
    module_->segment(id, stream, sealed);
  };
  taker.record = [this](const Record& record, const Place& place) {
    module_->recovered(entry_of(record), place);
  };
  taker.mark = [this](const Mark& mark, const Place& place) { module_->recovered(mark, place); };
  taker.bad = [this](const fleet::BadStateFile& error) { report(error.what()); };
  segments_ = std::make_unique<Segments>(
      std::move(files), where, Segments::Limits{settings.segment_bytes, settings.disk_bytes, cache_bytes},
      taker);
}

void LatestLog::report(const std::string& line) {
  if (log_.size() < lines_most && std::ranges::find(log_, line) == log_.end()) log_.push_back(line);
}

bool LatestLog::keep(const Entry& entry, const Record& record, bool own) {
  try {
    module_->stored(entry, segments_->append(record), own);
    return true;
  } catch (const fleet::StorageUnavailable& error) {
    if (own) throw;
    report(error.what());
    return false;
  }
}

Stamp LatestLog::take(Record record) {
  auto stamp = module_->stamp(record.stream, key_hash(record.key));
  if (!stamp)
    throw fleet::VersionAhead("this relay's clock has gone back behind its own versions", "stream document",
                              "set the clock; until then documents of streams are told to come again");
  record.stamp = *stamp;
  keep(entry_of(record), record, true);
  return *stamp;
}

std::optional<Record> LatestLog::read(StreamId stream, const KeyHash& key) {
  auto place = module_->newest(stream, key);
  if (!place) return std::nullopt;
  try {
    return segments_->read(*place);
  } catch (const fleet::BadStateFile& error) {
    report(error.what());
    module_->lost(stream, key, *place);
    return std::nullopt;
  }
}

void LatestLog::heard(fleet::MemberId from, const LatestMessage& message) {
  bool kept_all = true;
  auto sender = std::to_string(static_cast<std::uint64_t>(from));
  for (const auto& record : message.records) {
    auto entry = entry_of(record);
    auto verdict = module_->judge(entry);
    if (verdict == Verdict::newer) {
      kept_all &= keep(entry, record, false);
    } else if (verdict == Verdict::ahead) {
      kept_all = false;
      report(fleet::VersionAhead("a version too far ahead was refused", "from member " + sender,
                                 "set the clocks of that relay and of this one; it is sent again by itself")
                 .what());
    } else if (verdict == Verdict::differs || verdict == Verdict::replaces) {
      // Never silent: both are kept, and all relays choose the same one.
      auto here = read(entry.stream, entry.key);
      segments_->set_aside(verdict == Verdict::differs ? record : here.value_or(record));
      if (verdict == Verdict::replaces) kept_all &= keep(entry, record, false);
      report(fleet::VersionConflict(
                 "two records of equal version and other content, ids " + record.id + " and " +
                     (here ? here->id : "?"),
                 "key " + record.key + ", from member " + sender,
                 "both are in the file aside; see whether a machine image was restored beside "
                 "its former self")
                 .what());
    }
  }
  module_->heard(from, message, kept_all);
}

void LatestLog::compact(SegmentId segment) {
  auto step = segments_->copy_on(
      segment, copied_in_a_turn,
      [this](const Entry& entry, const Place& place) { return module_->keeps(entry, place); },
      [this](const Mark& mark, SegmentId id) { return module_->keeps(mark, id); });
  if (step.progress == Segments::Progress::done) module_->compacted(segment, step.moved, step.dropped);
  else if (step.progress == Segments::Progress::failed) module_->not_compacted(segment, step.moved);
}

LatestLog::Decided LatestLog::decide() {
  auto decided = module_->decide();
  bool kept = true;
  for (const auto& mark : decided.marks) {
    if (!kept) break;
    try {
      module_->mark_kept(mark, segments_->append(mark));
    } catch (const fleet::StorageUnavailable& error) { report(error.what()), kept = false; }
  }
  Decided done;
  for (auto& out : decided.sends) {
    if (out.notes && !kept) continue;  // it would say that marks are kept
    for (const auto& [stream, key] : out.records)
      if (auto record = read(stream, key)) out.message.records.push_back(std::move(*record));
    done.sends.push_back({out.to, std::move(out.message)});
  }
  done.deliver = std::move(decided.deliver), done.withdraw = std::move(decided.withdraw);
  done.copied = std::move(decided.copied), done.wake_in = decided.wake_in;
  done.log = std::move(decided.log);
  if (decided.compact) compact(*decided.compact), done.wake_in = std::min(done.wake_in, 1.0);
  for (auto& line : std::exchange(log_, {})) done.log.push_back(std::move(line));
  return done;
}

}  // namespace rockcrank::peer
