// File in which a relay stores the records of the shared state, so that Retry-After waits keep their exact
// end and breakers, slow starts, limits and offline orders survive a restart while no other member is alive.
// A file that is damaged, truncated, of another member, fleet or format, dated in the future or too old is
// not used: it is set aside and reported. The file holds nothing about documents.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/ids.h"
#include "fleet/registers.h"

namespace rockcrank::peer {

// Records that do not fit are left out; waits are written first.
constexpr std::size_t max_state_file_bytes = 64 << 10;
constexpr std::size_t max_state_records = 1500;  // more do not fit, however short they are
constexpr int max_quarantined_state_files = 2;
// Disk space of the file, its temporary successor and those set aside.
constexpr std::size_t max_state_disk_bytes = (2 + max_quarantined_state_files) * max_state_file_bytes;

// A reading of the clocks. The time since boot is used if the boot is the same; otherwise the wall clock is,
// which may have been set since.
struct ClockReading {
  std::string boot_id;    // boot id of the machine; empty if unknown
  Millis since_boot = 0;  // includes time in suspend
  Millis wall_time = 0;   // Unix time
  auto fields() { return std::tie(boot_id, since_boot, wall_time); }
};
ClockReading read_clocks();

class StateFile {
 public:
  struct LoadedState {
    std::vector<fleet::RegisterRecord> records;  // ages at the time of writing
    Millis elapsed = 0;
  };
  StateFile(std::string path, std::string fleet, fleet::MemberId member);

  // Returns nothing if there is no file, or if it cannot be used; error_text then says why.
  std::optional<LoadedState> read(const ClockReading& now, std::string& error_text);
  // records: most important first. Returns false with error_text if the file cannot be written; the previous
  // file then remains.
  bool write(const std::vector<fleet::RegisterRecord>& records, const ClockReading& now,
             std::string& error_text);

 private:
  static std::string remedy();
  LoadedState parse(const std::string& bytes, const ClockReading& now) const;  // throws BadStateFile
  void set_aside() const;

  const std::string path_, fleet_;
  const fleet::MemberId member_;
};

}  // namespace rockcrank::peer
