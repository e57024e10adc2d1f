// Errors of the fleet modules. Each says what happened, where, and what an operator can do. docs/errors.md
// lists all of them, and a test compares that list with this header.
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

// A fleet file that cannot be used. Where: file, line and key.
class BadFleetFile : public FleetError {
 public:
  using FleetError::FleetError;
};
// A message that cannot be parsed, is too large, or belongs to another fleet. Where: the peer.
class BadMessage : public FleetError {
 public:
  using FleetError::FleetError;
};
// The address for other members cannot be bound; this is retried. Where: the key in the fleet file.
class CannotListen : public FleetError {
 public:
  using FleetError::FleetError;
};
// Two processes claim to be the same member. Where: the member.
class DuplicateMember : public FleetError {
 public:
  using FleetError::FleetError;
};
// A state file that is damaged, truncated, foreign or dated in the future. Where: the file and the offset.
class BadStateFile : public FleetError {
 public:
  using FleetError::FleetError;
};
// Copies with equal versions but different content; both are kept. Where: the entry.
class VersionConflict : public FleetError {
 public:
  using FleetError::FleetError;
};
// A key's version that is too far in the future. Where: the stream and the relay it came from.
class VersionAhead : public FleetError {
 public:
  using FleetError::FleetError;
};
// Data cannot be written to disk. Where: the folder or file.
class StorageUnavailable : public FleetError {
 public:
  using FleetError::FleetError;
};

}  // namespace rockcrank::fleet
