// Owns the errors of the fleet parts: one small hierarchy. Each says what happened, where, and what an
// operator can do. docs/errors.md lists all of them; a test holds the two together. Nothing here may decide
// what follows from an error.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace rockcrank::fleet {

class FleetError : public std::runtime_error {
 public:
  FleetError(std::string_view what, std::string_view where, std::string_view remedy)
      : std::runtime_error(std::string(what) + " (" + std::string(where) + "): " + std::string(remedy)) {}
};

// A fleet file that cannot be used: where is file, line and key.
class BadFleetFile : public FleetError {
 public:
  using FleetError::FleetError;
};
// A message that cannot be read, is too large, or is of another fleet: where is the peer.
class BadMessage : public FleetError {
 public:
  using FleetError::FleetError;
};
// The address for other members cannot be had: where is the fleet file's key. It is tried again.
class CannotListen : public FleetError {
 public:
  using FleetError::FleetError;
};
// Two processes say they are the same member: where is the member.
class DuplicateMember : public FleetError {
 public:
  using FleetError::FleetError;
};
// A state file that is damaged, cut off, foreign or of the future: where is the file and the place in it.
class BadStateFile : public FleetError {
 public:
  using FleetError::FleetError;
};
// Copies of equal version and other content: where is the entry; both were kept aside.
class VersionConflict : public FleetError {
 public:
  using FleetError::FleetError;
};
// A version of a key too far ahead of the time: where is the stream and the relay it came from.
class VersionAhead : public FleetError {
 public:
  using FleetError::FleetError;
};
// What should be kept cannot be: where is the folder or file.
class StorageUnavailable : public FleetError {
 public:
  using FleetError::FleetError;
};

}  // namespace rockcrank::fleet
