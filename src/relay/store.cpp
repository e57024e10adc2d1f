// The journal: an append-only file of records, compacted when it would exceed its size limit. A record that
// cannot be read neither stops the relay nor undoes the records before it.

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
#include "relay/store_records.h"
#include "settings/settings.h"

namespace rockcrank {

namespace {

// Reserved in advance for the header and the later records of a document.
constexpr std::size_t record_overhead_bytes = 256;
constexpr std::size_t block_slack_bytes = 4096;  // files occupy whole blocks

std::uint64_t read_boot_id() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  return std::getline(file, id) ? fnv1a_hash(id) : 0;
}

constexpr int max_files = 16;
constexpr int locked_by_other = -1, missing = -2;  // returned in place of a descriptor

std::string file_name(const std::string& folder, int n) {
  auto name = folder + "/held";
  if (n > 1) name.append(1, '.').append(std::to_string(n));
  return name;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

// Opens and locks the file. Returns locked_by_other if a running process owns it.
int open_locked(const std::string& path) {
  while (true) {
    int fd = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (fd < 0) return missing;
    bool locked_elsewhere = ::flock(fd, LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK;
    struct stat opened {
    }, current{};
    // The owner may have replaced the file by a compacted one between open and flock.
    bool unchanged =
        ::fstat(fd, &opened) == 0 && ::stat(path.c_str(), &current) == 0 && opened.st_ino == current.st_ino;
    if (unchanged && !locked_elsewhere) return fd;
    ::close(fd);
    if (unchanged) return locked_by_other;
  }
}

}  // namespace

std::uint64_t Store::boot_id() {
  static const std::uint64_t boot = read_boot_id();
  return boot;
}

std::string greater_metadata(const std::string&, const std::string& one, const std::string& other) {
  return std::max(one, other);
}

Store::Store(std::string folder, std::size_t max_bytes, MergeMetadata merge_metadata)
    : folder_(std::move(folder)),
      max_bytes_(max_bytes),
      merge_metadata_(std::move(merge_metadata)),
      ended_(max_bytes) {
  std::filesystem::create_directories(folder_);
  // Before the compaction, which makes one journal of all: a process that is killed later finds them ended.
  for (const auto& [doc, fate] : find_files().over) end_elsewhere(doc, fate);
  record_clock();
  if (compact()) return;
  // These errors may pass: the recovered documents are delivered all the same, and the file is rewritten as
  // soon as that succeeds.
  rewrite_needed_ = write_error_ == ENOSPC || write_error_ == EDQUOT || write_error_ == EIO;
  if (!rewrite_needed_)
    throw std::runtime_error("cannot write in the folder " + folder_ + ": " + std::strerror(write_error_));
}

Store::Store(std::string folder, std::size_t max_bytes, const HandoverState& state,
             MergeMetadata merge_metadata)
    : folder_(std::move(folder)),
      max_bytes_(max_bytes),
      merge_metadata_(std::move(merge_metadata)),
      path_(state.path),
      ended_(max_bytes),
      fd_(state.descriptor) {
  find_files();
  replay(state.snapshot, 0);
  record_clock();
  last_doc_number_ = state.last_doc_number, file_bytes_ = state.file_bytes,
  rewrite_needed_ = state.rewrite_needed;
}

Store::~Store() {
  if (fd_ >= 0) ::close(fd_);
  for (auto& [path, fd] : recovered_files_) ::close(fd);
}

Store::HandoverState Store::handover_state() const {
  // What is queued stays here, so the file lacks it until the successor has rewritten it from the snapshot.
  const bool rewrite_needed = rewrite_needed_ || !pending_.empty();
  return {path_, snapshot(), fd_, last_doc_number_, file_bytes_, rewrite_needed};
}

bool Store::has_owner(const std::string& folder) {
  for (int n = 1; n <= max_files; ++n) {
    int fd = open_locked(file_name(folder, n));
    if (fd == locked_by_other) return true;
    if (fd >= 0) ::close(fd);
  }
  return false;
}

// Finds journals by their names. One that a running process owns stays with it, any other is recovered. The
// first name that is not owned by another process becomes this process's own.
Store::Adopted Store::find_files() {
  Adopted recovered;
  for (int n = 1; n <= max_files; ++n) {
    auto path = file_name(folder_, n);
    if (path == path_) continue;
    int fd = open_locked(path);
    if (fd == locked_by_other) other_files_.push_back(path);
    else if (fd >= 0) recover_file(path, fd, recovered);
    if (fd != locked_by_other && path_.empty()) path_ = path;
  }
  if (path_.empty())
    throw std::runtime_error("all files in the folder " + folder_ + " are locked by other processes");
  // An endpoint taken offline is offline for this process too, whichever process owns the file that says so.
  for (const auto& path : other_files_) {
    const auto known = std::exchange(offline_orders_, {});
    for_each_record(read_file(path), [this](char kind, std::uint64_t, std::string_view payload) {
      if (kind == offline_kind || kind == online_kind) apply(kind, DocId{}, payload);
    });
    combine_offline_orders(known);
  }
  // No other journal has an older order that these would have to outlast.
  if (other_files_.empty()) std::erase_if(offline_orders_, [](const auto& at) { return !at.second.offline; });
  return recovered;
}

void Store::recover_file(const std::string& path, int fd, Adopted& adopted) {
  std::remove((path + ".new").c_str());
  const std::uint64_t first_found = last_doc_number_ + 1;
  std::set<std::string> ended_before;
  ended_.for_each([&](const std::string& id, const EndedDocument&) { ended_before.insert(id); });
  // Within a journal a later value replaces an earlier one; between journals neither does.
  const auto known = metadata_;
  for (const auto& [name, text] : known) assign_metadata(name, {});
  const auto known_orders = std::exchange(offline_orders_, {});
  replay(read_file(path), last_doc_number_);
  combine_metadata(known);
  for (const auto& [endpoint, order] : combine_offline_orders(known_orders))
    adopted.offline_orders[endpoint] = order.offline;
  has_recovered_file_ = true;
  record_clock();
  recovered_files_.emplace_back(path, fd);
  merge_documents(first_found, adopted);
  find_ended_elsewhere(first_found, ended_before, adopted);
}

Store::Adopted Store::adopt_orphaned_files() {
  Adopted adopted;
  std::vector<std::string> still_owned;
  for (const auto& path : std::exchange(other_files_, {})) {
    int fd = open_locked(path);
    if (fd == locked_by_other) still_owned.push_back(path);
    else if (fd >= 0) adopted.any_file = true, recover_file(path, fd, adopted);
  }
  other_files_ = std::move(still_owned);
  if (!recovered_files_.empty()) rewrite_needed_ = true;  // this process's own file doesn't have them yet
  return adopted;
}

// Two journals may have the same document: if a process was killed between renaming the compacted file and
// deleting the recovered one, or if it was handed in again at the later process. Documents of one journal are
// left as they are. first_found: the lowest number of the journal that was read last.
void Store::merge_documents(std::uint64_t first_found, Adopted& adopted) {
  for (auto found = documents_.lower_bound(DocId(first_found)); found != documents_.end();) {
    auto at = found++;
    const DocId accepted = by_id_.at(at->second.id);
    if (accepted >= DocId(first_found)) {
      adopted.found.push_back(at->first);
      continue;
    }
    if (merge(documents_.at(accepted), at->second)) adopted.merged.push_back(accepted);
    live_bytes_ -= at->second.record_bytes;
    documents_.erase(at);
  }
}

// Gives a document that another journal remembers as ended the same end; a delivery needs no notice.
void Store::end_elsewhere(DocId doc, DocumentFate fate) {
  StoredDocument& document = documents_.at(doc);
  if (fate == DocumentFate::undeliverable) {
    document.ended = true;
    document.body.clear();
    return;
  }
  live_bytes_ -= document.record_bytes;
  if (auto known = by_id_.find(document.id); known != by_id_.end() && known->second == doc)
    by_id_.erase(known);
  documents_.erase(doc);
}

// A document of one journal whose end another one remembers. ended_before: what the journals before the last
// one remember.
void Store::find_ended_elsewhere(std::uint64_t first_found, const std::set<std::string>& ended_before,
                                 Adopted& adopted) const {
  for (const auto& [doc, document] : documents_) {
    const auto fate = fate_of(document.id);
    const bool is_found = doc >= DocId(first_found), was_ended = ended_before.count(document.id) > 0;
    if (fate && !document.ended && is_found == was_ended) adopted.over.emplace_back(doc, *fate);
  }
}

DocId Store::add(StoredDocument document) {
  DocId doc{++last_doc_number_};
  document.record_bytes = encode(document).size() + record_overhead_bytes;
  live_bytes_ += document.record_bytes;
  by_id_.try_emplace(documents_.emplace(doc, std::move(document)).first->second.id, doc);
  return doc;
}

// Nothing was sent from here while the other process was running.
bool Store::merge(StoredDocument& accepted, const StoredDocument& found) const {
  const bool is_known = found.transmissions > 0 || found.ended || found.may_be_over;
  if (!is_known || accepted.transmissions > 0 || accepted.ended) return false;
  accepted.in_doubt = found.in_doubt;
  accepted.transmissions = found.transmissions;
  accepted.may_be_over = found.may_be_over || found.ended;
  return true;
}

std::optional<DocumentFate> Store::fate_of(std::string_view id) const {
  return ended_.find(id, EventLoop::wall_time());
}

void Store::remember_end(const StoredDocument& document) {
  if (!EndedDocuments::must_remember(document.type.retry_safety, !document.in_doubt.empty())) return;
  const auto fate = document.ended ? DocumentFate::undeliverable : DocumentFate::delivered;
  ended_.forget_expired(EventLoop::wall_time());
  ended_.remember(document.id, {fate, document.expiry});
}

// During compaction the old file exists beside the new one. So the file with the pending records plus all
// live data must fit within the limit at any time, and the live data must fit twice.
bool Store::has_room(std::size_t bytes) {
  auto needed = live_bytes_ + metadata_bytes_ + ended_.bytes() + bytes + 2 * record_overhead_bytes;
  auto limit = this->max_file_bytes();
  if (needed * 2 + block_slack_bytes > limit) return false;
  if (file_bytes_ + pending_.size() + needed + block_slack_bytes > limit) return compact();
  return true;
}

void Store::record_accepted(DocId doc) {
  record_clock();
  StoredDocument& document = documents_.at(doc);
  document.journaled = true;
  pending_ += make_record(document_kind, doc, encode(document));
  if (on_record) on_record(document_kind, doc, 0);
}

// Records the offset of the wall clock from the monotonic clock if it has changed. Otherwise, after the wall
// clock was set back, a transmission would seem younger than it is and its idempotency key still known at the
// destination, so a repeat could take effect twice.
void Store::record_clock() {
  constexpr Millis min_clock_step = 10;
  const auto boot = boot_id();
  auto offset = EventLoop::wall_time() - EventLoop::monotonic_time();
  if (clock_recorded_ && boot == boot_id_ && std::abs(offset - wall_offset_) < min_clock_step) return;
  clock_recorded_ = true;
  auto payload = encode_clock(offset, boot);
  pending_ += make_record(clock_kind, DocId{}, payload);
  apply(clock_kind, DocId{}, payload);
}

void Store::record_transmission(DocId doc, int transmission, Millis sent_at, ZoneId zone) {
  record_clock();
  std::string payload;
  append_transmission(payload, {transmission, sent_at, zone});
  append_and_apply(transmission_kind, doc, payload, transmission);
}

void Store::record_never_ran(DocId doc, int transmission) {
  std::string payload;
  append_number(payload, static_cast<std::int32_t>(transmission));
  append_and_apply(never_ran_kind, doc, payload, transmission);
}

void Store::record_ended(DocId doc, bool rejected, Millis wait) {
  std::string payload;
  append_end(payload, rejected, wait);
  append_and_apply(ended_kind, doc, payload);
}

void Store::record_may_be_over(DocId doc, bool may_be_over) {
  append_and_apply(may_be_over_kind, doc, std::string(1, static_cast<char>(may_be_over)));
}

void Store::remove(DocId doc) { append_and_apply(removed_kind, doc, {}); }

void Store::append_and_apply(char kind, DocId doc, std::string_view payload, int transmission) {
  auto found = documents_.find(doc);
  if (found == documents_.end()) return;
  bool notify = found->second.journaled && on_record;
  if (found->second.journaled) pending_ += make_record(kind, doc, payload);
  if (notify && kind == removed_kind) on_record(kind, doc, transmission);
  apply(kind, doc, payload);
  if (notify && kind != removed_kind) on_record(kind, doc, transmission);
}

std::set<std::string> Store::offline_endpoints() const {
  std::set<std::string> endpoints;
  for (const auto& [endpoint, order] : offline_orders_)
    if (order.offline) endpoints.insert(endpoint);
  return endpoints;
}

bool Store::set_offline(const std::string& endpoint, bool offline) {
  const auto before = offline_orders_;
  if (auto known = before.find(endpoint); (known != before.end() && known->second.offline) == offline)
    return flush();
  std::uint64_t highest = 0;
  for (const auto& [other, order] : before) highest = std::max(highest, order.number);
  record_offline_order(endpoint, {highest + 1, offline});
  if (flush()) return true;
  // The change is undone if it could not be written, because a restart would not find it. The file may have a
  // part of the record, so it is rewritten from memory before anything else is appended.
  offline_orders_ = before;
  rewrite_needed_ = true;
  return false;
}

void Store::record_offline_order(const std::string& endpoint, const OfflineOrder& order) {
  const char kind = order.offline ? offline_kind : online_kind;
  const auto payload = encode_offline_order(endpoint, order.number);
  pending_ += make_record(kind, DocId{}, payload);
  apply(kind, DocId{}, payload);
}

// An order to take offline counts more than one of the same number to put online: calls that are held back
// harm less than calls to an endpoint under maintenance.
Store::OfflineOrders Store::combine_offline_orders(const OfflineOrders& earlier) {
  auto changed = std::exchange(offline_orders_, earlier);
  std::erase_if(changed, [&](const auto& at) {
    const auto known = earlier.find(at.first);
    return known != earlier.end() && at.second <= known->second;
  });
  for (const auto& [endpoint, order] : changed) offline_orders_[endpoint] = order;
  return changed;
}

void Store::set_metadata(const std::string& name, const std::string& text) {
  auto payload = encode_metadata(name, text);
  pending_ += make_record(metadata_kind, DocId{}, payload);
  apply(metadata_kind, DocId{}, payload);
}

void Store::assign_metadata(const std::string& name, const std::string& text) {
  if (auto known = metadata_.find(name); known != metadata_.end()) {
    metadata_bytes_ -= encode_metadata(name, known->second).size() + record_overhead_bytes;
    metadata_.erase(known);
  }
  if (text.empty()) return;
  metadata_bytes_ += encode_metadata(name, text).size() + record_overhead_bytes;
  metadata_[name] = text;
}

void Store::combine_metadata(const std::map<std::string, std::string>& found) {
  for (const auto& [name, text] : found) {
    auto known = metadata_.find(name);
    assign_metadata(name, known == metadata_.end() ? text : merge_metadata_(name, known->second, text));
  }
}

void Store::set_fleet_id(DocId doc, const std::string& fleet_id) {
  auto found = documents_.find(doc);
  if (found == documents_.end()) return;
  if (found->second.journaled) pending_ += make_record(fleet_id_kind, doc, encode_string(fleet_id));
  found->second.fleet_id = fleet_id;
}

bool Store::flush() {
  if (pending_.empty() && !rewrite_needed_) return true;
  if (write_failures_ > 1 && EventLoop::monotonic_time() < retry_write_at_) return false;
  // Compaction writes the current state, which includes all that is pending.
  if (rewrite_needed_) pending_.clear();
  const std::size_t rewritten_bytes = live_bytes_ + metadata_bytes_ + ended_.bytes();
  if (rewrite_needed_ ||
      file_bytes_ + pending_.size() + rewritten_bytes + block_slack_bytes > max_file_bytes())
    return compact();
  bool written = write_all(fd_, pending_);
  if (written) file_bytes_ += pending_.size();
  pending_.clear();
  if (written) return true;
  // A record may be partly written, as on a full disk, and replay would stop there. So nothing more is
  // appended to this file.
  log_line("store: cannot append to the file: %s", std::strerror(errno));
  rewrite_needed_ = true;
  return compact();
}

std::string Store::snapshot() const {
  std::string bytes;
  // The fleet identifies documents by their numbers, so a number is not reused even after its document was
  // removed.
  if (!metadata_.empty()) bytes += make_record(last_number_kind, DocId{last_doc_number_}, {});
  if (!documents_.empty() || ended_.bytes() > 0)
    bytes += make_record(clock_kind, DocId{}, encode_clock(wall_offset_, boot_id_));
  ended_.for_each([&](const std::string& id, const EndedDocument& ended) {
    bytes += make_record(remembered_end_kind, DocId{}, encode_remembered_end(id, ended));
  });
  for (const auto& [doc, document] : documents_) {
    if (!document.journaled) continue;
    bytes += make_record(document_kind, doc, encode(document));
    if (!document.fleet_id.empty())
      bytes += make_record(fleet_id_kind, doc, encode_string(document.fleet_id));
  }
  for (const auto& [name, text] : metadata_)
    bytes += make_record(metadata_kind, DocId{}, encode_metadata(name, text));
  for (const auto& [endpoint, order] : offline_orders_)
    bytes += make_record(order.offline ? offline_kind : online_kind, DocId{},
                         encode_offline_order(endpoint, order.number));
  return bytes;
}

// While another process is running, both share the space: at most half of what its files leave.
std::size_t Store::max_file_bytes() const {
  std::size_t used = 0;
  std::error_code error;
  for (const auto& path : other_files_)
    if (auto size = std::filesystem::file_size(path, error); !error) used += size + block_slack_bytes;
  return other_files_.empty() ? max_bytes_ : (max_bytes_ - std::min(max_bytes_, used)) / 2;
}

bool Store::write_failed(const char* step) {
  constexpr Millis retry_interval = 100;  // avoids a retry in each turn while the disk fails
  write_error_ = errno;
  retry_write_at_ = EventLoop::monotonic_time() + retry_interval;
  if (++write_failures_ == 1)
    log_line("event=store_not_written step=\"%s\" bytes=%zu reason=\"%s\"", step, live_bytes_,
             std::strerror(write_error_));
  return false;
}

bool Store::compact() {
  auto new_path = path_ + ".new", target_path = path_;
  int fd = ::open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return write_failed("make a file");
  auto bytes = snapshot();
  // Locked before it gets its final name, so that no process finds it without an owner.
  ::flock(fd, LOCK_EX | LOCK_NB);
  if (!write_all(fd, bytes) || std::rename(new_path.c_str(), target_path.c_str()) != 0) {
    write_failed("compact");
    ::close(fd);
    std::remove(new_path.c_str());
    return false;
  }
  if (write_failures_ > 0) log_line("event=store_written failures=%d", write_failures_);
  write_failures_ = 0;
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd, file_bytes_ = bytes.size(), rewrite_needed_ = false;
  clock_recorded_ = !documents_.empty() || ended_.bytes() > 0;
  pending_.clear();
  for (const auto& [path, recovered_fd] : std::exchange(recovered_files_, {})) {
    if (path != path_) std::remove(path.c_str());
    ::close(recovered_fd);
  }
  return true;
}

void Store::replay(std::string_view bytes, std::uint64_t base) {
  auto bytes_read = for_each_record(bytes, [&](char kind, std::uint64_t number, std::string_view payload) {
    last_doc_number_ = std::max(last_doc_number_, base + number);
    apply(kind, DocId{base + number}, payload);
  });
  if (bytes_read < bytes.size())
    log_line("store: skipped a torn tail of %zu bytes", bytes.size() - bytes_read);
  if (!documents_.empty()) log_line("store: %zu documents recovered", documents_.size());
}

// Within one boot the monotonic clock shows exactly by how much the wall clock was stepped. Expiries and
// transmission times move with it, so that remaining times and ages stay correct.
void Store::apply_clock(RecordReader& reader) {
  auto offset = reader.number<double>();
  auto boot = reader.number<std::uint64_t>();
  auto stepped = boot == boot_id_ && boot != 0 ? offset - wall_offset_ : 0.0;
  for (auto& [other, document] : documents_) {
    document.expiry += stepped;
    for (auto& transmission : document.in_doubt) transmission.sent_at += stepped;
  }
  ended_.shift(stepped);
  wall_offset_ = offset, boot_id_ = boot;
}

// Applies a record to the state in memory, both when it is queued and when it is replayed.
void Store::apply(char kind, DocId doc, std::string_view payload) {
  RecordReader reader(payload);
  if (kind == offline_kind || kind == online_kind) {
    const std::string endpoint = reader.text();
    // Older versions wrote no number.
    const auto number = reader.remaining().empty() ? 0 : reader.number<std::uint64_t>();
    offline_orders_[endpoint] = {number, kind == offline_kind};
    return;
  }
  if (kind == metadata_kind) {
    const std::string name = reader.text(), text = reader.text();
    return assign_metadata(name, text);
  }
  if (kind == clock_kind) return apply_clock(reader);
  if (kind == remembered_end_kind) {
    const std::string id = reader.text();
    const auto fate = DocumentFate(reader.number<char>());
    return ended_.remember(id, {fate, reader.number<double>()});
  }
  if (kind == document_kind || kind == untyped_document_kind) {
    auto document = read_document(reader, kind == document_kind);
    document.record_bytes = sizeof kind + sizeof doc + payload.size() + record_overhead_bytes,
    document.journaled = true;
    live_bytes_ += document.record_bytes;
    by_id_.try_emplace((documents_[doc] = std::move(document)).id, doc);
    return;
  }
  auto found = documents_.find(doc);
  if (found == documents_.end()) return;
  StoredDocument& document = found->second;
  if (kind == transmission_kind) {
    document.in_doubt.push_back(reader.transmission());
    document.transmissions = std::max(document.transmissions, document.in_doubt.back().number + 1);
  } else if (kind == fleet_id_kind) {
    document.fleet_id = reader.text();
  } else if (kind == never_ran_kind) {
    auto transmission = reader.number<std::int32_t>();
    std::erase_if(document.in_doubt, [&](const auto& sent) { return sent.number == transmission; });
  } else if (kind == ended_kind) {
    document.ended = true, document.rejected = reader.number<char>() != 0;
    document.reject_retry_after = reader.number<double>();
    document.body.clear();
  } else if (kind == may_be_over_kind) {
    document.may_be_over = reader.number<char>() != 0;
  } else if (kind == removed_kind) {
    live_bytes_ -= document.record_bytes;
    remember_end(document);
    if (auto known = by_id_.find(document.id); known != by_id_.end() && known->second == doc)
      by_id_.erase(known);
    documents_.erase(found);
  }
}

}  // namespace rockcrank
