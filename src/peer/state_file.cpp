// The file's form: a line that names it and its form, a checksum over the rest, and the rest as codec.h packs
// it. It is written whole under another name and then given its own. It outlives the process from there on; a
// machine that loses power may lose it, and the relay then starts as one that knows nothing of destinations.

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

constexpr std::string_view mark = "rockcrank fleet state, form ";
constexpr std::string_view form = "1\n";  // changed with every change of a listed field
constexpr std::size_t sum_bytes = 8;
constexpr Millis clock_step = 1000;  // a wall clock may be set back by so much without a word

struct Image {
  std::string fleet;
  fleet::MemberId member{};
  ClockReading written;
  std::vector<fleet::RegisterRecord> words;
  auto fields() { return std::tie(fleet, member, written, words); }
};

std::uint64_t sum_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

bool write_whole(const std::string& path, std::string_view bytes) {
  int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  bool written = write_all(fd, bytes);
  // Guards against a full disk that only shows when the file is closed.
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

std::optional<StateFile::LoadedState> StateFile::read(const ClockReading& now, std::string& why) {
  why.clear();
  std::error_code none;
  if (!std::filesystem::exists(std::filesystem::symlink_status(path_, none))) return std::nullopt;
  try {
    std::ifstream file(path_, std::ios::binary);
    std::string bytes(max_state_file_bytes + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (file.bad() || (!file.eof() && file.gcount() == 0))
      throw BadStateFile("the state file cannot be read", path_,
                         "look at the folder and its rights; " + remedy());
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    return take(bytes, now);
  } catch (const fleet::FleetError& error) {
    why = error.what();
    set_aside();
    return std::nullopt;
  }
}

std::string StateFile::remedy() {
  return "it is set aside and the relay learns anew of destinations; what it owes is not concerned";
}

StateFile::LoadedState StateFile::take(const std::string& bytes, const ClockReading& now) const {
  auto bad = [&](const std::string& what, std::size_t at) -> BadStateFile {
    return {what, path_ + ", byte " + std::to_string(at), remedy()};
  };
  auto head = mark.size() + form.size();
  if (bytes.size() > max_state_file_bytes) throw bad("the state file is too large", max_state_file_bytes);
  if (bytes.compare(0, mark.size(), mark) != 0)
    throw bad(bytes.size() < head ? "the state file is cut off" : "this is no state file", 0);
  if (bytes.compare(mark.size(), form.size(), form) != 0)
    throw bad(bytes.size() < head ? "the state file is cut off" : "the state file is of another form",
              mark.size());
  if (bytes.size() < head + sum_bytes) throw bad("the state file is cut off", bytes.size());
  std::uint64_t sum = 0;
  std::memcpy(&sum, bytes.data() + head, sizeof sum);
  auto rest = std::string_view(bytes).substr(head + sum_bytes);
  if (sum_of(rest) != sum) throw bad("the state file is damaged or cut off", head);
  Image image;
  try {
    image = unpacked<Image>(rest);
  } catch (const fleet::FleetError&) {
    throw bad("the state file does not hold what its form says", head + sum_bytes);
  }
  if (image.fleet != fleet_)
    throw bad("the state file is of another fleet, " + image.fleet.substr(0, 64), head + sum_bytes);
  if (image.member != member_) throw bad("the state file is of another member", head + sum_bytes);

  const ClockReading& then = image.written;
  bool same_boot = !now.boot_id.empty() && now.boot_id == then.boot_id;
  Millis gone_for = same_boot ? now.since_boot - then.since_boot : now.wall_time - then.wall_time;
  // Guards against a clock that was set back, or a file of a machine whose clock is ahead: how long its waits
  // still hold, nobody can tell.
  if (!(gone_for >= (same_boot ? 0 : -clock_step)))
    throw bad("the state file is dated in the future", head + sum_bytes);
  gone_for = std::max(gone_for, 0.0);
  bool any = std::any_of(image.words.begin(), image.words.end(),
                         [&](const auto& word) { return word.age + gone_for < fleet::retention_of(word); });
  if (!any && !image.words.empty())
    throw bad("the state file is older than anything it says can live", head + sum_bytes);
  return {std::move(image.words), gone_for};
}

// Bounded in number and size: the eldest makes way.
void StateFile::set_aside() const {
  auto name = [&](int number) { return path_ + "." + std::to_string(number) + ".aside"; };
  std::error_code none;
  if (std::filesystem::is_regular_file(path_, none) &&
      std::filesystem::file_size(path_, none) > max_state_file_bytes)
    std::filesystem::resize_file(path_, max_state_file_bytes, none);
  std::filesystem::remove_all(name(max_quarantined_state_files), none);
  for (int number = max_quarantined_state_files; number > 1; --number)
    std::filesystem::rename(name(number - 1), name(number), none);
  std::filesystem::rename(path_, name(1), none);
}

bool StateFile::write(const std::vector<fleet::RegisterRecord>& words, const ClockReading& now,
                      std::string& why) {
  why.clear();
  Image image{fleet_, member_, now, {}};
  std::size_t bytes = packed(image).size() + mark.size() + form.size() + sum_bytes + 8;
  for (const auto& word : words) {
    auto size = packed(word).size();
    if (bytes + size > max_state_file_bytes) break;
    bytes += size, image.words.push_back(word);
  }
  auto rest = packed(image);
  auto sum = sum_of(rest);
  std::string whole(mark);
  whole += form;
  whole.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  whole += rest;
  auto fresh = path_ + ".new";
  if (write_whole(fresh, whole) && std::rename(fresh.c_str(), path_.c_str()) == 0) return true;
  why = fleet::StorageUnavailable(
            std::string("what the relay knows cannot be kept: ") + std::strerror(errno), path_,
            "make room or mend the folder; it is tried again, and nothing else is concerned")
            .what();
  ::unlink(fresh.c_str());
  return false;
}

}  // namespace rockcrank::peer
