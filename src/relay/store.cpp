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

void put_sent(std::string& to, const Held::Sent& sent) {
  put(to, static_cast<std::int32_t>(sent.transmission));
  put(to, sent.at);
  put(to, static_cast<std::uint32_t>(sent.hall));
}

void put_type(std::string& to, const DocType& type) {
  for (double number : {type.agreed_time, type.lifetime, type.late_value, type.key_window}) put(to, number);
  put(to, static_cast<char>(type.repeat)), put(to, static_cast<char>(type.key_group));
  put(to, static_cast<char>(type.in_order));
}

void put_end(std::string& to, bool rejected, Millis wait) {
  put(to, static_cast<char>(rejected));
  put(to, wait);
}

// The texts of a document, in the order of its record.
constexpr std::string Held::*texts[] = {&Held::id,        &Held::mark,     &Held::body,
                                        &Held::order_key, &Held::doc_type, &Held::tenant};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  template <typename Number>
  Number number() {
    Number value;
    if (rest_.size() < sizeof value) throw Fault("a record is too short");
    std::memcpy(&value, rest_.data(), sizeof value);
    rest_.remove_prefix(sizeof value);
    return value;
  }
  std::string text() {
    auto size = number<std::uint32_t>();
    if (rest_.size() < size) throw Fault("a record is too short");
    std::string value(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return value;
  }
  Held::Sent sent() {
    auto transmission = number<std::int32_t>();
    auto at = number<double>();
    return {transmission, at, HallId(number<std::uint32_t>())};
  }
  DocType type() {
    DocType type;
    for (double* number : {&type.agreed_time, &type.lifetime, &type.late_value, &type.key_window})
      *number = this->number<double>();
    type.repeat = Repeat(number<char>()), type.key_group = KeyGroup(number<char>());
    type.in_order = number<char>() != 0;
    return type;
  }
  std::string_view rest() const { return rest_; }

 private:
  std::string_view rest_;
};

// with_type: not so in files of version 0.2.0.
Held read_document(Reader& reader, bool with_type) {
  Held document;
  for (auto text : texts) document.*text = reader.text();
  document.destination = DestinationId(reader.number<std::uint64_t>());
  document.expiry = reader.number<double>();
  document.transmissions = reader.number<std::int32_t>();
  for (auto count = reader.number<std::uint32_t>(); count > 0; --count)
    document.unproven.push_back(reader.sent());
  document.ended = reader.number<char>() != 0;
  if (with_type) document.type = reader.type(), document.most = reader.number<std::int32_t>();
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
  return std::getline(file, id) ? hash_of(id) : 0;
}

std::string clock_record(Millis wall_ahead, std::uint64_t start) {
  std::string rest;
  put(rest, wall_ahead), put(rest, start);
  return rest;
}

std::uint32_t sum_of(std::string_view bytes) { return static_cast<std::uint32_t>(hash_of(bytes) >> 7); }

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
    } catch (const Fault& fault) { log_line("store: %s", fault.what()); }
  }
  return at;
}

}  // namespace

std::uint64_t Store::machine_start() {
  static const std::uint64_t start = read_machine_start();
  return start;
}

Store::Store(std::string folder, std::size_t bytes_most)
    : folder_(std::move(folder)), bytes_most_(bytes_most) {
  std::filesystem::create_directories(folder_);
  find_files();
  keep_time();
  if (compact()) return;
  // An error that may pass: what is held is owed all the same, and the file is written once it can be.
  behind_ = write_error_ == ENOSPC || write_error_ == EDQUOT || write_error_ == EIO;
  if (!behind_)
    throw std::runtime_error("cannot write in the folder " + folder_ + ": " + std::strerror(write_error_));
}

Store::Store(std::string folder, std::size_t bytes_most, const Passed& passed)
    : folder_(std::move(folder)), bytes_most_(bytes_most), path_(passed.path), fd_(passed.descriptor) {
  find_files();
  recover(passed.image, 0);
  keep_time();
  last_ = passed.last, file_bytes_ = passed.file_bytes, behind_ = passed.behind;
}

Store::~Store() {
  if (fd_ >= 0) ::close(fd_);
  for (auto& [path, fd] : taken_up_) ::close(fd);
}

