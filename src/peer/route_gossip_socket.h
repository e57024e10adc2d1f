// Owns the short notes of one relay on the operators' platform: one UDP socket, datagrams of at most 256
// bytes to all relays of the tier and from them. It must never wait, answer, tell again, or decide what is
// worth a note (fleet/notes.h does) or what follows from one (the decision module does).
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
  // begin: opens a turn. Throws std::runtime_error where the address cannot be had.
  RouteGossipSocket(EventLoop& loop, Decision& decision, const Config& config, std::function<void()> begin);
  ~RouteGossipSocket() override;
  RouteGossipSocket(const RouteGossipSocket&) = delete;
  RouteGossipSocket& operator=(const RouteGossipSocket&) = delete;

  void before_turn();  // what was heard goes to the decision module
  void after_turn();   // what it has learnt itself goes out

 private:
  void ready(short events) override;
  void turn();

  EventLoop& loop_;
  Decision& decision_;
  const std::function<void()> begin_;
  const std::unique_ptr<fleet::RouteGossip> notes_;
  Timer due_;
  const sockaddr_in all_;
  int fd_ = -1;
};

}  // namespace rockcrank::peer
