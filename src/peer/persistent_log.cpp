// What the module says, done with files, in the order that keeps promises: what is noted is written before it
// is said to be. latest_log.h says what is owned.

#include "peer/persistent_log.h"

#include <algorithm>

namespace rockcrank::peer {

using namespace latest;

namespace {
constexpr std::size_t copied_in_a_turn = 1
                                         << 16;  // bytes of a compaction: a turn never waits for a whole one
constexpr std::size_t lines_most = 16;           // of a turn
}  // namespace

PersistentLog::PersistentLog(std::unique_ptr<FileSystem> files, const std::string& where,
                             const fleet::Roster& roster, fleet::MemberId self,
                             const LatestSettings& settings, std::size_t cache_bytes, std::uint64_t seed,
                             Millis now, Millis wall)
    : module_(CompactedLog::make(roster, self, settings, seed)) {
  module_->begin_turn(now, wall);
  Segments::RecoveryCallbacks taker;
  taker.on_segment = [this](SegmentId id, StreamId stream, bool sealed) {
    module_->add_segment(id, stream, sealed);
  };
  taker.on_record = [this](const Record& record, const LogLocation& place) {
    module_->on_recovered(header_of(record), place);
  };
  taker.on_delivery_state = [this](const DeliveryState& mark, const LogLocation& place) {
    module_->on_recovered(mark, place);
  };
  taker.on_damaged_file = [this](const fleet::BadStateFile& error) { report(error.what()); };
  segments_ = std::make_unique<Segments>(
      std::move(files), where, Segments::Limits{settings.segment_bytes, settings.max_disk_bytes, cache_bytes},
      taker);
}

void PersistentLog::report(const std::string& line) {
  if (log_.size() < lines_most && std::ranges::find(log_, line) == log_.end()) log_.push_back(line);
}

bool PersistentLog::keep(const RecordHeader& entry, const Record& record, bool own) {
  try {
    module_->on_record_stored(entry, segments_->append(record), own);
    return true;
  } catch (const fleet::StorageUnavailable& error) {
    if (own) throw;
    report(error.what());
    return false;
  }
}

HybridTimestamp PersistentLog::append_local(Record record) {
  auto stamp = module_->next_timestamp(record.stream, key_hash(record.key));
  if (!stamp)
    throw fleet::VersionAhead("this relay's clock has gone back behind its own versions", "stream document",
                              "set the clock; until then documents of streams are told to come again");
  record.timestamp = *stamp;
  keep(header_of(record), record, true);
  return *stamp;
}

std::optional<Record> PersistentLog::read(StreamId stream, const KeyHash& key) {
  auto place = module_->newest_location(stream, key);
  if (!place) return std::nullopt;
  try {
    return segments_->read(*place);
  } catch (const fleet::BadStateFile& error) {
    report(error.what());
    module_->on_record_unreadable(stream, key, *place);
    return std::nullopt;
  }
}

void PersistentLog::on_message(fleet::MemberId from, const LatestMessage& message) {
  bool kept_all = true;
  auto sender = std::to_string(static_cast<std::uint64_t>(from));
  for (const auto& record : message.records) {
    auto entry = header_of(record);
    auto verdict = module_->check_record(entry);
    if (verdict == RecordCheck::newer) {
      kept_all &= keep(entry, record, false);
    } else if (verdict == RecordCheck::too_far_ahead) {
      kept_all = false;
      report(fleet::VersionAhead("a version too far ahead was refused", "from member " + sender,
                                 "set the clocks of that relay and of this one; it is sent again by itself")
                 .what());
    } else if (verdict == RecordCheck::conflict_keep_local ||
               verdict == RecordCheck::conflict_replace_local) {
      // Never silent: both are kept, and all relays choose the same one.
      auto here = read(entry.stream, entry.key);
      segments_->save_conflicting_record(verdict == RecordCheck::conflict_keep_local ? record
                                                                                     : here.value_or(record));
      if (verdict == RecordCheck::conflict_replace_local) kept_all &= keep(entry, record, false);
      report(fleet::VersionConflict(
                 "two records of equal version and other content, ids " + record.id + " and " +
                     (here ? here->id : "?"),
                 "key " + record.key + ", from member " + sender,
                 "both are in the file aside; see whether a machine image was restored beside "
                 "its former self")
                 .what());
    }
  }
  module_->on_message(from, message, kept_all);
}

void PersistentLog::compact(SegmentId segment) {
  auto step = segments_->compact_step(
      segment, copied_in_a_turn,
      [this](const RecordHeader& entry, const LogLocation& place) { return module_->is_live(entry, place); },
      [this](const DeliveryState& mark, SegmentId id) { return module_->is_live(mark, id); });
  if (step.progress == Segments::Progress::done) module_->on_compacted(segment, step.moved, step.dropped);
  else if (step.progress == Segments::Progress::failed) module_->on_compaction_failed(segment, step.moved);
}

PersistentLog::Actions PersistentLog::decide() {
  auto decided = module_->decide();
  bool kept = true;
  for (const auto& mark : decided.delivery_states) {
    if (!kept) break;
    try {
      module_->on_delivery_state_stored(mark, segments_->append(mark));
    } catch (const fleet::StorageUnavailable& error) { report(error.what()), kept = false; }
  }
  Actions done;
  for (auto& out : decided.sends) {
    if (out.acknowledges && !kept) continue;  // it would say that marks are kept
    for (const auto& [stream, key] : out.records)
      if (auto record = read(stream, key)) out.message.records.push_back(std::move(*record));
    done.sends.push_back({out.to, std::move(out.message)});
  }
  done.deliver = std::move(decided.deliver), done.withdraw = std::move(decided.withdraw);
  done.replicated = std::move(decided.replicated), done.wake_in = decided.wake_in;
  done.log = std::move(decided.log);
  if (decided.compact) compact(*decided.compact), done.wake_in = std::min(done.wake_in, 1.0);
  for (auto& line : std::exchange(log_, {})) done.log.push_back(std::move(line));
  return done;
}

}  // namespace rockcrank::peer
