// The load of the destination of a cold return: its rate limit, its queue, and the hints that it gives.
#pragma once

#include "decision/decision.h"
#include "model/cold_scenario.h"

namespace rockcrank::model {

class ColdDestination {
 public:
  explicit ColdDestination(const ColdScenario& scenario);

  struct Admission {
    bool accepted = true;
    Millis queued_for = 0;
  };
  // A call arrives while the destination serves this many calls a second.
  Admission admit(Millis now, double capacity);
  // A call arrives while the destination refuses all.
  void refuse(Millis now);
  // The share of the limit that is left, as an answer tells it now: it is refreshed now and then only.
  double told_remaining_share(Millis now);

 private:
  void refill(Millis now);

  double limit_, allowance_depth_;
  bool refusals_use_limit_;
  Millis queue_time_;
  double allowance_;  // calls that the limit accepts now
  Millis refilled_at_ = 0;
  Millis busy_until_ = 0;  // the end of the queue
  double told_share_ = 1;
  Millis told_at_ = 0;
};

}  // namespace rockcrank::model
