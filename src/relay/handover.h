// Owns the talk between a relay and the process that takes its place: over a Unix socket in the state folder
// the old one gives away all it holds in one piece, descriptors included, and ends; or goes on as if nobody
// had asked. It must never decide who owns a document: the lock on the store's file does, and it travels
// along.
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
  std::vector<int> descriptors;  // the receiver's own, named in the text by their places here
  int take_descriptor(
      std::size_t place);  // one of them, which is its taker's then; throws where there is none
  void close_unclaimed();  // closes those that nobody took
};

// The old side: listens for a successor.
class HandoverServer : public EventHandler {
 public:
  // Tells what to give to one whose documents, kinds and halls are numbered as `numbering` says; none:
  // nothing.
  std::function<std::optional<HandoverPayload>(const std::string& numbering)> make_payload;
  std::function<void()> on_complete;  // all was taken: from now on nothing here is this process's

  HandoverServer(EventLoop& loop, const std::string& folder);
  ~HandoverServer() override;
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;

 private:
  void ready(short events) override;
  void give(int fd);

  EventLoop& loop_;
  const std::string folder_;
  int fd_ = -1;
};

// The new side: one try to take over from whoever listens in the folder.
class HandoverClient {
 public:
  explicit HandoverClient(const std::string& folder) : folder_(folder) {}
  ~HandoverClient();
  HandoverClient(const HandoverClient&) = delete;
  HandoverClient& operator=(const HandoverClient&) = delete;

  std::optional<HandoverPayload> request(
      const std::string& numbering);  // none: nobody there, or it gave nothing
  bool confirm();                     // all that was given can be used; true: it is this process's now
  void close();

 private:
  const std::string folder_;
  int fd_ = -1;
};

}  // namespace rockcrank
