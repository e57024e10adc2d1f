// Files of the compacted log: segments of framed records with checksums (xxHash), and a manifest that lists
// the live segments. A record whose append returned survives a crash or a full disk at any step, and the
// files never exceed the disk limit. What is compacted and which record is current is decided elsewhere
// (latest/latest.h).
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

// The file operations that segments need; tests replace them to fail between any two steps.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual std::vector<std::string> list() = 0;
  virtual std::optional<std::string> read(const std::string& name, std::size_t offset, std::size_t bytes) = 0;
  virtual std::optional<std::size_t> size(const std::string& name) = 0;  // nothing if there is no such file
  // Returns the bytes written.
  virtual std::size_t append(const std::string& name, std::string_view bytes) = 0;
  virtual bool truncate(const std::string& name, std::size_t size) = 0;
  virtual bool sync(const std::string& name) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool remove(const std::string& name) = 0;
};
std::unique_ptr<FileSystem> make_disk_file_system(const std::string& folder);  // created if missing

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
    // A file that is damaged, foreign or of a later version: its readable records are saved, then it is
    // renamed.
    std::function<void(const fleet::BadStateFile&)> on_damaged_file;
  };

  // Reads all files. Throws StorageUnavailable if the manifest cannot be written.
  Segments(std::unique_ptr<FileSystem> files, std::string where, const Limits& limits,
           RecoveryCallbacks callbacks);

  // Throw StorageUnavailable and then change nothing. What was appended survives the process once a call
  // returns.
  latest::LogLocation append(const latest::Record& record);
  latest::LogLocation append(const latest::DeliveryState& state);
  // Throws BadStateFile if the record cannot be read.
  latest::Record read(const latest::LogLocation& location);
  // The one of two conflicting records that is not used.
  void save_conflicting_record(const latest::Record& record);

  // One step of a compaction, of a bounded number of bytes. done: `moved` and `dropped` are complete and the
  // old segment is deleted; failed: `moved` lists the records stored twice.
  enum class Progress { in_progress, done, failed };
  struct CompactionStep {
    Progress progress = Progress::in_progress;
    std::vector<latest::CompactedLog::Moved> moved;
    std::vector<latest::CompactedLog::DroppedRecord> dropped;
  };
  CompactionStep compact_step(
      latest::SegmentId old, std::size_t bytes,
      const std::function<bool(const latest::RecordHeader&, const latest::LogLocation&)>& keeps_record,
      const std::function<bool(const latest::DeliveryState&, latest::SegmentId)>& keeps_state);

  std::size_t disk_bytes() const { return disk_bytes_; }
  std::uint64_t appended_bytes() const { return appended_bytes_; }

 private:
  struct ActiveSegment {  // the segment appended to: of new records, or of those kept by compactions
    latest::SegmentId id{};
    std::size_t size = 0;
  };
  struct Segment {
    latest::StreamId stream{};
    bool compacted = false;
    std::size_t size = 0;
  };
  struct CompactionState {
    latest::SegmentId old{};
    std::size_t offset = 0;
    CompactionStep result;
  };
  static std::string name_of(latest::SegmentId id);
  void read_manifest();
  void write_manifest();
  void add_to_manifest(char kind, latest::SegmentId id, latest::StreamId stream, bool compacted);
  void recover(latest::SegmentId id, Segment& segment);
  void replay(latest::SegmentId id, const std::string& bytes);
  void salvage(latest::SegmentId id);
  void replenish_reserve();
  ActiveSegment& active_segment(latest::StreamId stream, bool compacted);
  void seal(latest::StreamId stream, bool compacted);
  latest::LogLocation append_frame(latest::StreamId stream, bool compacted, std::string_view frame,
                                   std::size_t reserved);
  void append_bytes(const std::string& name, std::string_view bytes, std::size_t size);
  void delete_segment(latest::SegmentId id);
  [[noreturn]] void throw_storage_unavailable(const std::string& what) const;
  fleet::BadStateFile damaged_file_error(const std::string& name, std::size_t at,
                                         const std::string& what) const;

  const std::unique_ptr<FileSystem> files_;
  const std::string where_;
  Limits limits_;
  RecoveryCallbacks callbacks_;
  std::map<latest::SegmentId, Segment> segments_;
  std::map<std::pair<latest::StreamId, bool>, ActiveSegment>
      active_segments_;                          // true: written by compactions
  std::set<latest::SegmentId> pending_unlinks_;  // deleted but not unlinked yet
  std::uint32_t last_segment_id_ = 0;
  std::size_t manifest_size_ = 0, disk_bytes_ = 0;
  std::uint64_t appended_bytes_ = 0;
  bool manifest_broken_ = false;
  // During recovery: contents, and whether they are readable.
  std::map<latest::SegmentId, std::pair<std::string, bool>> damaged_segments_;
  std::optional<CompactionState> compaction_;
  // LRU cache of records by location.
  std::list<std::pair<latest::LogLocation, std::string>> cache_;
  std::map<latest::LogLocation, std::list<std::pair<latest::LogLocation, std::string>>::iterator> cached_;
  std::size_t cache_bytes_ = 0;
};

}  // namespace rockcrank::peer
