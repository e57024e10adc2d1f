// Keeps what the decision module knows of outages, cold returns, limits and told waits over a restart of the
// process, as notes of the store. A killed process has messages from its store to send at once; without this
// it would send them to a destination that is out, or has just returned, as if nothing had happened there.
#pragma once

#include "decision/decision.h"
#include "relay/store.h"

namespace rockcrank {

class RouteStateStore {
 public:
  RouteStateStore(Store& store, Decision& decision) : store_(store), decision_(decision) {}

  void restore();  // tells the module, within a turn, what the process before this one knew
  void save();     // notes what has changed; it outlives the process once the store is flushed

 private:
  Store& store_;
  Decision& decision_;
};

}  // namespace rockcrank
