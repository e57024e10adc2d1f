// Frames, segments and the manifest; segments.h says what is owned. The order of steps is the promise: a copy
// is written and flushed, then the manifest says that the old segment is over, and only then is it unlinked.

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

// A frame: length of what follows the head, its check sum, then a kind and its content.
constexpr std::size_t head_bytes = 12;
constexpr std::size_t frame_most = 1 << 20;
constexpr int form = 1;                         // changed with every change of what a frame holds
constexpr std::size_t manifest_most = 1 << 16;  // then it is written anew
constexpr std::size_t manifest_frame_most = 64;
constexpr const char* manifest_name = "manifest";
constexpr const char* reserve_name = "reserve";  // given up where the manifest finds no room
constexpr std::size_t reserve_bytes = 1 << 14;
constexpr const char* aside_name = "aside";
constexpr std::size_t aside_most = 1 << 20;
// In segments: records stop that far before the end of the room, marks nearer; compactions may use all of it.
constexpr std::size_t kept_from_records = 2, kept_from_marks = 1;

struct Head_ {
  int form = 0;
  StreamId stream{};
  auto fields() { return std::tie(form, stream); }
};
struct Listed_ {
  SegmentId id{};
  StreamId stream{};
  bool cold = false;
  auto fields() { return std::tie(id, stream, cold); }
};

std::uint64_t sum_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string framed(char kind, const std::string& content) {
  std::string payload(1, kind);
  payload += content;
  auto size = static_cast<std::uint32_t>(payload.size());
  auto sum = sum_of(payload);
  std::string frame(head_bytes, '\0');
  std::memcpy(frame.data(), &size, sizeof size), std::memcpy(frame.data() + 4, &sum, sizeof sum);
  return frame + payload;
}

enum class Found { whole, damaged, cut };
// The frame at an offset. damaged: its length fits, its content does not.
Found frame_at(std::string_view bytes, std::size_t at, std::string_view& payload) {
  std::uint32_t size = 0;
  std::uint64_t sum = 0;
  if (at + head_bytes > bytes.size()) return Found::cut;
  std::memcpy(&size, bytes.data() + at, sizeof size);
  std::memcpy(&sum, bytes.data() + at + 4, sizeof sum);
  if (size == 0 || size > frame_most || size > bytes.size() - at - head_bytes) return Found::cut;
  payload = bytes.substr(at + head_bytes, size);
  return sum_of(payload) == sum ? Found::whole : Found::damaged;
}

