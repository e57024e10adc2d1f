// Segment files, their record frames and the manifest. Compaction is crash-safe by the order of its steps:
// the copy is written and synced, then the manifest records the old segment as deleted, and only then is it
// unlinked.

#include "peer/segments.h"

#define XXH_INLINE_ALL
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <set>
#include <utility>
#include <variant>

#include "peer/codec.h"

namespace rockcrank::peer {
namespace {

using namespace latest;
using fleet::BadStateFile;
using fleet::StorageUnavailable;

// A frame is a header (length of the payload and its checksum), then a kind byte and the content.
constexpr std::size_t header_bytes = 12;
constexpr std::size_t max_frame_bytes = 1 << 20;
constexpr int format_version = 1;                    // increased with every change of a frame's content
constexpr std::size_t max_manifest_bytes = 1 << 16;  // larger manifests are rewritten
constexpr std::size_t max_manifest_frame_bytes = 64;
constexpr const char* manifest_name = "manifest";
constexpr const char* reserve_name = "reserve";  // deleted when the manifest finds no space
constexpr std::size_t reserve_bytes = 1 << 14;
constexpr const char* conflicts_name = "aside";
constexpr std::size_t max_conflicts_bytes = 1 << 20;
// Space kept free, in segments: records are refused first, delivery states later, and compactions may use all
// of it.
constexpr std::size_t record_reserve_segments = 2, delivery_state_reserve_segments = 1;

struct SegmentHeader {
  int format_version = 0;
  StreamId stream{};
  auto fields() { return std::tie(format_version, stream); }
};
struct ManifestEntry {
  SegmentId id{};
  StreamId stream{};
  bool compacted = false;
  auto fields() { return std::tie(id, stream, compacted); }
};

std::uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string make_frame(char kind, const std::string& content) {
  std::string payload(1, kind);
  payload += content;
  auto size = static_cast<std::uint32_t>(payload.size());
  auto checksum_value = checksum(payload);
  std::string frame(header_bytes, '\0');
  std::memcpy(frame.data(), &size, sizeof size),
      std::memcpy(frame.data() + 4, &checksum_value, sizeof checksum_value);
  return frame + payload;
}

enum class FrameStatus { intact, damaged, truncated };
// Reads the frame at an offset. damaged: the length is valid but the checksum is not.
FrameStatus frame_at(std::string_view bytes, std::size_t at, std::string_view& payload) {
  std::uint32_t size = 0;
  std::uint64_t checksum_value = 0;
  if (at + header_bytes > bytes.size()) return FrameStatus::truncated;
  std::memcpy(&size, bytes.data() + at, sizeof size);
  std::memcpy(&checksum_value, bytes.data() + at + 4, sizeof checksum_value);
  if (size == 0 || size > max_frame_bytes || size > bytes.size() - at - header_bytes)
    return FrameStatus::truncated;
  payload = bytes.substr(at + header_bytes, size);
  return checksum(payload) == checksum_value ? FrameStatus::intact : FrameStatus::damaged;
}

class DiskFileSystem final : public FileSystem {
 public:
  explicit DiskFileSystem(std::string folder) : folder_(std::move(folder)) {
    std::filesystem::create_directories(folder_);
  }
  ~DiskFileSystem() override {
    for (auto& [name, fd] : open_) ::close(fd);
  }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& header : std::filesystem::directory_iterator(folder_))
      names.push_back(header.path().filename().string());
    std::ranges::sort(names);
    return names;
  }
  std::optional<std::string> read(const std::string& name, std::size_t offset, std::size_t bytes) override {
    int fd = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return std::nullopt;
    std::string found(bytes, '\0');
    std::size_t bytes_read = 0;
    while (bytes_read < bytes) {
      auto count =
          ::pread(fd, found.data() + bytes_read, bytes - bytes_read, static_cast<off_t>(offset + bytes_read));
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) break;
      bytes_read += static_cast<std::size_t>(count);
    }
    ::close(fd);
    found.resize(bytes_read);
    return found;
  }
  std::optional<std::size_t> size(const std::string& name) override {
    struct stat found {};
    if (::stat(path(name).c_str(), &found) != 0) return std::nullopt;
    return static_cast<std::size_t>(found.st_size);
  }
  std::size_t append(const std::string& name, std::string_view bytes) override {
    int fd = descriptor_of(name);
    std::size_t written = 0;
    while (fd >= 0 && written < bytes.size()) {
      auto count = ::write(fd, bytes.data() + written, bytes.size() - written);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) break;
      written += static_cast<std::size_t>(count);
    }
    return written;
  }
  bool truncate(const std::string& name, std::size_t size) override {
    return ::truncate(path(name).c_str(), static_cast<off_t>(size)) == 0;
  }
  bool sync(const std::string& name) override {
    int fd = descriptor_of(name);
    return fd >= 0 && ::fdatasync(fd) == 0;
  }
  bool rename(const std::string& from, const std::string& to) override {
    forget(from), forget(to);
    return ::rename(path(from).c_str(), path(to).c_str()) == 0 && sync_folder();
  }
  bool remove(const std::string& name) override {
    forget(name);
    return ::unlink(path(name).c_str()) == 0 || errno == ENOENT;
  }

 private:
  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  // Only a few files are appended to at a time: the active segments of each stream and the manifest.
  int descriptor_of(const std::string& name) {
    if (auto found = open_.find(name); found != open_.end()) return found->second;
    if (open_.size() >= 8) ::close(open_.begin()->second), open_.erase(open_.begin());
    int fd = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (fd >= 0) open_[name] = fd;
    return fd;
  }
  void forget(const std::string& name) {
    if (auto found = open_.find(name); found != open_.end()) ::close(found->second), open_.erase(found);
  }
  bool sync_folder() {
    int fd = ::open(folder_.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return false;
    bool done = ::fsync(fd) == 0;
    ::close(fd);
    return done;
  }

  const std::string folder_;
  std::map<std::string, int> open_;
};

}  // namespace

