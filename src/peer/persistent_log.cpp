// Carries out the module's actions on the files. A record or delivery state is written before any message
// acknowledges it.

#include "peer/persistent_log.h"

#include <algorithm>

namespace rockcrank::peer {

using namespace latest;

namespace {
// Per step of a compaction, so that a turn never waits for a whole one.
constexpr std::size_t max_compaction_bytes_per_turn = 1 << 16;
constexpr std::size_t max_log_lines = 16;  // per turn
}  // namespace

PersistentLog::PersistentLog(std::unique_ptr<FileSystem> files, const std::string& where,
                             const fleet::Roster& roster, fleet::MemberId self,
                             const LatestSettings& settings, std::size_t cache_bytes, std::uint64_t seed,
                             Millis now, Millis wall)
    : module_(CompactedLog::make(roster, self, settings, seed)) {
  module_->begin_turn(now, wall);
  Segments::RecoveryCallbacks callbacks;
  callbacks.on_segment = [this](SegmentId id, StreamId stream, bool sealed) {
    module_->add_segment(id, stream, sealed);
  };
  callbacks.on_record = [this](const Record& record, const LogLocation& location) {
    module_->on_recovered(header_of(record), location);
  };
  callbacks.on_delivery_state = [this](const DeliveryState& state, const LogLocation& location) {
    module_->on_recovered(state, location);
  };
  callbacks.on_damaged_file = [this](const fleet::BadStateFile& error) { report(error.what()); };
  segments_ = std::make_unique<Segments>(
      std::move(files), where, Segments::Limits{settings.segment_bytes, settings.max_disk_bytes, cache_bytes},
      callbacks);
}

void PersistentLog::report(const std::string& line) {
  if (log_.size() < max_log_lines && std::ranges::find(log_, line) == log_.end()) log_.push_back(line);
}

bool PersistentLog::persist(const RecordHeader& header, const Record& record, bool is_local) {
  try {
    module_->on_record_stored(header, segments_->append(record), is_local);
    return true;
  } catch (const fleet::StorageUnavailable& error) {
    if (is_local) throw;
    report(error.what());
    return false;
  }
}

HybridTimestamp PersistentLog::append_local(Record record) {
  auto timestamp = module_->next_timestamp(record.stream, key_hash(record.key));
  if (!timestamp)
    throw fleet::VersionAhead("this relay's clock is behind the versions that it has already assigned",
                              "stream document",
                              "set the clock; until then stream documents are answered -BUSY");
  record.timestamp = *timestamp;
  persist(header_of(record), record, true);
  return *timestamp;
}

std::optional<Record> PersistentLog::read(StreamId stream, const KeyHash& key) {
  auto location = module_->newest_location(stream, key);
  if (!location) return std::nullopt;
  try {
    return segments_->read(*location);
  } catch (const fleet::BadStateFile& error) {
    report(error.what());
    module_->on_record_unreadable(stream, key, *location);
    return std::nullopt;
  }
}

void PersistentLog::on_message(fleet::MemberId from, const LatestMessage& message) {
  bool all_persisted = true;
  auto sender = std::to_string(static_cast<std::uint64_t>(from));
  for (const auto& record : message.records) {
    auto header = header_of(record);
    auto check = module_->check_record(header);
    if (check == RecordCheck::newer) {
      all_persisted &= persist(header, record, false);
    } else if (check == RecordCheck::too_far_ahead) {
      all_persisted = false;
      report(fleet::VersionAhead(
                 "a version too far ahead was refused", "from member " + sender,
                 "synchronise the clocks of the two relays; the record is sent again automatically")
                 .what());
    } else if (check == RecordCheck::conflict_keep_local || check == RecordCheck::conflict_replace_local) {
      // Conflicts are reported: both records are kept, and all relays choose the same one.
      auto local_record = read(header.stream, header.key);
      segments_->save_conflicting_record(
          check == RecordCheck::conflict_keep_local ? record : local_record.value_or(record));
      if (check == RecordCheck::conflict_replace_local) all_persisted &= persist(header, record, false);
      report(fleet::VersionConflict("two records of equal version and other content, ids " + record.id +
                                        " and " + (local_record ? local_record->id : "?"),
                                    "key " + record.key + ", from member " + sender,
                                    "both are kept, one in the file 'aside'; check whether a restored "
                                    "machine image runs beside the original")
                 .what());
    }
  }
  module_->on_message(from, message, all_persisted);
}

void PersistentLog::compact(SegmentId segment) {
  auto step = segments_->compact_step(
      segment, max_compaction_bytes_per_turn,
      [this](const RecordHeader& header, const LogLocation& location) {
        return module_->is_live(header, location);
      },
      [this](const DeliveryState& state, SegmentId id) { return module_->is_live(state, id); });
  if (step.progress == Segments::Progress::done) module_->on_compacted(segment, step.moved, step.dropped);
  else if (step.progress == Segments::Progress::failed) module_->on_compaction_failed(segment, step.moved);
}

PersistentLog::Actions PersistentLog::decide() {
  auto actions = module_->decide();
  bool persisted = true;
  for (const auto& state : actions.delivery_states) {
    if (!persisted) break;
    try {
      module_->on_delivery_state_stored(state, segments_->append(state));
    } catch (const fleet::StorageUnavailable& error) { report(error.what()), persisted = false; }
  }
  Actions result;
  for (auto& send : actions.sends) {
    if (send.acknowledges && !persisted)
      continue;  // it would acknowledge delivery states that were not written
    for (const auto& [stream, key] : send.records)
      if (auto record = read(stream, key)) send.message.records.push_back(std::move(*record));
    result.sends.push_back({send.to, std::move(send.message)});
  }
  result.deliver = std::move(actions.deliver), result.withdraw = std::move(actions.withdraw);
  result.replicated = std::move(actions.replicated), result.wake_in = actions.wake_in;
  result.log = std::move(actions.log);
  if (actions.compact) compact(*actions.compact), result.wake_in = std::min(result.wake_in, 1.0);
  for (auto& line : std::exchange(log_, {})) result.log.push_back(std::move(line));
  return result;
}

}  // namespace rockcrank::peer
