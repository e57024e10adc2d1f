// Owns the file in which a relay keeps what it knows beyond its process: the words of the shared state, so
// that waits hold to their exact end, and breakers, cold returns, limits and orders of staff over a restart
// with nobody else alive. It must never take a file that is damaged, cut off, of another member, fleet or
// form, of the future or of too long ago for its own: that one is set aside, and named. Nothing of a document
// is here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/ids.h"
#include "fleet/registers.h"

namespace rockcrank::peer {

// What is not kept of the state is what does not fit, in the order in which things are told: waits first.
constexpr std::size_t max_state_file_bytes = 64 << 10;
constexpr std::size_t max_state_records = 1500;  // more do not fit, however short
constexpr int max_quarantined_state_files = 2;
// With the file, the one that is to follow it and those set aside: bytes of the relay's room on disk.
constexpr std::size_t max_state_disk_bytes = (2 + max_quarantined_state_files) * max_state_file_bytes;

// Where and when it is: the time since the machine's start counts where that is the same, and the wall clock,
// which may have been set meanwhile, only where not.
struct ClockReading {
  std::string boot_id;    // of the machine; empty: not known
  Millis since_boot = 0;  // also counts while the machine sleeps
  Millis wall_time = 0;   // Unix time
  auto fields() { return std::tie(boot_id, since_boot, wall_time); }
};
ClockReading read_clocks();

class StateFile {
 public:
  struct LoadedState {
    std::vector<fleet::RegisterRecord> records;  // ages as of the file's writing
    Millis elapsed = 0;
  };
  StateFile(std::string path, std::string fleet, fleet::MemberId member);

  // None: there is no file, or there is one that is not to be used, which `why` then names.
  std::optional<LoadedState> read(const ClockReading& now, std::string& why);
  // words: the most needed first. False: it could not be written, and `why` says so; what stood there stands.
  bool write(const std::vector<fleet::RegisterRecord>& words, const ClockReading& now, std::string& why);

 private:
  static std::string remedy();
  LoadedState take(const std::string& bytes, const ClockReading& now) const;  // throws BadStateFile
  void set_aside() const;

  const std::string path_, fleet_;
  const fleet::MemberId member_;
};

}  // namespace rockcrank::peer
