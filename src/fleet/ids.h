// Owns the plain types that all parts of the fleet share: who a member is, which of its lives, which of
// several words on one thing is the newer, and a message on its way. Nothing here decides, and nothing knows
// a socket, file or clock.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "decision/decision.h"

namespace rockcrank::fleet {

// The hash of a member's name (hash_of in settings/settings.h): alike in every process.
enum class MemberId : std::uint64_t {};

// One life of a member. The number grows with each start, also after an emptied folder (it is never below the
// wall clock in milliseconds at the start, nor at or below the last one in the folder); the nonce, drawn by
// chance, tells apart two that count alike, as after a restored machine image.
struct Incarnation {
  std::uint64_t number = 0, nonce = 0;
  auto operator<=>(const Incarnation&) const = default;
  auto fields() { return std::tie(number, nonce); }
};

// Who may be a member: from the configuration alone.
struct Member {
  MemberId id{};
  std::string name, zone;
};
using Roster = std::vector<Member>;  // ordered by id, this relay's own entry included

// What is found out of a member. A suspect is treated as alive by whoever could harm by not doing so.
enum class MemberState : std::uint8_t { unknown, alive, suspect, dead };

// Which word on one thing is the newer: a count that every member keeps above all that it has heard (Lamport,
// "Time, Clocks, and the Ordering of Events in a Distributed System", 1978), so that no machine's clock
// counts.
struct Version {
  std::uint64_t counter = 0;
  MemberId origin{};
  auto operator<=>(const Version&) const = default;
  auto fields() { return std::tie(counter, origin); }
};

template <typename Message>
struct OutgoingMessage {
  MemberId to{};
  Message message;
};
template <typename Message>
using OutgoingMessages = std::vector<OutgoingMessage<Message>>;

}  // namespace rockcrank::fleet
