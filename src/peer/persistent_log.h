// One relay's compacted log: the module that decides (latest/latest.h) on segment files (segments.h). It does
// not depend on the relay, the link or a clock; its host passes in messages and times and delivers documents.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "latest/latest.h"
#include "peer/segments.h"

namespace rockcrank::peer {

class PersistentLog {
 public:
  struct Actions {
    std::vector<std::pair<fleet::MemberId, latest::LatestMessage>> sends;
    std::vector<latest::CompactedLog::Delivery> deliver, withdraw;
    std::vector<std::pair<latest::StreamId, latest::HybridTimestamp>> replicated;
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  // Reads the files; their faults are in the first turn's log lines. Throws StorageUnavailable if the
  // manifest cannot be written.
  PersistentLog(std::unique_ptr<FileSystem> files, const std::string& where, const fleet::Roster& roster,
                fleet::MemberId self, const latest::LatestSettings& settings, std::size_t cache_bytes,
                std::uint64_t seed, Millis now, Millis wall);

  latest::CompactedLog& module() { return *module_; }
  const latest::CompactedLog& module() const { return *module_; }
  const Segments& segments() const { return *segments_; }

  void begin_turn(Millis now, Millis wall) { module_->begin_turn(now, wall); }
  // Appends a document accepted here and assigns its timestamp; it then survives the process. If this throws
  // StorageUnavailable or VersionAhead, the document is not in the log.
  latest::HybridTimestamp append_local(latest::Record record);
  void on_message(fleet::MemberId from, const latest::LatestMessage& message);
  // Returns the newest record of a key; nothing if there is none or it cannot be read (it is then fetched
  // from other relays).
  std::optional<latest::Record> read(latest::StreamId stream, const latest::KeyHash& key);
  Actions decide();

 private:
  void report(const std::string& line);
  bool persist(const latest::RecordHeader& header, const latest::Record& record, bool is_local);
  void compact(latest::SegmentId segment);

  std::unique_ptr<latest::CompactedLog> module_;
  std::unique_ptr<Segments> segments_;
  std::vector<std::string> log_;
};

}  // namespace rockcrank::peer
