// Membership: which members of the roster are alive. Failure detection with pings, indirect pings, suspicion
// and incarnation numbers follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002). Free of I/O: the host passes in what happened in
// a turn and carries out the actions that decide() returns. What follows from a member's state is up to the
// users of this module. Times are milliseconds of one monotonic clock, which jumps for a process that was
// stopped.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

// A gossiped state of a member. A newer incarnation supersedes an older one; within an incarnation more
// refutations supersede fewer, then dead supersedes suspect and suspect supersedes alive. Only the member
// itself raises its refutation count, to refute a suspicion.
struct MemberUpdate {
  MemberId member{};
  Incarnation incarnation;
  MemberState state{};
  std::uint32_t refutations = 0;  // by this incarnation; takes precedence over the state
  auto fields() { return std::tie(member, incarnation, state, refutations); }
};

// ping_request: ping `target` and pass its ack on. If the target is the receiver itself, it answers with the
// state of all members.
enum class ProbeMessageType : std::uint8_t { ping, ack, ping_request };

struct MembershipMessage {
  ProbeMessageType type{};
  std::uint64_t sequence = 0;  // of the ping; its ack repeats it
  MemberId target{};           // the member that is pinged or acknowledges
  std::vector<MemberUpdate> updates;
  auto fields() { return std::tie(type, sequence, target, updates); }
};

class Membership {
 public:
  static constexpr double messages_per_second = 5;  // sent by one member, whatever the fleet's size

  struct Change {
    MemberId member{};
    Incarnation incarnation;
    MemberState state{};
  };
  struct Actions {
    // At most messages_per_second on average, and as many again in a burst.
    OutgoingMessages<MembershipMessage> sends;
    std::vector<Change> changes;
    // Incarnations that can only belong to a second process of a member: one of this member that is newer
    // than its own, or one with the number of a known incarnation but another nonce. Each is reported once.
    std::vector<Change> duplicates;
    bool declared_dead = false;  // others declared this incarnation dead, as after a stall; it was refuted
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  static std::unique_ptr<Membership> make(const Roster& roster, MemberId self, Incarnation incarnation,
                                          std::uint64_t seed);
  virtual ~Membership() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void on_message(MemberId from, const MembershipMessage& message) = 0;
  // A connection to the member came up or broke. A broken one only leads to a ping, not to a change of state.
  virtual void on_link_change(MemberId member, Incarnation incarnation, bool up) = 0;
  virtual Actions decide() = 0;

  virtual MemberState state(MemberId member) const = 0;
  virtual Incarnation incarnation(MemberId member) const = 0;
  virtual std::vector<MemberId> alive() const = 0;  // including suspects and this member; ordered by id
};

}  // namespace rockcrank::fleet
