// The file: a log of records, written anew when it would grow too large; store.h says what it owns. A record
// that cannot be read may never stop the relay or undo what came before it.

#include "relay/store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "relay/files.h"
#include "relay/log.h"
#include "relay/loop.h"
#include "settings/settings.h"

namespace rockcrank {
namespace {

// A record: its length and a check sum, then kind, document and the rest.
constexpr std::size_t head_bytes = 8;
constexpr std::size_t upkeep_bytes = 256;  // its head and its later records, as counted ahead
constexpr std::size_t slack_bytes = 4096;  // files count in whole blocks

template <typename Number>
void put(std::string& to, Number number) {
  char bytes[sizeof number];
  std::memcpy(bytes, &number, sizeof number);
  to.append(bytes, sizeof number);
}

void put_text(std::string& to, std::string_view text) {
  put(to, static_cast<std::uint32_t>(text.size()));
  to.append(text);
}

void put_sent(std::string& to, const StoredDocument::Transmission& sent) {
  put(to, static_cast<std::int32_t>(sent.number));
  put(to, sent.sent_at);
  put(to, static_cast<std::uint32_t>(sent.zone));
}

void put_type(std::string& to, const DocType& type) {
  for (double number : {type.target_latency, type.lifetime, type.late_value, type.idempotency_window})
    put(to, number);
  put(to, static_cast<char>(type.retry_safety)), put(to, static_cast<char>(type.idempotency_scope));
  put(to, static_cast<char>(type.in_order));
}

void put_end(std::string& to, bool rejected, Millis wait) {
  put(to, static_cast<char>(rejected));
  put(to, wait);
}

// The texts of a document, in the order of its record.
constexpr std::string StoredDocument::*texts[] = {&StoredDocument::id,       &StoredDocument::idempotency_key,
                                                  &StoredDocument::body,     &StoredDocument::order_key,
                                                  &StoredDocument::doc_type, &StoredDocument::tenant};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  template <typename Number>
  Number number() {
    Number value;
    if (rest_.size() < sizeof value) throw ParseError("a record is too short");
    std::memcpy(&value, rest_.data(), sizeof value);
    rest_.remove_prefix(sizeof value);
    return value;
  }
  std::string text() {
    auto size = number<std::uint32_t>();
    if (rest_.size() < size) throw ParseError("a record is too short");
    std::string value(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return value;
  }
  StoredDocument::Transmission sent() {
    auto transmission = number<std::int32_t>();
    auto at = number<double>();
    return {transmission, at, ZoneId(number<std::uint32_t>())};
  }
  DocType type() {
    DocType type;
    for (double* number : {&type.target_latency, &type.lifetime, &type.late_value, &type.idempotency_window})
      *number = this->number<double>();
    type.retry_safety = RetrySafety(number<char>()),
    type.idempotency_scope = IdempotencyScope(number<char>());
    type.in_order = number<char>() != 0;
    return type;
  }
  std::string_view rest() const { return rest_; }

 private:
  std::string_view rest_;
};

// with_type: not so in files of version 0.2.0.
StoredDocument read_document(Reader& reader, bool with_type) {
  StoredDocument document;
  for (auto text : texts) document.*text = reader.text();
  document.destination = DestinationId(reader.number<std::uint64_t>());
  document.expiry = reader.number<double>();
  document.transmissions = reader.number<std::int32_t>();
  for (auto count = reader.number<std::uint32_t>(); count > 0; --count)
    document.in_doubt.push_back(reader.sent());
  document.ended = reader.number<char>() != 0;
  if (with_type) document.type = reader.type(), document.max_transmissions = reader.number<std::int32_t>();
  document.rejected = reader.number<char>() != 0;
  document.reject_wait = reader.number<double>();
  return document;
}

std::string text_record(std::string_view text) {
  std::string rest;
  put_text(rest, text);
  return rest;
}

std::string note_record(std::string_view name, std::string_view text) {
  std::string rest;
  put_text(rest, name), put_text(rest, text);
  return rest;
}

std::uint64_t read_machine_start() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  return std::getline(file, id) ? fnv1a_hash(id) : 0;
}

std::string clock_record(Millis wall_ahead, std::uint64_t start) {
  std::string rest;
  put(rest, wall_ahead), put(rest, start);
  return rest;
}

std::uint32_t sum_of(std::string_view bytes) { return static_cast<std::uint32_t>(fnv1a_hash(bytes) >> 7); }

std::string record_of(char kind, DocId doc, std::string_view rest) {
  std::string inner(1, kind);
  put(inner, static_cast<std::uint64_t>(doc));
  inner.append(rest);
  std::string record;
  put(record, static_cast<std::uint32_t>(inner.size()));
  put(record, sum_of(inner));
  return record + inner;
}

constexpr int files_most = 16;
constexpr int lives = -1, missing = -2;  // instead of a descriptor

std::string file_name(const std::string& folder, int n) {
  auto name = folder + "/held";
  if (n > 1) name.append(1, '.').append(std::to_string(n));
  return name;
}

std::string bytes_of(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

// The file with its lock, or whether its owner lives.
int locked(const std::string& path) {
  while (true) {
    int fd = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (fd < 0) return missing;
    bool held = ::flock(fd, LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK;
    struct stat here {
    }, there{};
    // Guards against a file that its owner replaced by a compacted one between the two steps above.
    bool same = ::fstat(fd, &here) == 0 && ::stat(path.c_str(), &there) == 0 && here.st_ino == there.st_ino;
    if (same && !held) return fd;
    ::close(fd);
    if (same) return lives;
  }
}

// Goes through the records, and says how many bytes they are.
template <typename Taker>
std::size_t each_record(std::string_view bytes, Taker take) {
  std::size_t at = 0;
  while (at + head_bytes <= bytes.size()) {
    std::uint32_t size = 0, sum = 0;
    std::memcpy(&size, bytes.data() + at, sizeof size);
    std::memcpy(&sum, bytes.data() + at + sizeof size, sizeof sum);
    // Guards against a torn tail: a kill may cut the last record short; what it tells never counted.
    if (size > bytes.size() - at - head_bytes) break;
    auto inner = bytes.substr(at + head_bytes, size);
    if (sum_of(inner) != sum) break;
    at += head_bytes + size;
    try {
      Reader reader(inner);
      char kind = reader.number<char>();
      auto number = reader.number<std::uint64_t>();
      take(kind, number, reader.rest());
    } catch (const ParseError& fault) { log_line("store: %s", fault.what()); }
  }
  return at;
}

}  // namespace

std::uint64_t Store::boot_id() {
  static const std::uint64_t start = read_machine_start();
  return start;
}

Store::Store(std::string folder, std::size_t bytes_most)
    : folder_(std::move(folder)), max_bytes_(bytes_most) {
  std::filesystem::create_directories(folder_);
  find_files();
  record_clock();
  if (compact()) return;
  // An error that may pass: what is held is owed all the same, and the file is written once it can be.
  rewrite_needed_ = write_error_ == ENOSPC || write_error_ == EDQUOT || write_error_ == EIO;
  if (!rewrite_needed_)
    throw std::runtime_error("cannot write in the folder " + folder_ + ": " + std::strerror(write_error_));
}

Store::Store(std::string folder, std::size_t bytes_most, const HandoverState& passed)
    : folder_(std::move(folder)), max_bytes_(bytes_most), path_(passed.path), fd_(passed.descriptor) {
  find_files();
  replay(passed.snapshot, 0);
  record_clock();
  last_doc_number_ = passed.last_doc_number, file_bytes_ = passed.file_bytes,
  rewrite_needed_ = passed.rewrite_needed;
}

Store::~Store() {
  if (fd_ >= 0) ::close(fd_);
  for (auto& [path, fd] : recovered_files_) ::close(fd);
}

Store::HandoverState Store::handover_state() const {
  return {path_, snapshot(), fd_, last_doc_number_, file_bytes_, rewrite_needed_};
}

bool Store::has_owner(const std::string& folder) {
  for (int n = 1; n <= files_most; ++n) {
    int fd = locked(file_name(folder, n));
    if (fd == lives) return true;
    if (fd >= 0) ::close(fd);
  }
  return false;
}

// Files are found by their names: one of a process that lives stays with it, any other is taken up. The first
// name that is not another's is this process's own.
void Store::find_files() {
  for (int n = 1; n <= files_most; ++n) {
    auto path = file_name(folder_, n);
    if (path == path_) continue;
    int fd = locked(path);
    if (fd == lives) other_files_.push_back(path);
    else if (fd >= 0) recover_file(path, fd);
    if (fd != lives && path_.empty()) path_ = path;
  }
  if (path_.empty()) throw std::runtime_error("all files in the folder " + folder_ + " belong to others");
  // What staff have taken out is out for this process too, whoever has the file that says so.
  for (const auto& path : other_files_)
    each_record(bytes_of(path), [this](char kind, std::uint64_t, std::string_view rest) {
      if (kind == 'O' || kind == 'B') apply(kind, DocId{}, rest);
    });
}

void Store::recover_file(const std::string& path, int fd) {
  std::remove((path + ".new").c_str());
  replay(bytes_of(path), last_doc_number_);
  has_recovered_file_ = true;
  record_clock();
  recovered_files_.emplace_back(path, fd);
}

std::vector<DocId> Store::adopt_orphaned_files() {
  std::vector<DocId> came;
  auto before = last_doc_number_;
  auto outs = offline_endpoints_;
  std::vector<std::string> living;
  for (const auto& path : std::exchange(other_files_, {})) {
    int fd = locked(path);
    if (fd == lives) living.push_back(path);
    else if (fd >= 0) recover_file(path, fd);
  }
  other_files_ = std::move(living);
  offline_endpoints_ = std::move(outs);  // read at the start already; since then this process alone is told
  for (auto found = documents_.upper_bound(DocId(before)); found != documents_.end();) {
    auto at = found++;
    // Guards against one that both files hold, as after a kill between the two steps of a compaction.
    if (by_id_.at(at->second.id) != at->first) live_bytes_ -= at->second.record_bytes, documents_.erase(at);
    else came.push_back(at->first);
  }
  if (!recovered_files_.empty()) rewrite_needed_ = true;  // the own file does not hold them yet
  return came;
}

DocId Store::add(StoredDocument document) {
  DocId doc{++last_doc_number_};
  document.record_bytes = encode(document).size() + upkeep_bytes;
  live_bytes_ += document.record_bytes;
  by_id_.try_emplace(documents_.emplace(doc, std::move(document)).first->second.id, doc);
  return doc;
}

std::string Store::encode(const StoredDocument& document) {
  std::string rest;
  for (auto text : texts) put_text(rest, document.*text);
  put(rest, static_cast<std::uint64_t>(document.destination));
  put(rest, document.expiry);
  put(rest, static_cast<std::int32_t>(document.transmissions));
  put(rest, static_cast<std::uint32_t>(document.in_doubt.size()));
  for (const auto& sent : document.in_doubt) put_sent(rest, sent);
  put(rest, static_cast<char>(document.ended));
  put_type(rest, document.type);
  put(rest, static_cast<std::int32_t>(document.max_transmissions));
  put_end(rest, document.rejected, document.reject_wait);
  return rest;
}

StoredDocument Store::decode(std::string_view record) {
  Reader reader(record);
  return read_document(reader, true);
}

// The old file stands beside the new one while it is compacted. So at any time the file, with what is
// pending, and all that is live must fit together; and what is live, twice.
bool Store::has_room(std::size_t bytes) {
  auto wanted = live_bytes_ + metadata_bytes_ + bytes + 2 * upkeep_bytes;
  auto most = this->max_file_bytes();
  if (wanted * 2 + slack_bytes > most) return false;
  if (file_bytes_ + pending_.size() + wanted + slack_bytes > most) return compact();
  return true;
}

void Store::record_accepted(DocId doc) {
  record_clock();
  StoredDocument& document = documents_.at(doc);
  document.journaled = true;
  pending_ += record_of('D', doc, encode(document));
  if (on_record) on_record('D', doc, 0);
}

// Notes by how much the wall clock is ahead of the one that nobody sets, where that has changed. Guards
// against a second effect after the wall clock was set back: an attempt would seem younger than it is, and
// its mark still known at the destination.
void Store::record_clock() {
  constexpr Millis apart_most = 10;
  const auto start = boot_id();
  auto ahead = EventLoop::wall_time() - EventLoop::monotonic_time();
  if (clock_recorded_ && start == boot_id_ && std::abs(ahead - wall_offset_) < apart_most) return;
  clock_recorded_ = true;
  auto rest = clock_record(ahead, start);
  pending_ += record_of('K', DocId{}, rest);
  apply('K', DocId{}, rest);
}

void Store::record_transmission(DocId doc, int transmission, Millis at, ZoneId hall) {
  record_clock();
  std::string rest;
  put_sent(rest, {transmission, at, hall});
  append_and_apply('S', doc, rest, transmission);
}

void Store::record_never_ran(DocId doc, int transmission) {
  std::string rest;
  put(rest, static_cast<std::int32_t>(transmission));
  append_and_apply('N', doc, rest, transmission);
}

void Store::record_ended(DocId doc, bool rejected, Millis wait) {
  std::string rest;
  put_end(rest, rejected, wait);
  append_and_apply('E', doc, rest);
}

void Store::remove(DocId doc) { append_and_apply('F', doc, {}); }

void Store::append_and_apply(char kind, DocId doc, std::string_view rest, int transmission) {
  auto found = documents_.find(doc);
  if (found == documents_.end()) return;
  bool tell = found->second.journaled && on_record;
  if (found->second.journaled) pending_ += record_of(kind, doc, rest);
  if (tell && kind == 'F') on_record(kind, doc, transmission);
  apply(kind, doc, rest);
  if (tell && kind != 'F') on_record(kind, doc, transmission);
}

bool Store::set_offline(const std::string& endpoint, bool out) {
  auto rest = text_record(endpoint);
  if ((offline_endpoints_.count(endpoint) > 0) == out) return flush();
  pending_ += record_of(out ? 'O' : 'B', DocId{}, rest);
  apply(out ? 'O' : 'B', DocId{}, rest);
  if (flush()) return true;
  // Guards against a yes, or a no, that a restart would turn round: what could not be noted is undone. The
  // file is behind now, and written anew, as things are, before anything else goes into it.
  apply(out ? 'B' : 'O', DocId{}, rest);
  rewrite_needed_ = true;
  return false;
}

void Store::set_metadata(const std::string& name, const std::string& text) {
  auto rest = note_record(name, text);
  pending_ += record_of('G', DocId{}, rest);
  apply('G', DocId{}, rest);
}

void Store::set_fleet_id(DocId doc, const std::string& deed) {
  auto found = documents_.find(doc);
  if (found == documents_.end()) return;
  if (found->second.journaled) pending_ += record_of('C', doc, text_record(deed));
  found->second.fleet_id = deed;
}

bool Store::flush() {
  if (pending_.empty() && !rewrite_needed_) return true;
  if (write_failures_ > 1 && EventLoop::monotonic_time() < retry_write_at_) return false;
  // Compaction writes the documents as they are now, with all that is pending.
  if (rewrite_needed_) pending_.clear();
  if (rewrite_needed_ ||
      file_bytes_ + pending_.size() + live_bytes_ + metadata_bytes_ + slack_bytes > max_file_bytes())
    return compact();
  bool written = write_all(fd_, pending_);
  if (written) file_bytes_ += pending_.size();
  pending_.clear();
  if (written) return true;
  // Guards against a record half written on a full disk, behind which no later one would be found again:
  // nothing more is added to this file.
  log_line("store: cannot add to the file: %s", std::strerror(errno));
  rewrite_needed_ = true;
  return compact();
}

std::string Store::snapshot() const {
  std::string bytes;
  // The fleet tells documents apart by their numbers: none is given again, also where its document is over.
  if (!metadata_.empty()) bytes += record_of('L', DocId{last_doc_number_}, {});
  if (!documents_.empty()) bytes += record_of('K', DocId{}, clock_record(wall_offset_, boot_id_));
  for (const auto& [doc, document] : documents_) {
    if (!document.journaled) continue;
    bytes += record_of('D', doc, encode(document));
    if (!document.fleet_id.empty()) bytes += record_of('C', doc, text_record(document.fleet_id));
  }
  for (const auto& [name, text] : metadata_) bytes += record_of('G', DocId{}, note_record(name, text));
  for (const auto& endpoint : offline_endpoints_) bytes += record_of('O', DocId{}, text_record(endpoint));
  return bytes;
}

// While another process lives, both share the room: no more than half of what it leaves.
std::size_t Store::max_file_bytes() const {
  std::size_t taken = 0;
  std::error_code none;
  for (const auto& path : other_files_)
    if (auto size = std::filesystem::file_size(path, none); !none) taken += size + slack_bytes;
  return other_files_.empty() ? max_bytes_ : (max_bytes_ - std::min(max_bytes_, taken)) / 2;
}

bool Store::write_failed(const char* step) {
  constexpr Millis pause = 100;  // a disk that fails for a while is not tried in each turn
  write_error_ = errno;
  retry_write_at_ = EventLoop::monotonic_time() + pause;
  if (++write_failures_ == 1)
    log_line("event=store_not_written step=\"%s\" bytes=%zu reason=\"%s\"", step, live_bytes_,
             std::strerror(write_error_));
  return false;
}

bool Store::compact() {
  auto fresh = path_ + ".new", kept = path_;
  int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return write_failed("make a file");
  auto bytes = snapshot();
  // Locked before it has its name: nobody may find it without an owner.
  ::flock(fd, LOCK_EX | LOCK_NB);
  if (!write_all(fd, bytes) || std::rename(fresh.c_str(), kept.c_str()) != 0) {
    write_failed("compact");
    ::close(fd);
    std::remove(fresh.c_str());
    return false;
  }
  if (write_failures_ > 0) log_line("event=store_written failures=%d", write_failures_);
  write_failures_ = 0;
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd, file_bytes_ = bytes.size(), rewrite_needed_ = false;
  clock_recorded_ = !documents_.empty();
  pending_.clear();
  for (const auto& [path, taken] : std::exchange(recovered_files_, {})) {
    if (path != path_) std::remove(path.c_str());
    ::close(taken);
  }
  return true;
}

void Store::replay(std::string_view bytes, std::uint64_t base) {
  auto read = each_record(bytes, [&](char kind, std::uint64_t number, std::string_view rest) {
    last_doc_number_ = std::max(last_doc_number_, base + number);
    apply(kind, DocId{base + number}, rest);
  });
  if (read < bytes.size()) log_line("store: %zu bytes of a torn tail skipped", bytes.size() - read);
  if (!documents_.empty()) log_line("store: %zu documents recovered", documents_.size());
}

// What a record makes of the documents held: the same as it is noted and as it is read again.
void Store::apply(char kind, DocId doc, std::string_view rest) {
  Reader reader(rest);
  if (kind == 'O' || kind == 'B') {
    if (kind == 'O') offline_endpoints_.insert(reader.text());
    else offline_endpoints_.erase(reader.text());
    return;
  }
  if (kind == 'G') {
    auto name = reader.text(), text = reader.text();
    if (auto known = metadata_.find(name); known != metadata_.end())
      metadata_bytes_ -= note_record(name, known->second).size() + upkeep_bytes, metadata_.erase(known);
    if (!text.empty())
      metadata_bytes_ += note_record(name, text).size() + upkeep_bytes, metadata_[name] = text;
    return;
  }
  if (kind == 'K') {
    auto ahead = reader.number<double>();
    auto start = reader.number<std::uint64_t>();
    // Since the same start of the machine the clock that nobody sets tells exactly by how much the wall clock
    // was stepped: deadlines and attempts move with it, so that the time left and their ages stay true.
    auto stepped = start == boot_id_ && start != 0 ? ahead - wall_offset_ : 0.0;
    for (auto& [other, document] : documents_) {
      document.expiry += stepped;
      for (auto& sent : document.in_doubt) sent.sent_at += stepped;
    }
    wall_offset_ = ahead, boot_id_ = start;
    return;
  }
  if (kind == 'D' || kind == 'T') {  // T: as version 0.2.0 wrote it, without its type
    auto document = read_document(reader, kind == 'D');
    document.record_bytes = sizeof kind + sizeof doc + rest.size() + upkeep_bytes, document.journaled = true;
    live_bytes_ += document.record_bytes;
    by_id_.try_emplace((documents_[doc] = std::move(document)).id, doc);
    return;
  }
  auto found = documents_.find(doc);
  if (found == documents_.end()) return;
  StoredDocument& document = found->second;
  if (kind == 'S') {
    document.in_doubt.push_back(reader.sent());
    document.transmissions = std::max(document.transmissions, document.in_doubt.back().number + 1);
  } else if (kind == 'C') {
    document.fleet_id = reader.text();
  } else if (kind == 'N') {
    auto transmission = reader.number<std::int32_t>();
    std::erase_if(document.in_doubt, [&](const auto& one) { return one.number == transmission; });
  } else if (kind == 'E') {
    document.ended = true, document.rejected = reader.number<char>() != 0;
    document.reject_wait = reader.number<double>();
    document.body.clear();
  } else if (kind == 'F') {
    live_bytes_ -= document.record_bytes;
    if (auto known = by_id_.find(document.id); known != by_id_.end() && known->second == doc)
      by_id_.erase(known);
    documents_.erase(found);
  }
}

}  // namespace rockcrank