class DiskFiles final : public FileSystem {
 public:
  explicit DiskFiles(std::string folder) : folder_(std::move(folder)) {
    std::filesystem::create_directories(folder_);
  }
  ~DiskFiles() override {
    for (auto& [name, fd] : open_) ::close(fd);
  }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder_))
      names.push_back(entry.path().filename().string());
    std::ranges::sort(names);
    return names;
  }
  std::optional<std::string> read(const std::string& name, std::size_t offset, std::size_t bytes) override {
    int fd = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return std::nullopt;
    std::string found(bytes, '\0');
    std::size_t got = 0;
    while (got < bytes) {
      auto count = ::pread(fd, found.data() + got, bytes - got, static_cast<off_t>(offset + got));
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) break;
      got += static_cast<std::size_t>(count);
    }
    ::close(fd);
    found.resize(got);
    return found;
  }
  std::optional<std::size_t> size(const std::string& name) override {
    struct stat found {};
    if (::stat(path(name).c_str(), &found) != 0) return std::nullopt;
    return static_cast<std::size_t>(found.st_size);
  }
  std::size_t append(const std::string& name, std::string_view bytes) override {
    int fd = of(name);
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
    int fd = of(name);
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
  // Few are added to at a time: fresh and kept records of each stream, and the manifest.
  int of(const std::string& name) {
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
  return std::make_unique<DiskFiles>(folder);
}

KeyHash key_hash(std::string_view key) {
  auto hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

RecordHeader header_of(const Record& record) {
  RecordHeader entry;
  entry.stream = record.stream, entry.key = key_hash(record.key), entry.timestamp = record.timestamp;
  entry.tombstone = record.body.empty(), entry.direct_destination = record.direct_destination,
  entry.direct_until = record.direct_until;
  auto content = record;
  content.timestamp = {};
  entry.content_hash = sum_of(packed(content));
  return entry;
}

std::string Segments::name_of(SegmentId id) {
  char name[32];
  std::snprintf(name, sizeof name, "seg-%08x", static_cast<unsigned>(id));
  return name;
}

void Segments::no_room(const std::string& what) const {
  throw StorageUnavailable(
      "a record cannot be kept: " + what, where_,
      "documents of streams are told to come again; free the disk, or raise latest.disk_mb");
}

BadStateFile Segments::bad(const std::string& name, std::size_t at, const std::string& what) const {
  return {
      what, where_ + "/" + name + " at byte " + std::to_string(at),
      "it is set aside as " + name + ".bad, what is missing comes from the other relays; look at the disk"};
}

Segments::Segments(std::unique_ptr<FileSystem> files, std::string where, const Limits& limits,
                   RecoveryCallbacks taker)
    : files_(std::move(files)), where_(std::move(where)), limits_(limits), taker_(std::move(taker)) {
  limits_.segment_bytes = std::clamp(limits_.segment_bytes, std::size_t{4096},
                                     std::max(std::size_t{4096}, limits_.disk_bytes / 8));
  read_manifest();
  auto listed = segments_;
  for (auto& [id, segment] : listed) recover(id, segment);
  for (const auto& [key, head] : heads_) {
    auto found = segments_.find(head.id);
    if (found != segments_.end()) heads_[key].size = found->second.size;
  }
  std::erase_if(heads_, [&](const auto& at) { return !segments_.count(at.second.id); });
  keep_reserve();
  auto damaged = std::exchange(damaged_, {});
  for (const auto& [id, bytes] : damaged) damaged_[id] = bytes, save(id);
  damaged_.clear();
}

// Guards against a disk so full that not even the end of a segment can be noted, which would give room.
void Segments::keep_reserve() {
  if (files_->size(reserve_name).value_or(0) >= reserve_bytes) return;
  files_->remove(reserve_name);
  files_->append(reserve_name, std::string(reserve_bytes, '\0'));
}

void Segments::read_manifest() {
  auto size = files_->size(manifest_name);
  auto names = files_->list();
  std::set<std::string> on_disk(names.begin(), names.end());
  auto numbered = [](const std::string& name) -> std::optional<SegmentId> {
    unsigned number = 0;
    int used = 0;
    if (std::sscanf(name.c_str(), "seg-%08x%n", &number, &used) == 1 && used == static_cast<int>(name.size()))
      return SegmentId(number);
    return std::nullopt;
  };
  for (const auto& name : names)
    if (auto id = numbered(name)) last_ = std::max(last_, static_cast<std::uint32_t>(*id));
  bool whole = true;
  if (size) {
    auto bytes = files_->read(manifest_name, 0, *size).value_or("");
    std::size_t at = 0;
    std::string_view payload;
    while (at < bytes.size()) {
      auto found = frame_at(bytes, at, payload);
      // Guards against a torn tail: what it would have told had not happened yet.
      bool last = found == Found::cut || at + head_bytes + payload.size() == bytes.size();
      if (at > 0 && last && found != Found::whole && bytes.size() - at <= manifest_frame_most) {
        if (!files_->truncate(manifest_name, at)) manifest_broken_ = true;
        break;
      }
      try {
        if (found != Found::whole) throw std::runtime_error("its check sum does not fit");
        auto one = unpacked<Listed_>(payload.substr(1));
        last_ = std::max(last_, static_cast<std::uint32_t>(one.id));
        if (payload[0] == 'A') {
          segments_[one.id] = {one.stream, one.cold, 0};
          heads_[{one.stream, one.cold}] = {one.id, 0};
        } else if (payload[0] == 'D') {
          segments_.erase(one.id), over_.insert(one.id);
          std::erase_if(heads_, [&](const auto& head) { return head.second.id == one.id; });
        } else {
          throw std::runtime_error("it is of a later version");
        }
      } catch (const std::exception& error) {
        taker_.on_damaged_file(bad(manifest_name, at, error.what()));
        files_->rename(manifest_name, std::string(manifest_name) + ".bad"), over_.clear();
        whole = false;
        break;
      }
      at += head_bytes + payload.size();
    }
    manifest_size_ = at;
  }
  if (!whole) heads_.clear(), segments_.clear();
  bool rewrite = manifest_broken_ || !whole || !size;
  for (const auto& name : names) {
    auto id = numbered(name);
    if (!id || segments_.count(*id)) continue;
    // Left over from a crash: over, but not unlinked yet.
    if (over_.count(*id)) {
      if (files_->remove(name)) over_.erase(*id);
      continue;
    }
    // Guards against a lost or damaged manifest: every segment there is counts, as two copies of a record do
    // no harm, and one too few would.
    auto bytes = files_->read(name, 0, 256).value_or("");
    std::string_view payload;
    Head_ head;
    try {
      if (frame_at(bytes, 0, payload) == Found::whole) head = unpacked<Head_>(payload.substr(1));
    } catch (const std::exception&) { head = {}; }
    segments_[*id] = {head.stream, false, 0}, rewrite = true;
  }
  if (rewrite) write_manifest();
}

void Segments::write_manifest() {
  auto fresh = std::string(manifest_name) + ".new";
  std::string bytes;
  for (const auto& [id, segment] : segments_)
    bytes += framed('A', packed(Listed_{id, segment.stream, segment.cold}));
  for (auto id : over_) bytes += framed('D', packed(Listed_{id, {}, false}));
  files_->remove(fresh);
  if (files_->append(fresh, bytes) != bytes.size() || !files_->sync(fresh) ||
      !files_->rename(fresh, manifest_name)) {
    files_->remove(fresh);
    no_room("the manifest cannot be written");
  }
  manifest_size_ = bytes.size(), manifest_broken_ = false;
}

void Segments::add_to_manifest(char kind, SegmentId id, StreamId stream, bool cold) {
  if (manifest_broken_ || manifest_size_ > manifest_most) write_manifest();
  auto frame = framed(kind, packed(Listed_{id, stream, cold}));
  auto written = files_->append(manifest_name, frame);
  if (written < frame.size() && kind == 'D' && files_->remove(reserve_name))
    written += files_->append(manifest_name, std::string_view(frame).substr(written));
  if (written == frame.size() && files_->sync(manifest_name)) {
    manifest_size_ += written;
    return;
  }
  // Guards against a record half written, behind which no later one would be found again.
  if (!files_->truncate(manifest_name, manifest_size_)) manifest_broken_ = true;
  no_room("the manifest cannot be added to");
}

void Segments::recover(SegmentId id, Segment& segment) {
  auto name = name_of(id);
  auto size = files_->size(name);
  bool open = std::ranges::any_of(heads_, [&](const auto& head) { return head.second.id == id; });
  if (!size) {
    // Listed before it is made: a head may not be there yet.
    if (!open) taker_.on_damaged_file(bad(name, 0, "a segment that the manifest lists is not there"));
    std::erase_if(heads_, [&](const auto& head) { return head.second.id == id; });
    return drop(id);
  }
  auto bytes = files_->read(name, 0, *size).value_or("");
  std::string_view payload;
  std::size_t at = 0;
  bool damaged = bytes.size() != *size, readable = true;
  while (at < bytes.size()) {
    auto found = frame_at(bytes, at, payload);
    bool last = found != Found::cut && at + head_bytes + payload.size() == bytes.size();
    if (found == Found::cut || (found == Found::damaged && last)) {
      // Guards against a torn tail: the append that it is of had not returned.
      if (open && !damaged && files_->truncate(name, at)) bytes.resize(at);
      else taker_.on_damaged_file(bad(name, at, "a segment ends within a record")), damaged = true;
      break;
    }
    if (found == Found::damaged) {
      taker_.on_damaged_file(bad(name, at, "a record's check sum does not fit")), damaged = true;
    } else if (at == 0) {
      Head_ head;
      try {
        head = unpacked<Head_>(payload.substr(1));
      } catch (const std::exception&) {}
      if (payload[0] != 'H' || head.form != form || head.stream != segment.stream) {
        taker_.on_damaged_file(bad(name, 0, "a segment of another form or stream"));
        damaged = true, readable = false;
        break;
      }
    }
    at += head_bytes + payload.size();
  }
  if (damaged) {
    std::erase_if(heads_, [&](const auto& head) { return head.second.id == id; });
    damaged_[id] = {std::move(bytes), readable};
    return;
  }
  segment.size = bytes.size(), segments_[id] = segment, bytes_ += segment.size;
  taker_.on_segment(id, segment.stream, !open);
  take(id, bytes);
}

void Segments::take(SegmentId id, const std::string& bytes) {
  std::string_view payload;
  for (std::size_t at = 0; at < bytes.size(); at += head_bytes + payload.size()) {
    auto found = frame_at(bytes, at, payload);
    if (found == Found::cut) return;
    if (found == Found::damaged) continue;
    LogLocation place{id, static_cast<std::uint32_t>(at),
                      static_cast<std::uint32_t>(head_bytes + payload.size())};
    try {
      if (payload[0] == 'R') taker_.on_record(unpacked<Record>(payload.substr(1)), place);
      else if (payload[0] == 'M') taker_.on_delivery_state(unpacked<DeliveryState>(payload.substr(1)), place);
    } catch (const std::exception& error) {
      taker_.on_damaged_file(
          BadStateFile(error.what(), where_ + "/" + name_of(id) + " at byte " + std::to_string(at),
                       "the record is passed over; have all processes run versions that know each other"));
    }
  }
}

// What can be read of a damaged segment goes into another one first; the file itself stays, under another
// name.
void Segments::save(SegmentId id) {
  const auto& [bytes, readable] = damaged_.at(id);
  auto stream = segments_[id].stream;
  std::vector<std::pair<std::variant<Record, DeliveryState>, LogLocation>> saved;
  std::string_view payload;
  try {
    for (std::size_t at = 0; readable && at < bytes.size(); at += head_bytes + payload.size()) {
      auto found = frame_at(bytes, at, payload);
      if (found == Found::cut) break;
      if (found == Found::damaged) continue;
      auto frame = std::string_view(bytes).substr(at, head_bytes + payload.size());
      try {
        if (payload[0] == 'R') {
          auto record = unpacked<Record>(payload.substr(1));
          auto place = put(stream, true, frame, 0);
          saved.push_back({std::move(record), place});
        } else if (payload[0] == 'M') {
          auto mark = unpacked<DeliveryState>(payload.substr(1));
          auto place = put(stream, true, frame, 0);
          saved.push_back({std::move(mark), place});
        }
      } catch (const fleet::BadMessage&) { continue; }
    }
    if (auto cold = heads_.find({stream, true}); cold != heads_.end() && !saved.empty())
      if (!files_->sync(name_of(cold->second.id))) no_room("the disk cannot be written");
    for (const auto& name : files_->list())  // one is kept to be looked at
      if (name.starts_with("seg-") && name.ends_with(".bad")) files_->remove(name);
    add_to_manifest('D', id, stream, false);
    files_->rename(name_of(id), name_of(id) + ".bad");
    segments_.erase(id);
  } catch (const StorageUnavailable&) {
    // Then it stays where it is, and is read from there.
    segments_[id].size = bytes.size(), bytes_ += bytes.size();
    taker_.on_segment(id, stream, true);
    if (readable) take(id, bytes);
  }
  for (const auto& [one, place] : saved)
    if (auto record = std::get_if<Record>(&one)) taker_.on_record(*record, place);
    else taker_.on_delivery_state(std::get<DeliveryState>(one), place);
}

void Segments::add(const std::string& name, std::string_view bytes, std::size_t size) {
  if (files_->append(name, bytes) == bytes.size()) return;
  // Guards against a record half written on a full disk: it is cut off, or nothing more goes into this file.
  if (!files_->truncate(name, size))
    for (auto head = heads_.begin(); head != heads_.end();) {
      auto [stream, cold] = head->first;
      if (name_of(head->second.id) == name) {
        taker_.on_segment(head->second.id, stream, true), head = heads_.erase(head);
      } else {
        ++head;
      }
    }
  no_room("the disk is full or cannot be written");
}

Segments::Head& Segments::head(StreamId stream, bool cold) {
  if (auto found = heads_.find({stream, cold}); found != heads_.end()) return found->second;
  SegmentId id{++last_};
  add_to_manifest('A', id, stream, cold);
  segments_[id] = {stream, cold, 0};
  heads_[{stream, cold}] = {id, 0};
  taker_.on_segment(id, stream, false);
  return heads_[{stream, cold}];
}

void Segments::seal(StreamId stream, bool cold) {
  auto found = heads_.find({stream, cold});
  if (found == heads_.end()) return;
  files_->sync(name_of(found->second.id));
  taker_.on_segment(found->second.id, stream, true);
  heads_.erase(found);
}

// room: bytes that stay free for what may not be refused.
LogLocation Segments::put(StreamId stream, bool cold, std::string_view frame, std::size_t room) {
  if (bytes_ + frame.size() + room > limits_.disk_bytes)
    no_room(std::to_string(bytes_) + " of " + std::to_string(limits_.disk_bytes) + " bytes are taken");
  if (auto found = heads_.find({stream, cold}); found != heads_.end() &&
                                                found->second.size + frame.size() > limits_.segment_bytes &&
                                                found->second.size > 64)
    seal(stream, cold);
  Head& head = this->head(stream, cold);
  auto id = head.id;
  if (head.size == 0) {
    auto first = framed('H', packed(Head_{form, stream}));
    add(name_of(id), first, 0);
    head.size = first.size(), segments_[id].size += first.size(), bytes_ += first.size();
  }
  LogLocation place{id, static_cast<std::uint32_t>(head.size), static_cast<std::uint32_t>(frame.size())};
  add(name_of(id), frame, head.size);
  head.size += frame.size(), segments_[id].size += frame.size();
  bytes_ += frame.size(), appended_ += frame.size();
  return place;
}

LogLocation Segments::append(const Record& record) {
  return put(record.stream, false, framed('R', packed(record)), kept_from_records * limits_.segment_bytes);
}
LogLocation Segments::append(const DeliveryState& mark) {
  return put(mark.subscription.stream, false, framed('M', packed(mark)),
             kept_from_marks * limits_.segment_bytes);
}

Record Segments::read(const LogLocation& place) {
  if (auto found = cached_.find(place); found != cached_.end()) {
    cache_.splice(cache_.begin(), cache_, found->second);
    return unpacked<Record>(std::string_view(cache_.front().second).substr(head_bytes + 1));
  }
  auto bytes = files_->read(name_of(place.segment), place.offset, place.bytes).value_or("");
  std::string_view payload;
  if (frame_at(bytes, 0, payload) != Found::whole || payload[0] != 'R')
    throw BadStateFile("a record cannot be read",
                       where_ + "/" + name_of(place.segment) + " at byte " + std::to_string(place.offset),
                       "it comes again from another relay; look at the disk");
  auto record = unpacked<Record>(payload.substr(1));
  cache_bytes_ += bytes.size(), cache_.emplace_front(place, std::move(bytes)),
      cached_[place] = cache_.begin();
  while (cache_bytes_ > limits_.cache_bytes && !cache_.empty()) {
    cache_bytes_ -= cache_.back().second.size();
    cached_.erase(cache_.back().first), cache_.pop_back();
  }
  return record;
}

void Segments::save_conflicting_record(const Record& record) {
  if (files_->size(aside_name).value_or(0) < aside_most)
    files_->append(aside_name, framed('R', packed(record)));
}

void Segments::drop(SegmentId id) {
  auto found = segments_.find(id);
  if (found == segments_.end()) return;
  add_to_manifest('D', id, found->second.stream, found->second.cold);
  if (!files_->remove(name_of(id))) over_.insert(id);
  keep_reserve();
  bytes_ -= std::min(bytes_, found->second.size);
  segments_.erase(found);
}

Segments::CompactionStep Segments::compact_step(
    SegmentId old, std::size_t bytes,
    const std::function<bool(const RecordHeader&, const LogLocation&)>& keeps_record,
    const std::function<bool(const DeliveryState&, SegmentId)>& keeps_mark) {
  if (!copying_ || copying_->old != old) copying_ = Copying{old, 0, {}};
  Copying& copying = *copying_;
  auto& result = copying.result;
  auto found = segments_.find(old);
  auto failed = [&] {
    // What was copied stands twice, which does no harm; the next attempt begins anew.
    auto moved = std::move(result.moved);
    copying_.reset();
    return CompactionStep{Progress::failed, std::move(moved), {}};
  };
  if (found == segments_.end()) return failed();
  auto stream = found->second.stream;
  for (bool cold : {false, true})  // nothing more goes into it
    if (auto head = heads_.find({stream, cold}); head != heads_.end() && head->second.id == old)
      seal(stream, cold);
  try {
    auto end = found->second.size, from = copying.offset;
    auto slice = files_->read(name_of(old), from, std::min(end - from, bytes + frame_most)).value_or("");
    std::string_view payload;
    std::size_t at = 0;
    while (at < slice.size() && at < bytes) {
      if (frame_at(slice, at, payload) != Found::whole) return failed();
      LogLocation place{old, static_cast<std::uint32_t>(from + at),
                        static_cast<std::uint32_t>(head_bytes + payload.size())};
      auto frame = std::string_view(slice).substr(at, place.bytes);
      if (payload[0] == 'R') {
        auto record = unpacked<Record>(payload.substr(1));
        auto entry = header_of(record);
        if (keeps_record(entry, place)) {
          auto to = put(stream, true, frame, 0);
          result.moved.push_back({{stream, {}}, false, entry.key, entry.timestamp, place, to});
        } else {
          result.dropped.push_back({stream, entry.key});
        }
      } else if (payload[0] == 'M') {
        auto mark = unpacked<DeliveryState>(payload.substr(1));
        if (keeps_mark(mark, old)) {
          auto to = put(stream, true, frame, 0);
          result.moved.push_back({mark.subscription, true, mark.key, mark.timestamp, place, to});
        }
      }
      at += place.bytes;
    }
    copying.offset = from + at;
    if (copying.offset < end && at > 0) return {};
    if (copying.offset < end) return failed();
    if (auto cold = heads_.find({stream, true}); cold != heads_.end() && !result.moved.empty())
      if (!files_->sync(name_of(cold->second.id))) return failed();
    drop(old);
  } catch (const fleet::FleetError&) { return failed(); }
  auto done = std::move(result);
  copying_.reset();
  done.progress = Progress::done;
  return done;
}

}  // namespace rockcrank::peer