Store::Passed Store::pass() const { return {path_, image(), fd_, last_, file_bytes_, behind_}; }

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
    if (fd == lives) others_.push_back(path);
    else if (fd >= 0) take_up(path, fd);
    if (fd != lives && path_.empty()) path_ = path;
  }
  if (path_.empty()) throw std::runtime_error("all files in the folder " + folder_ + " belong to others");
  // What staff have taken out is out for this process too, whoever has the file that says so.
  for (const auto& path : others_)
    each_record(bytes_of(path), [this](char kind, std::uint64_t, std::string_view rest) {
      if (kind == 'O' || kind == 'B') apply(kind, DocId{}, rest);
    });
}

void Store::take_up(const std::string& path, int fd) {
  std::remove((path + ".new").c_str());
  recover(bytes_of(path), last_);
  had_owner_ = true;
  keep_time();
  taken_up_.emplace_back(path, fd);
}

std::vector<DocId> Store::adopt() {
  std::vector<DocId> came;
  auto before = last_;
  auto outs = outs_;
  std::vector<std::string> living;
  for (const auto& path : std::exchange(others_, {})) {
    int fd = locked(path);
    if (fd == lives) living.push_back(path);
    else if (fd >= 0) take_up(path, fd);
  }
  others_ = std::move(living);
  outs_ = std::move(outs);  // read at the start already; since then this process alone is told
  for (auto found = held_.upper_bound(DocId(before)); found != held_.end();) {
    auto at = found++;
    // Guards against one that both files hold, as after a kill between the two steps of a compaction.
    if (by_id_.at(at->second.id) != at->first) live_bytes_ -= at->second.bytes, held_.erase(at);
    else came.push_back(at->first);
  }
  if (!taken_up_.empty()) behind_ = true;  // the own file does not hold them yet
  return came;
}

DocId Store::add(Held document) {
  DocId doc{++last_};
  document.bytes = whole(document).size() + upkeep_bytes;
  live_bytes_ += document.bytes;
  by_id_.try_emplace(held_.emplace(doc, std::move(document)).first->second.id, doc);
  return doc;
}

std::string Store::whole(const Held& document) {
  std::string rest;
  for (auto text : texts) put_text(rest, document.*text);
  put(rest, static_cast<std::uint64_t>(document.destination));
  put(rest, document.expiry);
  put(rest, static_cast<std::int32_t>(document.transmissions));
  put(rest, static_cast<std::uint32_t>(document.unproven.size()));
  for (const auto& sent : document.unproven) put_sent(rest, sent);
  put(rest, static_cast<char>(document.ended));
  put_type(rest, document.type);
  put(rest, static_cast<std::int32_t>(document.most));
  put_end(rest, document.rejected, document.reject_wait);
  return rest;
}

Held Store::read(std::string_view record) {
  Reader reader(record);
  return read_document(reader, true);
}

// The old file stands beside the new one while it is compacted. So at any time the file, with what is
// pending, and all that is live must fit together; and what is live, twice.
bool Store::has_room(std::size_t bytes) {
  auto wanted = live_bytes_ + notes_bytes_ + bytes + 2 * upkeep_bytes;
  auto most = this->most();
  if (wanted * 2 + slack_bytes > most) return false;
  if (file_bytes_ + pending_.size() + wanted + slack_bytes > most) return compact();
  return true;
}

void Store::taken(DocId doc) {
  keep_time();
  Held& document = held_.at(doc);
  document.noted = true;
  pending_ += record_of('D', doc, whole(document));
  if (on_noted) on_noted('D', doc, 0);
}

// Notes by how much the wall clock is ahead of the one that nobody sets, where that has changed. Guards
// against a second effect after the wall clock was set back: an attempt would seem younger than it is, and
// its mark still known at the destination.
void Store::keep_time() {
  constexpr Millis apart_most = 10;
  const auto start = machine_start();
  auto ahead = Loop::wall() - Loop::monotonic();
  if (clock_noted_ && start == machine_start_ && std::abs(ahead - wall_ahead_) < apart_most) return;
  clock_noted_ = true;
  auto rest = clock_record(ahead, start);
  pending_ += record_of('K', DocId{}, rest);
  apply('K', DocId{}, rest);
}

