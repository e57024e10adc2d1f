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
constexpr std::size_t state_file_bytes = 64 << 10;
constexpr std::size_t state_words = 1500;  // more do not fit, however short
constexpr int state_files_aside = 2;
// With the file, the one that is to follow it and those set aside: bytes of the relay's room on disk.
constexpr std::size_t state_disk_bytes = (2 + state_files_aside) * state_file_bytes;

// Where and when it is: the time since the machine's start counts where that is the same, and the wall clock,
// which may have been set meanwhile, only where not.
struct Moment {
  std::string boot;       // of the machine; empty: not known
  Millis since_boot = 0;  // also counts while the machine sleeps
  Millis wall = 0;        // Unix time
  auto fields() { return std::tie(boot, since_boot, wall); }
};
Moment moment_now();

class StateFile {
 public:
  struct Kept {
    std::vector<fleet::RegisterRecord> words;  // ages as of the file's writing
    Millis gone_for = 0;
  };
  StateFile(std::string path, std::string fleet, fleet::MemberId member);

  // None: there is no file, or there is one that is not to be used, which `why` then names.
  std::optional<Kept> read(const Moment& now, std::string& why);
  // words: the most needed first. False: it could not be written, and `why` says so; what stood there stands.
  bool write(const std::vector<fleet::RegisterRecord>& words, const Moment& now, std::string& why);

 private:
  static std::string remedy();
  Kept take(const std::string& bytes, const Moment& now) const;  // throws BadStateFile
  void set_aside() const;

  const std::string path_, fleet_;
  const fleet::MemberId member_;
};

}  // namespace rockcrank::peer
