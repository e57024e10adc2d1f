// Owns the second address, where on-call staff and the platform call: one line in, one line out, then closed.
// It must never decide what a call does, and never let one caller hold up another.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "relay/loop.h"

namespace rockcrank {

class AdminServer {
 public:
  static constexpr std::size_t max_connections = 16;  // their descriptors, and the listener's, are set apart

  AdminServer(EventLoop& loop, const Address& at);
  ~AdminServer();

  // Each answers with a reason why not; empty: done. Not set: this process does not serve yet.
  std::function<std::string()> on_health;
  std::function<std::string()> on_metrics;  // answers with the metrics themselves
  std::function<std::string(const std::string& endpoint, bool out)> on_set_offline;

 private:
  class Caller;
  std::string answer(std::string_view line);
  void taken(int fd);
  void ended(std::uint64_t number);

  EventLoop& loop_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;  // the eldest first
  std::uint64_t last_ = 0;
  Listener listener_;
};

// The same call from the command line: the line that was answered; throws where nobody answers in time.
std::string send_admin_command(const Address& at, const std::string& line);

}  // namespace rockcrank
