// What a handover passes on, counted by the old process when it has collected the state and by the new one
// when it has restored it.
#pragma once

#include <cstddef>
#include <string>

namespace rockcrank {

struct HandoverCounts {
  std::size_t documents = 0;            // in the store, those that have ended included
  std::size_t unrecorded = 0;           // of these, the ones that the journal does not have
  std::size_t ended = 0;                // of these, the ones whose report is not acknowledged yet
  std::size_t undelivered = 0;          // in the decision module
  std::size_t unanswered_commands = 0;  // read from clients
  std::size_t unread_bytes = 0;         // received from clients and not parsed yet
  std::size_t clients = 0;
  std::size_t calls = 0;
  std::size_t addresses = 0;  // of endpoints, for which it is known whose process is there

  // Each document is in the store, in its file and in the decision module or over, and each command read has
  // its reply. What is not so would be lost, or held for good.
  bool is_whole() const {
    return unrecorded == 0 && unanswered_commands == 0 && undelivered + ended == documents;
  }

  std::string text() const {
    std::string all;
    auto add = [&](const char* name, std::size_t value) {
      all += (all.empty() ? "" : " ") + (name + ("=" + std::to_string(value)));
    };
    add("documents", documents);
    add("unrecorded", unrecorded);
    add("ended", ended);
    add("undelivered", undelivered);
    add("unanswered_commands", unanswered_commands);
    add("unread_bytes", unread_bytes);
    add("clients", clients);
    add("calls", calls);
    add("addresses", addresses);
    return all;
  }
};

}  // namespace rockcrank
