// File format: a line with a magic text and the format version, a checksum of the rest, and the rest as
// packed by codec.h. The file is written under a temporary name and then renamed. It is not synced: it
// survives the process, but a power failure may lose it, and the relay then starts without state of its
// destinations.

#include "peer/state_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <utility>

#include "fleet/errors.h"
#include "fleet/register_table.h"
#include "peer/codec.h"
#include "relay/files.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rockcrank::peer {
namespace {

using fleet::BadStateFile;

constexpr std::string_view magic = "rockcrank fleet state, form ";
constexpr std::string_view format_version = "1\n";  // changed with every change of fields()
constexpr std::size_t checksum_bytes = 8;
constexpr Millis max_clock_step_back = 1000;  // tolerated step back of the wall clock

struct StateImage {
  std::string fleet;
  fleet::MemberId member{};
  ClockReading written;
  std::vector<fleet::RegisterRecord> records;
  auto fields() { return std::tie(fleet, member, written, records); }
};

std::uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

bool write_whole(const std::string& path, std::string_view bytes) {
  int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  bool written = write_all(fd, bytes);
  // A full disk may only be reported when the file is closed.
  auto error = errno;
  bool closed = ::close(fd) == 0;
  if (!written) errno = error;
  return written && closed;
}

}  // namespace

ClockReading read_clocks() {
  ClockReading now;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> now.boot_id;
  timespec time{};
  if (::clock_gettime(CLOCK_BOOTTIME, &time) == 0)
    now.since_boot = static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
  else now.boot_id.clear();
  now.wall_time =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  return now;
}

StateFile::StateFile(std::string path, std::string fleet, fleet::MemberId member)
    : path_(std::move(path)), fleet_(std::move(fleet)), member_(member) {}

std::optional<StateFile::LoadedState> StateFile::read(const ClockReading& now, std::string& error_text) {
  error_text.clear();
  std::error_code ignored_error;
  if (!std::filesystem::exists(std::filesystem::symlink_status(path_, ignored_error))) return std::nullopt;
  try {
    std::ifstream file(path_, std::ios::binary);
    std::string bytes(max_state_file_bytes + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (file.bad() || (!file.eof() && file.gcount() == 0))
      throw BadStateFile("the state file cannot be read", path_,
                         "check the folder and its permissions; " + remedy());
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    return parse(bytes, now);
  } catch (const fleet::FleetError& error) {
    error_text = error.what();
    set_aside();
    return std::nullopt;
  }
}

std::string StateFile::remedy() {
  return "it is set aside and the relay starts without stored destination state; documents are not affected";
}

StateFile::LoadedState StateFile::parse(const std::string& bytes, const ClockReading& now) const {
  auto error_at = [&](const std::string& what, std::size_t at) -> BadStateFile {
    return {what, path_ + ", byte " + std::to_string(at), remedy()};
  };
  auto header_bytes = magic.size() + format_version.size();
  if (bytes.size() > max_state_file_bytes)
    throw error_at("the state file is too large", max_state_file_bytes);
  if (bytes.compare(0, magic.size(), magic) != 0)
    throw error_at(bytes.size() < header_bytes ? "the state file is cut off" : "this is not a state file", 0);
  if (bytes.compare(magic.size(), format_version.size(), format_version) != 0)
    throw error_at(bytes.size() < header_bytes ? "the state file is cut off"
                                               : "the state file has another format version",
                   magic.size());
  if (bytes.size() < header_bytes + checksum_bytes) throw error_at("the state file is cut off", bytes.size());
  std::uint64_t stored_checksum = 0;
  std::memcpy(&stored_checksum, bytes.data() + header_bytes, sizeof stored_checksum);
  auto rest = std::string_view(bytes).substr(header_bytes + checksum_bytes);
  if (checksum(rest) != stored_checksum) throw error_at("the state file is damaged or cut off", header_bytes);
  StateImage image;
  try {
    image = unpacked<StateImage>(rest);
  } catch (const fleet::FleetError&) {
    throw error_at("the state file does not match its format", header_bytes + checksum_bytes);
  }
  if (image.fleet != fleet_)
    throw error_at("the state file belongs to another fleet, " + image.fleet.substr(0, 64),
                   header_bytes + checksum_bytes);
  if (image.member != member_)
    throw error_at("the state file belongs to another member", header_bytes + checksum_bytes);

  const ClockReading& written = image.written;
  bool same_boot = !now.boot_id.empty() && now.boot_id == written.boot_id;
  Millis elapsed = same_boot ? now.since_boot - written.since_boot : now.wall_time - written.wall_time;
  // If the clock was set back, or the file comes from a machine whose clock is ahead, the remaining time of
  // its waits is unknown.
  if (!(elapsed >= (same_boot ? 0 : -max_clock_step_back)))
    throw error_at("the state file is dated in the future", header_bytes + checksum_bytes);
  elapsed = std::max(elapsed, 0.0);
  bool any = std::any_of(image.records.begin(), image.records.end(), [&](const auto& record) {
    return record.age + elapsed < fleet::retention_of(record);
  });
  if (!any && !image.records.empty())
    throw error_at("the state file is older than the lifetime of all its records",
                   header_bytes + checksum_bytes);
  return {std::move(image.records), elapsed};
}

// Bounded in number and size: the oldest file is deleted.
void StateFile::set_aside() const {
  auto name = [&](int number) { return path_ + "." + std::to_string(number) + ".aside"; };
  std::error_code ignored_error;
  if (std::filesystem::is_regular_file(path_, ignored_error) &&
      std::filesystem::file_size(path_, ignored_error) > max_state_file_bytes)
    std::filesystem::resize_file(path_, max_state_file_bytes, ignored_error);
  std::filesystem::remove_all(name(max_quarantined_state_files), ignored_error);
  for (int number = max_quarantined_state_files; number > 1; --number)
    std::filesystem::rename(name(number - 1), name(number), ignored_error);
  std::filesystem::rename(path_, name(1), ignored_error);
}

bool StateFile::write(const std::vector<fleet::RegisterRecord>& records, const ClockReading& now,
                      std::string& error_text) {
  error_text.clear();
  StateImage image{fleet_, member_, now, {}};
  std::size_t bytes = packed(image).size() + magic.size() + format_version.size() + checksum_bytes + 8;
  for (const auto& record : records) {
    auto size = packed(record).size();
    if (bytes + size > max_state_file_bytes) break;
    bytes += size, image.records.push_back(record);
  }
  auto rest = packed(image);
  auto stored_checksum = checksum(rest);
  std::string whole(magic);
  whole += format_version;
  whole.append(reinterpret_cast<const char*>(&stored_checksum), sizeof stored_checksum);
  whole += rest;
  auto temporary_path = path_ + ".new";
  if (write_whole(temporary_path, whole) && std::rename(temporary_path.c_str(), path_.c_str()) == 0)
    return true;
  error_text = fleet::StorageUnavailable(
                   std::string("the destination state cannot be stored: ") + std::strerror(errno), path_,
                   "free disk space or repair the folder; the relay tries again and nothing else is affected")
                   .what();
  ::unlink(temporary_path.c_str());
  return false;
}

}  // namespace rockcrank::peer
