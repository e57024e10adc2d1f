// Hot restart: over a Unix socket in the state folder the old process passes its whole state and its
// descriptors (SCM_RIGHTS) to the new one and exits. If the handover fails it goes on serving. The lock on
// the store's file decides which process owns the documents; its descriptor is passed along.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "relay/loop.h"

namespace rockcrank {

struct HandoverPayload {
  std::string state;
  std::vector<int> descriptors;  // the state refers to them by index
  // Transfers ownership of one descriptor to the caller; throws if there is none or it was taken before.
  int take_descriptor(std::size_t index);
  void close_unclaimed();
};

// The old process: listens for the new one.
class HandoverServer : public EventHandler {
 public:
  // Makes the payload for a process whose ids of destination kinds and zones have this hash; none: refuse.
  std::function<std::optional<HandoverPayload>(const std::string& numbering_hash)> make_payload;
  std::function<void()> on_complete;  // the new process owns everything from now on

  HandoverServer(EventLoop& loop, const std::string& folder);
  ~HandoverServer() override;
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;

 private:
  void ready(short events) override;
  void hand_over(int fd);

  EventLoop& loop_;
  const std::string folder_;
  int fd_ = -1;
};

// The new process: one attempt to take over from the process that listens in the folder.
class HandoverClient {
 public:
  explicit HandoverClient(const std::string& folder) : folder_(folder) {}
  ~HandoverClient();
  HandoverClient(const HandoverClient&) = delete;
  HandoverClient& operator=(const HandoverClient&) = delete;

  // None: no process listens there, or it refused.
  std::optional<HandoverPayload> request(const std::string& numbering_hash);
  // Accepts the payload; true: this process owns everything now.
  bool confirm();
  void close();

 private:
  const std::string folder_;
  int fd_ = -1;
};

}  // namespace rockcrank
