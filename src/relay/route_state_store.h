// Preserves what the decision module knows of outages, slow starts, limits and requested waits across a
// restart of the process, as metadata in the store. After a kill the recovered documents are sent at once;
// without this state they would go at full rate to a destination that is down or has just recovered.
#pragma once

#include <string>

#include "decision/decision.h"
#include "relay/store.h"

namespace rockcrank {

class RouteStateStore {
 public:
  RouteStateStore(Store& store, Decision& decision) : store_(store), decision_(decision) {}

  void restore();  // passes the previous process's state to the decision module, within a turn
  static bool owns_name(const std::string& metadata_name);
  // Combines what two processes have stored about one route, as Store's MergeMetadata: the later entry with
  // the longer of both waits.
  static std::string merge(const std::string& one, const std::string& other);
  void save();  // queues what has changed; it is durable once the store is flushed

 private:
  Store& store_;
  Decision& decision_;
};

}  // namespace rockcrank
