// Owns the connections between members: TCP on the relay's own loop, one connection a pair and direction of
// dialling, frames with a length, a bounded queue for each peer. It must never block a turn, decide who is
// alive, or look into a payload. A peer that sends rubbish, too much, or another fleet's messages is named in
// the log and its connection closed; nothing else is harmed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fleet/ids.h"
#include "peer/fleet_config.h"
#include "relay/loop.h"

namespace rockcrank::peer {

// What a payload belongs to; the parts read their own only.
enum class Channel : std::uint8_t { membership = 1, registers, custody, warm, latest };

class Link {
 public:
  Link(EventLoop& loop, const FleetConfig& config, fleet::Incarnation own, std::uint64_t seed);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // from: the member that the connection's greeting named, whose life it is in now.
  std::function<void(fleet::MemberId from, Channel channel, std::string_view payload)> on_message;
  std::function<void(fleet::MemberId peer, fleet::Incarnation life, bool up)> on_link_change;
  // Another process says it is this member, in a life that is not this one.
  std::function<void(fleet::Incarnation other)> on_duplicate_self;

  // False: the peer is not connected, or its queue is full (then its connection is dropped, to be caught up
  // with later). Payloads of one peer arrive in order or not at all.
  bool send(fleet::MemberId to, Channel channel, std::string_view payload);
  bool is_up(fleet::MemberId peer) const;
  // Half of the least round trip to that peer in the last seconds, ms; negative: not known.
  Millis one_way_delay(fleet::MemberId peer) const;
  // A part found that this peer sends what cannot be read: named, the connection closed.
  void reject_peer(fleet::MemberId peer, const std::string& why);
  std::size_t connection_count() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace rockcrank::peer
