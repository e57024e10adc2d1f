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
#include "relay/route_state_store.h"
#include "relay/store.h"

namespace rockcrank {

class Relay {
 public:
  // With baggage it starts as the process that gave it stopped; what it takes of that is marked there. It
  // does nothing before it runs, so that it can still be given up.
  // notes: short ones go to the other relays of the tier, where the settings allow them and no fleet file is
  // named.
  Relay(Config config, EventLoop& loop, AdminServer* admin, HandoverPayload* baggage, bool notes = false);
  ~Relay();
  void run();  // until a SIGTERM has been gone through, or all is handed over

 private:
  // What came since the last turn, in its order.
  struct NewDocument {
    DocId doc{};
    ReplyTo reply_to;
  };

  Relay(Config config, EventLoop& loop, AdminServer* admin, const nlohmann::json& state,
        HandoverPayload* baggage, bool notes);
  void take_over(const nlohmann::json& state, HandoverPayload& baggage);
  std::optional<HandoverPayload> export_state(const std::string& numbering);
  void adopt_orphaned_documents();
  void resume_document(DocId doc);  // its end again, or its transmissions
  Document to_document(const StoredDocument& held, DocId doc, Millis wall) const;
  void enqueue(const EnqueueCommand& handed, ReplyTo answer_to);
  void on_outcome(const Outcome& outcome);
  void apply_endpoint_list(const EndpointListUpdate& list);
  void begin_turn();  // opens a turn, if none is open
  void end_turn();    // ends the turn: asks the module, notes, answers, sends
  bool record_in_doubt(EndpointId endpoint, const std::vector<Endpoints::InFlightTransmission>& calls);
  void report_not_sent(const Transmit& sent, int transmission);
  std::vector<Transmit> filter_sendable_unrecorded(const std::vector<Transmit>& transmitted);
  static bool may_send_unrecorded(const StoredDocument& held);
  void answer_new_documents(bool kept);
  void answer_pending(DocId doc, bool taken);
  void end_deferred();
  bool owns(DocId doc) { return !fleet_ || fleet_->owns(doc); }
  bool may_send(DocId doc, int transmission) { return owns(doc) && fleet_->may_go(doc, transmission); }
  void send_deferred();
  void send_or_defer(const std::vector<Transmit>& transmitted);
  void start_fleet();
  void release(DocId doc);
  void end_document(DocId doc, bool rejected, Millis wait);
  void send(const std::vector<Transmit>& transmitted);
  std::string metrics();
  void log_metrics();
  std::string set_offline(const std::string& endpoint, bool out);
  void reload_config();
  void begin_shutdown();
  void continue_shutdown();

  Config config_;
  const std::optional<peer::FleetConfig> fleet_config_;  // none where no fleet file is named
  EventLoop& loop_;
  Store store_;
  const std::unique_ptr<Decision> decision_;
  Clients clients_;
  Endpoints endpoints_;
  EndpointListWatch watch_;
  ReportSender notices_;
  Timer turn_timer_, shutdown_timer_;
  Signals signals_;
  AdminServer* const admin_;
  std::unique_ptr<HandoverServer> successor_;
  Timer adopt_timer_, metrics_timer_;
  std::string last_logged_metrics_;

  std::optional<peer::Around> around_;
  std::unique_ptr<peer::Fleet> fleet_;
  std::unique_ptr<peer::Whisper> whisper_;
  // What the fleet keeps back: answers to clients, ends, and calls with all that goes in them.
  struct DeferredEnd {
    bool rejected = false;
    Millis wait = 0;
  };
  std::map<DocId, ReplyTo> pending_replies_;
  std::map<DocId, DeferredEnd> deferred_ends_;
  struct DeferredTransmission {
    Transmit sent;
    int transmission = 0;
  };
  std::vector<std::vector<DeferredTransmission>> deferred_calls_;

  std::optional<RouteStateStore>
      route_state_store_;  // where no fleet file is named: its shared state is kept else
  std::map<EndpointId, EndpointEntry> known_endpoints_;
  std::vector<NewDocument> new_documents_;
  std::vector<Outcome> unsent_outcomes_;  // told to the module in the next turn
  std::int64_t list_version_ = -1;
  int list_failures_ = 0;
  Millis last_turn_at_ = -1e18, turn_began_ = 0;
  bool turn_open_ = false, shutting_down_ = false, taken_over_ = false, handed_over_ = false;
  Millis shutdown_deadline_ = 0;
};

}  // namespace rockcrank
