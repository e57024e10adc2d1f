// Plain types that all fleet modules share: member ids, incarnations, member states, Lamport versions and
// outgoing messages.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "decision/decision.h"

namespace rockcrank::fleet {

// The FNV-1a hash of the member's name (settings/settings.h), so it is the same in every process.
enum class MemberId : std::uint64_t {};

// One run of a member's process. The number grows with each start, even if the state folder was emptied: it
// is at least the wall clock in milliseconds at the start, and above the last number in the folder. The
// random nonce distinguishes two processes with the same number, as after a machine image was restored.
struct Incarnation {
  std::uint64_t number = 0, nonce = 0;
  auto operator<=>(const Incarnation&) const = default;
  auto fields() { return std::tie(number, nonce); }
};

// A configured member. The roster comes from the configuration alone.
struct Member {
  MemberId id{};
  std::string name, zone;
};
using Roster = std::vector<Member>;  // ordered by id, including this relay

// A suspect counts as alive wherever treating it as dead could do harm.
enum class MemberState : std::uint8_t { unknown, alive, suspect, dead };

// A Lamport timestamp: each member keeps its counter above every counter that it has seen, so that the order
// depends on no machine's clock (Lamport, "Time, Clocks, and the Ordering of Events in a Distributed System",
// 1978).
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
