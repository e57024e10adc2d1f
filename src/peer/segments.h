// Owns the files of the log per key: segments of framed records with check sums (xxHash), and the manifest
// that says which segments count. It must never decide what is compacted or which record counts, never lose a
// record that was appended whatever step a crash or a full disk meets, and never grow past the room it was
// given.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/errors.h"
#include "latest/latest.h"

namespace rockcrank::peer {

// The file system, as far as segments need it; tests put one in its place that stops between any two steps.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual std::vector<std::string> list() = 0;
  virtual std::optional<std::string> read(const std::string& name, std::size_t offset, std::size_t bytes) = 0;
  virtual std::optional<std::size_t> size(const std::string& name) = 0;             // none: no such file
  virtual std::size_t append(const std::string& name, std::string_view bytes) = 0;  // as many as fit
  virtual bool truncate(const std::string& name, std::size_t size) = 0;
  virtual bool sync(const std::string& name) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool remove(const std::string& name) = 0;
};
std::unique_ptr<FileSystem> make_disk_file_system(const std::string& folder);  // made, if it is not there

latest::KeyHash key_hash(std::string_view key);
latest::RecordHeader header_of(const latest::Record& record);

class Segments {
 public:
  struct Limits {
    std::size_t segment_bytes = 0, disk_bytes = 0, cache_bytes = 0;
  };
  struct RecoveryCallbacks {
    std::function<void(latest::SegmentId, latest::StreamId, bool sealed)> on_segment;
    std::function<void(const latest::Record&, const latest::LogLocation&)> on_record;
    std::function<void(const latest::DeliveryState&, const latest::LogLocation&)> on_delivery_state;
    // A file that is damaged, foreign or of the future: it is set aside, with what could be read saved first.
    std::function<void(const fleet::BadStateFile&)> on_damaged_file;
  };

  // Reads all. Throws NoRoom where not even the manifest can be written.
  Segments(std::unique_ptr<FileSystem> files, std::string where, const Limits& limits,
           RecoveryCallbacks taker);

  // Throw NoRoom, and nothing has changed. When one returns, what was appended outlives the process.
  latest::LogLocation append(const latest::Record& record);
  latest::LogLocation append(const latest::DeliveryState& mark);
  // Throws BadStateFile where the record cannot be read.
  latest::Record read(const latest::LogLocation& place);
  void save_conflicting_record(
      const latest::Record& record);  // of two that differ, the one that does not count

  // A compaction, a bounded number of bytes at a time. done: moved and dropped tell all, and the old
  // one is gone; failed: moved tells what stands twice.
  enum class Progress { in_progress, done, failed };
  struct CompactionStep {
    Progress progress = Progress::in_progress;
    std::vector<latest::CompactedLog::Moved> moved;
    std::vector<latest::CompactedLog::DroppedRecord> dropped;
  };
  CompactionStep compact_step(
      latest::SegmentId old, std::size_t bytes,
      const std::function<bool(const latest::RecordHeader&, const latest::LogLocation&)>& keeps_record,
      const std::function<bool(const latest::DeliveryState&, latest::SegmentId)>& keeps_mark);

  std::size_t disk_bytes() const { return bytes_; }
  std::uint64_t appended_bytes() const { return appended_; }

 private:
  struct Head {  // what is appended to: fresh records, or those that compactions keep
    latest::SegmentId id{};
    std::size_t size = 0;
  };
  struct Segment {
    latest::StreamId stream{};
    bool cold = false;
    std::size_t size = 0;
  };
  struct Copying {
    latest::SegmentId old{};
    std::size_t offset = 0;
    CompactionStep result;
  };
  static std::string name_of(latest::SegmentId id);
  void read_manifest();
  void write_manifest();
  void add_to_manifest(char kind, latest::SegmentId id, latest::StreamId stream, bool cold);
  void recover(latest::SegmentId id, Segment& segment);
  void take(latest::SegmentId id, const std::string& bytes);
  void save(latest::SegmentId id);
  void keep_reserve();
  Head& head(latest::StreamId stream, bool cold);
  void seal(latest::StreamId stream, bool cold);
  latest::LogLocation put(latest::StreamId stream, bool cold, std::string_view payload, std::size_t room);
  void add(const std::string& name, std::string_view bytes, std::size_t size);
  void drop(latest::SegmentId id);
  [[noreturn]] void no_room(const std::string& what) const;
  fleet::BadStateFile bad(const std::string& name, std::size_t at, const std::string& what) const;

  const std::unique_ptr<FileSystem> files_;
  const std::string where_;
  Limits limits_;
  RecoveryCallbacks taker_;
  std::map<latest::SegmentId, Segment> segments_;
  std::map<std::pair<latest::StreamId, bool>, Head> heads_;  // true: of compactions
  std::set<latest::SegmentId> over_;                         // not unlinked yet
  std::uint32_t last_ = 0;
  std::size_t manifest_size_ = 0, bytes_ = 0;
  std::uint64_t appended_ = 0;
  bool manifest_broken_ = false;
  std::map<latest::SegmentId, std::pair<std::string, bool>> damaged_;  // while all is read: bytes, readable
  std::optional<Copying> copying_;
  // The records read last, by their places.
  std::list<std::pair<latest::LogLocation, std::string>> cache_;
  std::map<latest::LogLocation, std::list<std::pair<latest::LogLocation, std::string>>::iterator> cached_;
  std::size_t cache_bytes_ = 0;
};

}  // namespace rockcrank::peer
