// TCP connections between members on the relay's event loop: one connection per pair and dialling direction,
// length-prefixed frames and a bounded send queue per peer. Nothing here blocks, decides which members are
// alive or interprets payloads. A peer that sends invalid data, too much, or messages of another fleet is
// logged and its connection closed; other connections are not affected.
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

// The component that a payload belongs to.
enum class Channel : std::uint8_t { membership = 1, registers, custody, warm, latest };

class Link {
 public:
  Link(EventLoop& loop, const FleetConfig& config, fleet::Incarnation own_incarnation, std::uint64_t seed);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // from: the member named in the connection's handshake.
  std::function<void(fleet::MemberId from, Channel channel, std::string_view payload)> on_message;
  std::function<void(fleet::MemberId peer, fleet::Incarnation incarnation, bool up)> on_link_change;
  // Another process identifies itself as this member, with another incarnation.
  std::function<void(fleet::Incarnation other)> on_duplicate_self;

  // Returns false if the peer is not connected or its queue is full; in the latter case the connection is
  // dropped. Payloads to one peer arrive in order or not at all.
  bool send(fleet::MemberId to, Channel channel, std::string_view payload);
  bool is_up(fleet::MemberId peer) const;
  // Half of the smallest round trip to the peer in the last seconds, in ms; negative if unknown.
  Millis one_way_delay(fleet::MemberId peer) const;
  // Logs the reason and closes the peer's connection, after a component could not read a message.
  void reject_peer(fleet::MemberId peer, const std::string& reason);
  std::size_t connection_count() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rockcrank::peer