void Store::sent(DocId doc, int transmission, Millis at, HallId hall) {
  keep_time();
  std::string rest;
  put_sent(rest, {transmission, at, hall});
  change('S', doc, rest, transmission);
}

void Store::never_ran(DocId doc, int transmission) {
  std::string rest;
  put(rest, static_cast<std::int32_t>(transmission));
  change('N', doc, rest, transmission);
}

void Store::ended(DocId doc, bool rejected, Millis wait) {
  std::string rest;
  put_end(rest, rejected, wait);
  change('E', doc, rest);
}

void Store::forget(DocId doc) { change('F', doc, {}); }

void Store::change(char kind, DocId doc, std::string_view rest, int transmission) {
  auto found = held_.find(doc);
  if (found == held_.end()) return;
  bool tell = found->second.noted && on_noted;
  if (found->second.noted) pending_ += record_of(kind, doc, rest);
  if (tell && kind == 'F') on_noted(kind, doc, transmission);
  apply(kind, doc, rest);
  if (tell && kind != 'F') on_noted(kind, doc, transmission);
}

bool Store::set_out(const std::string& endpoint, bool out) {
  auto rest = text_record(endpoint);
  if ((outs_.count(endpoint) > 0) == out) return flush();
  pending_ += record_of(out ? 'O' : 'B', DocId{}, rest);
  apply(out ? 'O' : 'B', DocId{}, rest);
  if (flush()) return true;
  // Guards against a yes, or a no, that a restart would turn round: what could not be noted is undone. The
  // file is behind now, and written anew, as things are, before anything else goes into it.
  apply(out ? 'B' : 'O', DocId{}, rest);
  behind_ = true;
  return false;
}

void Store::set_note(const std::string& name, const std::string& text) {
  auto rest = note_record(name, text);
  pending_ += record_of('G', DocId{}, rest);
  apply('G', DocId{}, rest);
}

void Store::set_deed(DocId doc, const std::string& deed) {
  auto found = held_.find(doc);
  if (found == held_.end()) return;
  if (found->second.noted) pending_ += record_of('C', doc, text_record(deed));
  found->second.deed = deed;
}

bool Store::flush() {
  if (pending_.empty() && !behind_) return true;
  if (write_failures_ > 1 && Loop::monotonic() < write_again_at_) return false;
  // Compaction writes the documents as they are now, with all that is pending.
  if (behind_) pending_.clear();
  if (behind_ || file_bytes_ + pending_.size() + live_bytes_ + notes_bytes_ + slack_bytes > most())
    return compact();
  bool written = write_all(fd_, pending_);
  if (written) file_bytes_ += pending_.size();
  pending_.clear();
  if (written) return true;
  // Guards against a record half written on a full disk, behind which no later one would be found again:
  // nothing more is added to this file.
  log_line("store: cannot add to the file: %s", std::strerror(errno));
  behind_ = true;
  return compact();
}

std::string Store::image() const {
  std::string bytes;
  // The fleet tells documents apart by their numbers: none is given again, also where its document is over.
  if (!notes_.empty()) bytes += record_of('L', DocId{last_}, {});
  if (!held_.empty()) bytes += record_of('K', DocId{}, clock_record(wall_ahead_, machine_start_));
  for (const auto& [doc, document] : held_) {
    if (!document.noted) continue;
    bytes += record_of('D', doc, whole(document));
    if (!document.deed.empty()) bytes += record_of('C', doc, text_record(document.deed));
  }
  for (const auto& [name, text] : notes_) bytes += record_of('G', DocId{}, note_record(name, text));
  for (const auto& endpoint : outs_) bytes += record_of('O', DocId{}, text_record(endpoint));
  return bytes;
}

// While another process lives, both share the room: no more than half of what it leaves.
std::size_t Store::most() const {
  std::size_t taken = 0;
  std::error_code none;
  for (const auto& path : others_)
    if (auto size = std::filesystem::file_size(path, none); !none) taken += size + slack_bytes;
  return others_.empty() ? bytes_most_ : (bytes_most_ - std::min(bytes_most_, taken)) / 2;
}

bool Store::not_written(const char* step) {
  constexpr Millis pause = 100;  // a disk that fails for a while is not tried in each turn
  write_error_ = errno;
  write_again_at_ = Loop::monotonic() + pause;
  if (++write_failures_ == 1)
    log_line("event=store_not_written step=\"%s\" bytes=%zu reason=\"%s\"", step, live_bytes_,
             std::strerror(write_error_));
  return false;
}

