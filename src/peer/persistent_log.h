// Owns one relay's log per key as a whole: the module that decides (latest/latest.h) over the files
// (segments.h). It must never decide itself, nor know of the relay, the link or a clock: its host brings
// messages and times, and carries documents.
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
  // Reads the files; what is wrong with them is said in the first turn's log. Throws NoRoom where not even
  // the manifest can be written.
  PersistentLog(std::unique_ptr<FileSystem> files, const std::string& where, const fleet::Roster& roster,
                fleet::MemberId self, const latest::LatestSettings& settings, std::size_t cache_bytes,
                std::uint64_t seed, Millis now, Millis wall);

  latest::CompactedLog& module() { return *module_; }
  const latest::CompactedLog& module() const { return *module_; }
  const Segments& segments() const { return *segments_; }

  void begin_turn(Millis now, Millis wall) { module_->begin_turn(now, wall); }
  // A document taken on here, its stamp left out; it outlives the process from here on. Throws NoRoom and
  // VersionAhead, and then it is not in the log.
  latest::HybridTimestamp append_local(latest::Record record);
  void on_message(fleet::MemberId from, const latest::LatestMessage& message);
  // The newest of a key; none: nothing is held, or it cannot be read (then it comes again from others).
  std::optional<latest::Record> read(latest::StreamId stream, const latest::KeyHash& key);
  Actions decide();

 private:
  void report(const std::string& line);
  bool keep(const latest::RecordHeader& entry, const latest::Record& record, bool own);
  void compact(latest::SegmentId segment);

  std::unique_ptr<latest::CompactedLog> module_;
  std::unique_ptr<Segments> segments_;
  std::vector<std::string> log_;
};

}  // namespace rockcrank::peer
