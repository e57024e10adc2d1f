// Owns one running relay: its parts, the decision module, and the turns in which the module is told what
// happened and its answers are carried out. It must never decide itself: whether a document is taken, where
// and when it goes, how long anything waits is all asked of the module.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"
#include "peer/fleet.h"
#include "peer/whisper.h"
#include "relay/admin.h"
#include "relay/clients.h"
#include "relay/config.h"
#include "relay/discovery.h"
#include "relay/endpoints.h"
#include "relay/handover.h"
#include "relay/loop.h"
#include "relay/route_memory.h"
#include "relay/store.h"

namespace rockcrank {

class Relay {
 public:
  // With baggage it starts as the process that gave it stopped; what it takes of that is marked there. It
  // does nothing before it runs, so that it can still be given up.
  // notes: short ones go to the other relays of the tier, where the settings allow them and no fleet file is
  // named.
  Relay(Config config, Loop& loop, Admin* admin, Baggage* baggage, bool notes = false);
  ~Relay();
  void run();  // until a SIGTERM has been gone through, or all is handed over

 private:
  // What came since the last turn, in its order.
  struct Arrived {
    DocId doc{};
    AnswerTo answer_to;
  };

  Relay(Config config, Loop& loop, Admin* admin, const nlohmann::json& state, Baggage* baggage, bool notes);
  void take_over(const nlohmann::json& state, Baggage& baggage);
  std::optional<Baggage> pack(const std::string& numbering);
  void adopt();
  void owe(DocId doc);  // its end again, or its transmissions
  Document to_document(const Held& held, DocId doc, Millis wall) const;
  void hand_in(const Handed& handed, AnswerTo answer_to);
  void ended(const Outcome& outcome);
  void take_list(const ListAnswer& list);
  void begin();   // opens a turn, if none is open
  void settle();  // ends the turn: asks the module, notes, answers, sends
  bool note_risk(EndpointId endpoint, const std::vector<Endpoints::Item>& calls);
  void not_begun(const Transmit& sent, int transmission);
  std::vector<Transmit> hold_back(const std::vector<Transmit>& transmitted);
  static bool may_go_unnoted(const Held& held);
  void answer_arrived(bool kept);
  void answer_held(DocId doc, bool taken);
  void end_kept_back();
  bool owns(DocId doc) { return !fleet_ || fleet_->owns(doc); }
  bool may_go(DocId doc, int transmission) { return owns(doc) && fleet_->may_go(doc, transmission); }
  void go_on_held();
  void send_or_keep(const std::vector<Transmit>& transmitted);
  void start_fleet();
  void let_go(DocId doc);
  void end(DocId doc, bool rejected, Millis wait);
  void send(const std::vector<Transmit>& transmitted);
  std::string metrics();
  void log_metrics();
  std::string take_out(const std::string& endpoint, bool out);
  void read_again();
  void leave();
  void leave_further();

  Config config_;
  const std::optional<peer::FleetConfig> fleet_config_;  // none where no fleet file is named
  Loop& loop_;
  Store store_;
  const std::unique_ptr<Decision> decision_;
  Clients clients_;
  Endpoints endpoints_;
  Watch watch_;
  Notices notices_;
  Timer turn_due_, leaving_due_;
  Signals signals_;
  Admin* const admin_;
  std::unique_ptr<Successor> successor_;
  Timer adopt_due_, metrics_due_;
  std::string metrics_logged_;

  std::optional<peer::Around> around_;
  std::unique_ptr<peer::Fleet> fleet_;
  std::unique_ptr<peer::Whisper> whisper_;
  // What the fleet keeps back: answers to clients, ends, and calls with all that goes in them.
  struct KeptEnd {
    bool rejected = false;
    Millis wait = 0;
  };
  std::map<DocId, AnswerTo> unanswered_;
  std::map<DocId, KeptEnd> ends_;
  struct KeptTransmit {
    Transmit sent;
    int transmission = 0;
  };
  std::vector<std::vector<KeptTransmit>> held_calls_;

  std::optional<RouteMemory> route_memory_;  // where no fleet file is named: its shared state is kept else
  std::map<EndpointId, EndpointEntry> known_;
  std::vector<Arrived> arrived_;
  std::vector<Outcome> not_sent_;  // told to the module in the next turn
  std::int64_t list_version_ = -1;
  int list_failures_ = 0;
  Millis settled_at_ = -1e18, turn_began_ = 0;
  bool turn_open_ = false, leaving_ = false, taken_over_ = false, handed_over_ = false;
  Millis leave_at_ = 0;
};

}  // namespace rockcrank
