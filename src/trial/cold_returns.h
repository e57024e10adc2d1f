// Trials of cold returns: real relay processes without links between them, destinations that fail in randomly
// drawn ways and return cold, and relays that are killed, suspended or terminated meanwhile.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

// What the destinations of a cold return are like.
struct ColdReturnLoad {
  Millis first_outage;  // earliest start
  Millis shortest_outage, longest_outage;
  double documents_per_second;  // to one destination, from all relays together
  int rate;                     // calls per second that a warm destination takes
  Millis answer_time;
  Millis shortest_life, longest_life;  // of a document
  int slots;                           // of each relay
  bool silent_only = false;            // each outage is a hang
  bool reloads = false;                // relays get new configurations during the outage and the return
};
// Seldom called, with outages that come after each relay knows its own rate.
constexpr ColdReturnLoad cold_load{9000, 5000, 8000, 9, 12, 60, 9000, 15000, 32};
// Called more than they take, slow to answer, with early and short outages: a few relays with much traffic.
constexpr ColdReturnLoad crowded_load{5000, 3500, 6500, 40, 30, 900, 2500, 9000, 128, true, true};

void set_up_cold_returns(Setup& setup, const ColdReturnLoad& load);
// Runs the trial. Returns an empty string, or the reason why it could not run to its end.
std::string play_cold_returns(Harness& harness, const ColdReturnLoad& load);

}  // namespace rockcrank::trial
