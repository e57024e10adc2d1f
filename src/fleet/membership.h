// The interface of membership: who of the roster is alive, found out by heartbeats, suspicion before a
// verdict, confirmation through others (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002) and incarnation numbers. Free of I/O: a host
// reports what came in a turn and carries out what decide() answers. It must never decide what follows from a
// member's condition. Times are milliseconds of one monotonic clock; a process that was stopped sees them
// jump.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

// What one member says of another: newer lives go over older ones, in one life worse conditions over better.
// A life is raised by its own member alone, to refute a suspicion.
struct MemberUpdate {
  MemberId member{};
  Incarnation incarnation;
  MemberState state{};
  std::uint32_t refutations = 0;  // how often this life has refuted; goes over condition
  auto fields() { return std::tie(member, incarnation, state, refutations); }
};

// ask_for: have `subject` pinged, and answer for it; where that is the receiver, with all that it knows.
enum class ProbeMessageType : std::uint8_t { ping, ack, ping_request };

struct MembershipMessage {
  ProbeMessageType type{};
  std::uint64_t sequence = 0;  // of the ping; its answer gives it back
  MemberId target{};           // whom the answer speaks for; ask_for: whom to ping
  std::vector<MemberUpdate> updates;
  auto fields() { return std::tie(type, sequence, target, updates); }
};

class Membership {
 public:
  static constexpr double messages_per_second = 5;  // of one member, whatever the size and whatever fails

  struct Change {
    MemberId member{};
    Incarnation incarnation;
    MemberState state{};
  };
  struct Actions {
    OutgoingMessages<MembershipMessage>
        sends;  // messages_a_second on average at most, and as many again in a burst
    std::vector<Change> changes;
    // Another life of a member that cannot be its former self: one of this very member that is newer than
    // this one, or one that counts alike with a life known (two processes, or a restored machine image). Once
    // each.
    std::vector<Change> duplicates;
    bool declared_dead = false;  // others held this life to be dead, as after a stall; it has refuted that
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  static std::unique_ptr<Membership> make(const Roster& roster, MemberId self, Incarnation own,
                                          std::uint64_t seed);
  virtual ~Membership() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void on_message(MemberId from, const MembershipMessage& message) = 0;
  virtual void on_link_change(MemberId peer, Incarnation life,
                              bool up) = 0;  // the link's own sight; no verdict by itself
  virtual Actions decide() = 0;

  virtual MemberState state(MemberId member) const = 0;
  virtual Incarnation incarnation(MemberId member) const = 0;
  virtual std::vector<MemberId> alive() const = 0;  // suspects too; ordered by id, this one included
};

}  // namespace rockcrank::fleet
