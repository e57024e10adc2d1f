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

struct Baggage {
  std::string text;
  std::vector<int> descriptors;  // the receiver's own, named in the text by their places here
  int take(std::size_t place);   // one of them, which is its taker's then; throws where there is none
  void shut();                   // closes those that nobody took
};

// The old side: listens for a successor.
class Successor : public Handler {
 public:
  // Tells what to give to one whose documents, kinds and halls are numbered as `numbering` says; none:
  // nothing.
  std::function<std::optional<Baggage>(const std::string& numbering)> pack;
  std::function<void()> on_gone;  // all was taken: from now on nothing here is this process's

  Successor(Loop& loop, const std::string& folder);
  ~Successor() override;
  Successor(const Successor&) = delete;
  Successor& operator=(const Successor&) = delete;

 private:
  void ready(short events) override;
  void give(int fd);

  Loop& loop_;
  const std::string folder_;
  int fd_ = -1;
};

// The new side: one try to take over from whoever listens in the folder.
class Predecessor {
 public:
  explicit Predecessor(const std::string& folder) : folder_(folder) {}
  ~Predecessor();
  Predecessor(const Predecessor&) = delete;
  Predecessor& operator=(const Predecessor&) = delete;

  std::optional<Baggage> ask(const std::string& numbering);  // none: nobody there, or it gave nothing
  bool confirm();  // all that was given can be used; true: it is this process's now
  void drop();

 private:
  const std::string folder_;
  int fd_ = -1;
};

}  // namespace rockcrank