bool Store::compact() {
  auto fresh = path_ + ".new", kept = path_;
  int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return not_written("make a file");
  auto bytes = image();
  // Locked before it has its name: nobody may find it without an owner.
  ::flock(fd, LOCK_EX | LOCK_NB);
  if (!write_all(fd, bytes) || std::rename(fresh.c_str(), kept.c_str()) != 0) {
    not_written("compact");
    ::close(fd);
    std::remove(fresh.c_str());
    return false;
  }
  if (write_failures_ > 0) log_line("event=store_written failures=%d", write_failures_);
  write_failures_ = 0;
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd, file_bytes_ = bytes.size(), behind_ = false;
  clock_noted_ = !held_.empty();
  pending_.clear();
  for (const auto& [path, taken] : std::exchange(taken_up_, {})) {
    if (path != path_) std::remove(path.c_str());
    ::close(taken);
  }
  return true;
}

void Store::recover(std::string_view bytes, std::uint64_t base) {
  auto read = each_record(bytes, [&](char kind, std::uint64_t number, std::string_view rest) {
    last_ = std::max(last_, base + number);
    apply(kind, DocId{base + number}, rest);
  });
  if (read < bytes.size()) log_line("store: %zu bytes of a torn tail skipped", bytes.size() - read);
  if (!held_.empty()) log_line("store: %zu documents recovered", held_.size());
}

// What a record makes of the documents held: the same as it is noted and as it is read again.
void Store::apply(char kind, DocId doc, std::string_view rest) {
  Reader reader(rest);
  if (kind == 'O' || kind == 'B') {
    if (kind == 'O') outs_.insert(reader.text());
    else outs_.erase(reader.text());
    return;
  }
  if (kind == 'G') {
    auto name = reader.text(), text = reader.text();
    if (auto known = notes_.find(name); known != notes_.end())
      notes_bytes_ -= note_record(name, known->second).size() + upkeep_bytes, notes_.erase(known);
    if (!text.empty()) notes_bytes_ += note_record(name, text).size() + upkeep_bytes, notes_[name] = text;
    return;
  }
  if (kind == 'K') {
    auto ahead = reader.number<double>();
    auto start = reader.number<std::uint64_t>();
    // Since the same start of the machine the clock that nobody sets tells exactly by how much the wall clock
    // was stepped: deadlines and attempts move with it, so that the time left and their ages stay true.
    auto stepped = start == machine_start_ && start != 0 ? ahead - wall_ahead_ : 0.0;
    for (auto& [other, document] : held_) {
      document.expiry += stepped;
      for (auto& sent : document.unproven) sent.at += stepped;
    }
    wall_ahead_ = ahead, machine_start_ = start;
    return;
  }
  if (kind == 'D' || kind == 'T') {  // T: as version 0.2.0 wrote it, without its type
    auto document = read_document(reader, kind == 'D');
    document.bytes = sizeof kind + sizeof doc + rest.size() + upkeep_bytes, document.noted = true;
    live_bytes_ += document.bytes;
    by_id_.try_emplace((held_[doc] = std::move(document)).id, doc);
    return;
  }
  auto found = held_.find(doc);
  if (found == held_.end()) return;
  Held& document = found->second;
  if (kind == 'S') {
    document.unproven.push_back(reader.sent());
    document.transmissions = std::max(document.transmissions, document.unproven.back().transmission + 1);
  } else if (kind == 'C') {
    document.deed = reader.text();
  } else if (kind == 'N') {
    auto transmission = reader.number<std::int32_t>();
    std::erase_if(document.unproven, [&](const auto& one) { return one.transmission == transmission; });
  } else if (kind == 'E') {
    document.ended = true, document.rejected = reader.number<char>() != 0;
    document.reject_wait = reader.number<double>();
    document.body.clear();
  } else if (kind == 'F') {
    live_bytes_ -= document.bytes;
    if (auto known = by_id_.find(document.id); known != by_id_.end() && known->second == doc)
      by_id_.erase(known);
    held_.erase(found);
  }
}

}  // namespace rockcrank