std::unique_ptr<FileSystem> make_disk_file_system(const std::string& folder) {
  return std::make_unique<DiskFileSystem>(folder);
}

KeyHash key_hash(std::string_view key) {
  auto hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

RecordHeader header_of(const Record& record) {
  RecordHeader header;
  header.stream = record.stream, header.key = key_hash(record.key), header.timestamp = record.timestamp;
  header.tombstone = record.body.empty(), header.direct_destination = record.direct_destination,
  header.direct_until = record.direct_until;
  auto content = record;
  content.timestamp = {};
  header.content_hash = checksum(packed(content));
  return header;
}

std::string Segments::name_of(SegmentId id) {
  char name[32];
  std::snprintf(name, sizeof name, "seg-%08x", static_cast<unsigned>(id));
  return name;
}

void Segments::throw_storage_unavailable(const std::string& what) const {
  throw StorageUnavailable("a record cannot be stored: " + what, where_,
                           "stream documents are answered -BUSY; free disk space or raise latest.disk_mb");
}

BadStateFile Segments::damaged_file_error(const std::string& name, std::size_t at,
                                          const std::string& what) const {
  return {what, where_ + "/" + name + " at byte " + std::to_string(at),
          "the file is renamed to " + name +
              ".bad and missing records are fetched from the other relays; check the disk"};
}

Segments::Segments(std::unique_ptr<FileSystem> files, std::string where, const Limits& limits,
                   RecoveryCallbacks callbacks)
    : files_(std::move(files)), where_(std::move(where)), limits_(limits), callbacks_(std::move(callbacks)) {
  limits_.segment_bytes = std::clamp(limits_.segment_bytes, std::size_t{4096},
                                     std::max(std::size_t{4096}, limits_.disk_bytes / 8));
  read_manifest();
  auto listed_segments = segments_;
  for (auto& [id, segment] : listed_segments) recover(id, segment);
  for (const auto& [key, active_segment] : active_segments_) {
    auto found = segments_.find(active_segment.id);
    if (found != segments_.end()) active_segments_[key].size = found->second.size;
  }
  std::erase_if(active_segments_, [&](const auto& at) { return !segments_.count(at.second.id); });
  replenish_reserve();
  auto damaged = std::exchange(damaged_segments_, {});
  for (const auto& [id, bytes] : damaged) damaged_segments_[id] = bytes, salvage(id);
  damaged_segments_.clear();
}

// Reserves space so that a full disk can still record the deletion of a segment, which frees space.
void Segments::replenish_reserve() {
  if (files_->size(reserve_name).value_or(0) >= reserve_bytes) return;
  files_->remove(reserve_name);
  files_->append(reserve_name, std::string(reserve_bytes, '\0'));
}

void Segments::read_manifest() {
  auto size = files_->size(manifest_name);
  auto names = files_->list();
  std::set<std::string> on_disk(names.begin(), names.end());
  auto segment_id_of = [](const std::string& name) -> std::optional<SegmentId> {
    unsigned number = 0;
    int used = 0;
    if (std::sscanf(name.c_str(), "seg-%08x%n", &number, &used) == 1 && used == static_cast<int>(name.size()))
      return SegmentId(number);
    return std::nullopt;
  };
  for (const auto& name : names)
    if (auto id = segment_id_of(name))
      last_segment_id_ = std::max(last_segment_id_, static_cast<std::uint32_t>(*id));
  bool intact = true;
  if (size) {
    auto bytes = files_->read(manifest_name, 0, *size).value_or("");
    std::size_t at = 0;
    std::string_view payload;
    while (at < bytes.size()) {
      auto status = frame_at(bytes, at, payload);
      // A torn tail is cut off: the operation that it would have recorded had not completed.
      bool last = status == FrameStatus::truncated || at + header_bytes + payload.size() == bytes.size();
      if (at > 0 && last && status != FrameStatus::intact && bytes.size() - at <= max_manifest_frame_bytes) {
        if (!files_->truncate(manifest_name, at)) manifest_broken_ = true;
        break;
      }
      try {
        if (status != FrameStatus::intact) throw std::runtime_error("the checksum does not match");
        auto one = unpacked<ManifestEntry>(payload.substr(1));
        last_segment_id_ = std::max(last_segment_id_, static_cast<std::uint32_t>(one.id));
        if (payload[0] == 'A') {
          segments_[one.id] = {one.stream, one.compacted, 0};
          active_segments_[{one.stream, one.compacted}] = {one.id, 0};
        } else if (payload[0] == 'D') {
          segments_.erase(one.id), pending_unlinks_.insert(one.id);
          std::erase_if(active_segments_,
                        [&](const auto& active_segment) { return active_segment.second.id == one.id; });
        } else {
          throw std::runtime_error("the entry is of a later version");
        }
      } catch (const std::exception& error) {
        callbacks_.on_damaged_file(damaged_file_error(manifest_name, at, error.what()));
        files_->rename(manifest_name, std::string(manifest_name) + ".bad"), pending_unlinks_.clear();
        intact = false;
        break;
      }
      at += header_bytes + payload.size();
    }
    manifest_size_ = at;
  }
  if (!intact) active_segments_.clear(), segments_.clear();
  bool rewrite = manifest_broken_ || !intact || !size;
  for (const auto& name : names) {
    auto id = segment_id_of(name);
    if (!id || segments_.count(*id)) continue;
    // Left by a crash: deleted in the manifest but not unlinked yet.
    if (pending_unlinks_.count(*id)) {
      if (files_->remove(name)) pending_unlinks_.erase(*id);
      continue;
    }
    // If the manifest is lost or damaged, all segment files are used: duplicate records are harmless, missing
    // ones are not.
    auto bytes = files_->read(name, 0, 256).value_or("");
    std::string_view payload;
    SegmentHeader header;
    try {
      if (frame_at(bytes, 0, payload) == FrameStatus::intact)
        header = unpacked<SegmentHeader>(payload.substr(1));
    } catch (const std::exception&) { header = {}; }
    segments_[*id] = {header.stream, false, 0}, rewrite = true;
  }
  if (rewrite) write_manifest();
}

void Segments::write_manifest() {
  auto temporary_name = std::string(manifest_name) + ".new";
  std::string bytes;
  for (const auto& [id, segment] : segments_)
    bytes += make_frame('A', packed(ManifestEntry{id, segment.stream, segment.compacted}));
  for (auto id : pending_unlinks_) bytes += make_frame('D', packed(ManifestEntry{id, {}, false}));
  files_->remove(temporary_name);
  if (files_->append(temporary_name, bytes) != bytes.size() || !files_->sync(temporary_name) ||
      !files_->rename(temporary_name, manifest_name)) {
    files_->remove(temporary_name);
    throw_storage_unavailable("the manifest cannot be written");
  }
  manifest_size_ = bytes.size(), manifest_broken_ = false;
}

void Segments::add_to_manifest(char kind, SegmentId id, StreamId stream, bool compacted) {
  if (manifest_broken_ || manifest_size_ > max_manifest_bytes) write_manifest();
  auto frame = make_frame(kind, packed(ManifestEntry{id, stream, compacted}));
  auto written = files_->append(manifest_name, frame);
  if (written < frame.size() && kind == 'D' && files_->remove(reserve_name))
    written += files_->append(manifest_name, std::string_view(frame).substr(written));
  if (written == frame.size() && files_->sync(manifest_name)) {
    manifest_size_ += written;
    return;
  }
  // Cuts off a partly written entry, since entries behind it could not be found again.
  if (!files_->truncate(manifest_name, manifest_size_)) manifest_broken_ = true;
  throw_storage_unavailable("the manifest cannot be appended to");
}

void Segments::recover(SegmentId id, Segment& segment) {
  auto name = name_of(id);
  auto size = files_->size(name);
  bool open = std::ranges::any_of(active_segments_,
                                  [&](const auto& active_segment) { return active_segment.second.id == id; });
  if (!size) {
    // A segment is listed before its file is created, so the file of an active segment may be missing.
    if (!open)
      callbacks_.on_damaged_file(damaged_file_error(name, 0, "a segment listed in the manifest is missing"));
    std::erase_if(active_segments_,
                  [&](const auto& active_segment) { return active_segment.second.id == id; });
    return delete_segment(id);
  }
  auto bytes = files_->read(name, 0, *size).value_or("");
  std::string_view payload;
  std::size_t at = 0;
  bool damaged = bytes.size() != *size, readable = true;
  while (at < bytes.size()) {
    auto status = frame_at(bytes, at, payload);
    bool last = status != FrameStatus::truncated && at + header_bytes + payload.size() == bytes.size();
    if (status == FrameStatus::truncated || (status == FrameStatus::damaged && last)) {
      // A torn tail is cut off: the append that wrote it had not returned.
      if (open && !damaged && files_->truncate(name, at)) bytes.resize(at);
      else
        callbacks_.on_damaged_file(damaged_file_error(name, at, "a segment ends within a record")),
            damaged = true;
      break;
    }
    if (status == FrameStatus::damaged) {
      callbacks_.on_damaged_file(damaged_file_error(name, at, "a record's checksum does not match")),
          damaged = true;
    } else if (at == 0) {
      SegmentHeader header;
      try {
        header = unpacked<SegmentHeader>(payload.substr(1));
      } catch (const std::exception&) {}
      if (payload[0] != 'H' || header.format_version != format_version || header.stream != segment.stream) {
        callbacks_.on_damaged_file(damaged_file_error(name, 0, "a segment of another format or stream"));
        damaged = true, readable = false;
        break;
      }
    }
    at += header_bytes + payload.size();
  }
  if (damaged) {
    std::erase_if(active_segments_,
                  [&](const auto& active_segment) { return active_segment.second.id == id; });
    damaged_segments_[id] = {std::move(bytes), readable};
    return;
  }
  segment.size = bytes.size(), segments_[id] = segment, disk_bytes_ += segment.size;
  callbacks_.on_segment(id, segment.stream, !open);
  replay(id, bytes);
}

void Segments::replay(SegmentId id, const std::string& bytes) {
  std::string_view payload;
  for (std::size_t at = 0; at < bytes.size(); at += header_bytes + payload.size()) {
    auto status = frame_at(bytes, at, payload);
    if (status == FrameStatus::truncated) return;
    if (status == FrameStatus::damaged) continue;
    LogLocation location{id, static_cast<std::uint32_t>(at),
                         static_cast<std::uint32_t>(header_bytes + payload.size())};
    try {
      if (payload[0] == 'R') callbacks_.on_record(unpacked<Record>(payload.substr(1)), location);
      else if (payload[0] == 'M')
        callbacks_.on_delivery_state(unpacked<DeliveryState>(payload.substr(1)), location);
    } catch (const std::exception& error) {
      callbacks_.on_damaged_file(BadStateFile(error.what(),
                                              where_ + "/" + name_of(id) + " at byte " + std::to_string(at),
                                              "the record is skipped; run compatible versions"));
    }
  }
}

// Copies the readable records of a damaged segment to another one, then renames the damaged file.
void Segments::salvage(SegmentId id) {
  const auto& [bytes, readable] = damaged_segments_.at(id);
  auto stream = segments_[id].stream;
  std::vector<std::pair<std::variant<Record, DeliveryState>, LogLocation>> saved;
  std::string_view payload;
  try {
    for (std::size_t at = 0; readable && at < bytes.size(); at += header_bytes + payload.size()) {
      auto status = frame_at(bytes, at, payload);
      if (status == FrameStatus::truncated) break;
      if (status == FrameStatus::damaged) continue;
      auto frame = std::string_view(bytes).substr(at, header_bytes + payload.size());
      try {
        if (payload[0] == 'R') {
          auto record = unpacked<Record>(payload.substr(1));
          auto location = append_frame(stream, true, frame, 0);
          saved.push_back({std::move(record), location});
        } else if (payload[0] == 'M') {
          auto state = unpacked<DeliveryState>(payload.substr(1));
          auto location = append_frame(stream, true, frame, 0);
          saved.push_back({std::move(state), location});
        }
      } catch (const fleet::BadMessage&) { continue; }
    }
    if (auto compacted = active_segments_.find({stream, true});
        compacted != active_segments_.end() && !saved.empty())
      if (!files_->sync(name_of(compacted->second.id)))
        throw_storage_unavailable("the disk cannot be written");
    for (const auto& name : files_->list())  // only the latest damaged file is kept for inspection
      if (name.starts_with("seg-") && name.ends_with(".bad")) files_->remove(name);
    add_to_manifest('D', id, stream, false);
    files_->rename(name_of(id), name_of(id) + ".bad");
    segments_.erase(id);
  } catch (const StorageUnavailable&) {
    // The segment then stays in place and is read from there.
    segments_[id].size = bytes.size(), disk_bytes_ += bytes.size();
    callbacks_.on_segment(id, stream, true);
    if (readable) replay(id, bytes);
  }
  for (const auto& [one, location] : saved)
    if (auto record = std::get_if<Record>(&one)) callbacks_.on_record(*record, location);
    else callbacks_.on_delivery_state(std::get<DeliveryState>(one), location);
}

void Segments::append_bytes(const std::string& name, std::string_view bytes, std::size_t size) {
  if (files_->append(name, bytes) == bytes.size()) return;
  // Cuts off a record that a full disk left partly written; if that fails, nothing more is appended to this
  // file.
  if (!files_->truncate(name, size))
    for (auto active_segment = active_segments_.begin(); active_segment != active_segments_.end();) {
      auto [stream, compacted] = active_segment->first;
      if (name_of(active_segment->second.id) == name) {
        callbacks_.on_segment(active_segment->second.id, stream, true),
            active_segment = active_segments_.erase(active_segment);
      } else {
        ++active_segment;
      }
    }
  throw_storage_unavailable("the disk is full or cannot be written");
}

Segments::ActiveSegment& Segments::active_segment(StreamId stream, bool compacted) {
  if (auto found = active_segments_.find({stream, compacted}); found != active_segments_.end())
    return found->second;
  SegmentId id{++last_segment_id_};
  add_to_manifest('A', id, stream, compacted);
  segments_[id] = {stream, compacted, 0};
  active_segments_[{stream, compacted}] = {id, 0};
  callbacks_.on_segment(id, stream, false);
  return active_segments_[{stream, compacted}];
}

void Segments::seal(StreamId stream, bool compacted) {
  auto found = active_segments_.find({stream, compacted});
  if (found == active_segments_.end()) return;
  files_->sync(name_of(found->second.id));
  callbacks_.on_segment(found->second.id, stream, true);
  active_segments_.erase(found);
}

// reserved: bytes to keep free for writes that must not be refused.
LogLocation Segments::append_frame(StreamId stream, bool compacted, std::string_view frame,
                                   std::size_t reserved) {
  if (disk_bytes_ + frame.size() + reserved > limits_.disk_bytes)
    throw_storage_unavailable(std::to_string(disk_bytes_) + " of " + std::to_string(limits_.disk_bytes) +
                              " bytes are used");
  if (auto found = active_segments_.find({stream, compacted});
      found != active_segments_.end() && found->second.size + frame.size() > limits_.segment_bytes &&
      found->second.size > 64)
    seal(stream, compacted);
  ActiveSegment& active_segment = this->active_segment(stream, compacted);
  auto id = active_segment.id;
  if (active_segment.size == 0) {
    auto first = make_frame('H', packed(SegmentHeader{format_version, stream}));
    append_bytes(name_of(id), first, 0);
    active_segment.size = first.size(), segments_[id].size += first.size(), disk_bytes_ += first.size();
  }
  LogLocation location{id, static_cast<std::uint32_t>(active_segment.size),
                       static_cast<std::uint32_t>(frame.size())};
  append_bytes(name_of(id), frame, active_segment.size);
  active_segment.size += frame.size(), segments_[id].size += frame.size();
  disk_bytes_ += frame.size(), appended_bytes_ += frame.size();
  return location;
}

LogLocation Segments::append(const Record& record) {
  return append_frame(record.stream, false, make_frame('R', packed(record)),
                      record_reserve_segments * limits_.segment_bytes);
}
LogLocation Segments::append(const DeliveryState& state) {
  return append_frame(state.subscription.stream, false, make_frame('M', packed(state)),
                      delivery_state_reserve_segments * limits_.segment_bytes);
}

Record Segments::read(const LogLocation& location) {
  if (auto found = cached_.find(location); found != cached_.end()) {
    cache_.splice(cache_.begin(), cache_, found->second);
    return unpacked<Record>(std::string_view(cache_.front().second).substr(header_bytes + 1));
  }
  auto bytes = files_->read(name_of(location.segment), location.offset, location.bytes).value_or("");
  std::string_view payload;
  if (frame_at(bytes, 0, payload) != FrameStatus::intact || payload[0] != 'R')
    throw BadStateFile(
        "a record cannot be read",
        where_ + "/" + name_of(location.segment) + " at byte " + std::to_string(location.offset),
        "it is fetched again from another relay; check the disk");
  auto record = unpacked<Record>(payload.substr(1));
  cache_bytes_ += bytes.size(), cache_.emplace_front(location, std::move(bytes)),
      cached_[location] = cache_.begin();
  while (cache_bytes_ > limits_.cache_bytes && !cache_.empty()) {
    cache_bytes_ -= cache_.back().second.size();
    cached_.erase(cache_.back().first), cache_.pop_back();
  }
  return record;
}

void Segments::save_conflicting_record(const Record& record) {
  if (files_->size(conflicts_name).value_or(0) < max_conflicts_bytes)
    files_->append(conflicts_name, make_frame('R', packed(record)));
}

void Segments::delete_segment(SegmentId id) {
  auto found = segments_.find(id);
  if (found == segments_.end()) return;
  add_to_manifest('D', id, found->second.stream, found->second.compacted);
  if (!files_->remove(name_of(id))) pending_unlinks_.insert(id);
  replenish_reserve();
  disk_bytes_ -= std::min(disk_bytes_, found->second.size);
  segments_.erase(found);
}

Segments::CompactionStep Segments::compact_step(
    SegmentId old, std::size_t bytes,
    const std::function<bool(const RecordHeader&, const LogLocation&)>& keeps_record,
    const std::function<bool(const DeliveryState&, SegmentId)>& keeps_state) {
  if (!compaction_ || compaction_->old != old) compaction_ = CompactionState{old, 0, {}};
  CompactionState& compaction = *compaction_;
  auto& result = compaction.result;
  auto found = segments_.find(old);
  auto failed = [&] {
    // Records already copied are then stored twice, which is harmless; the next attempt starts again.
    auto moved = std::move(result.moved);
    compaction_.reset();
    return CompactionStep{Progress::failed, std::move(moved), {}};
  };
  if (found == segments_.end()) return failed();
  auto stream = found->second.stream;
  for (bool compacted : {false, true})  // a segment under compaction is no longer appended to
    if (auto active_segment = active_segments_.find({stream, compacted});
        active_segment != active_segments_.end() && active_segment->second.id == old)
      seal(stream, compacted);
  try {
    auto end = found->second.size, from = compaction.offset;
    auto slice = files_->read(name_of(old), from, std::min(end - from, bytes + max_frame_bytes)).value_or("");
    std::string_view payload;
    std::size_t at = 0;
    while (at < slice.size() && at < bytes) {
      if (frame_at(slice, at, payload) != FrameStatus::intact) return failed();
      LogLocation location{old, static_cast<std::uint32_t>(from + at),
                           static_cast<std::uint32_t>(header_bytes + payload.size())};
      auto frame = std::string_view(slice).substr(at, location.bytes);
      if (payload[0] == 'R') {
        auto record = unpacked<Record>(payload.substr(1));
        auto header = header_of(record);
        if (keeps_record(header, location)) {
          auto to = append_frame(stream, true, frame, 0);
          result.moved.push_back({{stream, {}}, false, header.key, header.timestamp, location, to});
        } else {
          result.dropped.push_back({stream, header.key});
        }
      } else if (payload[0] == 'M') {
        auto state = unpacked<DeliveryState>(payload.substr(1));
        if (keeps_state(state, old)) {
          auto to = append_frame(stream, true, frame, 0);
          result.moved.push_back({state.subscription, true, state.key, state.timestamp, location, to});
        }
      }
      at += location.bytes;
    }
    compaction.offset = from + at;
    if (compaction.offset < end && at > 0) return {};
    if (compaction.offset < end) return failed();
    if (auto compacted = active_segments_.find({stream, true});
        compacted != active_segments_.end() && !result.moved.empty())
      if (!files_->sync(name_of(compacted->second.id))) return failed();
    delete_segment(old);
  } catch (const fleet::FleetError&) { return failed(); }
  auto done = std::move(result);
  compaction_.reset();
  done.progress = Progress::done;
  return done;
}

}  // namespace rockcrank::peer
