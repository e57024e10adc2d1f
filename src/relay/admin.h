// The admin listener (the "second address"), for operators and the platform: a connection carries one command
// line and one answer line, then it is closed. Connections never wait for each other.
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
  static constexpr std::size_t max_connections = 16;  // descriptors for them and the listener are reserved

  AdminServer(EventLoop& loop, const Address& address);
  ~AdminServer();

  // Each returns an error, or an empty text for success. Not set: this process does not serve yet.
  std::function<std::string()> on_health;
  std::function<std::string()> on_metrics;  // returns the metrics
  std::function<std::string(const std::string& endpoint, bool offline)> on_set_offline;

 private:
  class Connection;
  std::string answer(std::string_view line);
  void accept(int fd);
  void close(std::uint64_t id);

  EventLoop& loop_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;  // by age, the oldest first
  std::uint64_t last_connection_id_ = 0;
  Listener listener_;
};

// Sends one command, as the command line does, and returns the answer line; throws if none arrives in time.
std::string send_admin_command(const Address& address, const std::string& line);

}  // namespace rockcrank
