// Preserves what the decision module knows of outages, slow starts, limits and requested waits across a
// restart of the process, as metadata in the store. After a kill the recovered documents are sent at once;
// without this state they would go at full rate to a destination that is down or has just recovered.
#pragma once

#include "decision/decision.h"
#include "relay/store.h"

namespace rockcrank {

class RouteStateStore {
 public:
  RouteStateStore(Store& store, Decision& decision) : store_(store), decision_(decision) {}

  void restore();  // passes the previous process's state to the decision module, within a turn
  void save();     // queues what has changed; it is durable once the store is flushed

 private:
  Store& store_;
  Decision& decision_;
};

}  // namespace rockcrank
