// UDP socket for route gossip between the relays of the operators' platform, in datagrams of at most 256
// bytes. It does not block, answer or forward. fleet/route_gossip.h decides what is sent, and the decision
// module what follows from a received update.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <memory>

#include "decision/decision.h"
#include "fleet/route_gossip.h"
#include "relay/config.h"
#include "relay/loop.h"

namespace rockcrank::peer {

class RouteGossipSocket : public EventHandler {
 public:
  // begin_turn: opens a turn. Throws std::runtime_error if the address cannot be bound.
  RouteGossipSocket(EventLoop& loop, Decision& decision, const Config& config,
                    std::function<void()> begin_turn);
  ~RouteGossipSocket() override;
  RouteGossipSocket(const RouteGossipSocket&) = delete;
  RouteGossipSocket& operator=(const RouteGossipSocket&) = delete;

  void before_turn();  // passes received updates to the decision module
  void after_turn();   // sends what this relay has learned

 private:
  void ready(short events) override;
  void send_updates();

  EventLoop& loop_;
  Decision& decision_;
  const std::function<void()> begin_turn_;
  const std::unique_ptr<fleet::RouteGossip> gossip_;
  Timer send_timer_;
  const sockaddr_in broadcast_address_;
  int fd_ = -1;
};

}  // namespace rockcrank::peer
