// One running relay: its components, the decision module, and the turns. In a turn the decision module is
// told what has happened and its decisions are carried out. The relay itself decides nothing: whether a
// document is accepted, where and when it is sent, and how long anything waits comes from the module.
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
#include "peer/route_gossip_socket.h"
#include "relay/admin.h"
#include "relay/clients.h"
#include "relay/config.h"
#include "relay/discovery.h"
#include "relay/endpoint_directory.h"
#include "relay/endpoints.h"
#include "relay/handover.h"
#include "relay/handover_counts.h"
#include "relay/loop.h"
#include "relay/route_state_store.h"
#include "relay/store.h"
#include "relay/view_age.h"

namespace rockcrank {

class Relay {
 public:
  // With a handover it continues from the state of the previous process and takes the descriptors out of the
  // handover. It does nothing before run(), so that it can still be discarded. gossip_enabled: exchange route
  // state with the other relays of the tier by UDP, if the settings allow it and no fleet file is configured.
  Relay(Config config, EventLoop& loop, AdminServer* admin, HandoverPayload* payload,
        bool gossip_enabled = false);
  ~Relay();
  void run();  // until the shutdown after a SIGTERM is complete, or all is handed over

 private:
  // A document received since the last turn, not answered yet.
  struct NewDocument {
    DocId doc{};
    ReplyTo reply_to;
  };

  Relay(Config config, EventLoop& loop, AdminServer* admin, const nlohmann::json& state,
        HandoverPayload* payload, bool gossip_enabled);
  void take_over(const nlohmann::json& state, HandoverPayload& payload);
  std::optional<HandoverPayload> make_handover_payload(const std::string& numbering);
  bool end_open_turns();
  HandoverCounts handover_counts();
  void adopt_orphaned_documents();
  void resume_document(DocId doc);  // delivers it, or repeats the notice of its end
  Document to_document(const StoredDocument& stored, DocId doc, Millis wall) const;
  void enqueue(const EnqueueCommand& command, ReplyTo reply_to);
  void on_outcome(const Outcome& outcome);
  void log_decision(const LogLine& line) const;
  void log_over(const Outcome& outcome) const;
  void apply_endpoint_list(const EndpointListUpdate& list);
  void restore_superseded();
  void give_up(const std::vector<EndpointId>& superseded, std::vector<EndpointEntry> entries, bool full);
  SendPermission may_write(DocId doc, int transmission);
  Millis view_age() const;  // since all that had arrived was read
  void refresh_view();
  void on_timer(Millis late);
  void begin_turn();  // opens a turn if none is open, and gives the module the present time
  void end_turn();    // asks the module, writes the store, replies to clients, sends
  // The steps of end_turn(), in this order.
  void resume_deferred();
  void withdraw_left_behind();
  void end_documents(const Actions& actions);
  void record(const Actions& actions);
  void report_ends(bool flushed);
  void apply_to_endpoints(const Actions& actions);
  void schedule_next_turn(Millis wake_in);
  bool record_in_doubt(EndpointId endpoint, const std::vector<Endpoints::InFlightTransmission>& calls);
  void report_not_sent(const Transmit& sent, int transmission);
  std::vector<Transmit> filter_sendable_unrecorded(const std::vector<Transmit>& transmissions);
  static bool may_send_unrecorded(const StoredDocument& stored);
  void answer_new_documents(bool flushed);
  void answer_pending(DocId doc, bool accepted);
  void end_deferred();
  bool owns(DocId doc) { return !fleet_ || fleet_->owns(doc); }
  bool may_send(DocId doc, int transmission) { return owns(doc) && fleet_->may_send(doc, transmission); }
  void send_deferred();
  void send_or_defer(const std::vector<Transmit>& transmissions);
  void start_fleet();
  void release(DocId doc);
  void end_document(DocId doc, bool rejected, Millis wait);
  void send(const std::vector<Transmit>& transmissions);
  OutboundTransmission to_outbound(const Transmit& sent, const StoredDocument& stored) const;
  std::string metrics();
  void log_metrics();
  std::string set_offline(const std::string& name, bool offline);
  void reload_config();
  void begin_shutdown();
  void continue_shutdown();

  Config config_;
  const std::optional<peer::FleetConfig> fleet_config_;  // none if no fleet file is configured
  EventLoop& loop_;
  Store store_;
  const std::unique_ptr<Decision> decision_;
  Clients clients_;
  Endpoints endpoints_;
  EndpointListWatch watch_;
  ReportSender reports_;
  Timer turn_timer_, shutdown_timer_;
  Signals signals_;
  AdminServer* const admin_;
  std::unique_ptr<HandoverServer> successor_;
  Timer adopt_timer_, metrics_timer_;
  std::string last_logged_metrics_;

  std::optional<peer::RelayContext> fleet_context_;
  std::unique_ptr<peer::Fleet> fleet_;
  std::unique_ptr<peer::RouteGossipSocket> gossip_socket_;
  // Replies to clients, ends and calls that wait for the fleet's permission.
  struct DeferredEnd {
    bool rejected = false;
    Millis wait = 0;
  };
  std::map<DocId, ReplyTo> pending_replies_;
  std::map<DocId, DeferredEnd> deferred_ends_;
  std::map<DocId, DeferredEnd> unreported_ends_;  // to be told once they are recorded
  struct DeferredTransmission {
    Transmit sent;
    int transmission = 0;
  };
  std::vector<std::vector<DeferredTransmission>> deferred_calls_;

  // Without a fleet file only: the fleet shares this state otherwise.
  std::optional<RouteStateStore> route_state_store_;
  EndpointDirectory directory_{store_};
  std::vector<NewDocument> new_documents_;
  std::vector<Outcome> unsent_outcomes_;  // reported to the module in the next turn
  int list_failures_ = 0;
  Millis last_turn_at_ = -1e18;
  Millis decision_time_ = 0;  // the time that the decision module was given last
  ViewAgeHistogram view_ages_;
  std::uint64_t views_refreshed_ = 0, late_rounds_ = 0;
  std::uint64_t left_behind_ = 0;  // documents whose client was gone before they were accepted
  Millis latest_round_ = 0, late_logged_at_ = -1e18;
  Millis refreshed_at_ = -1e18;  // when answers and lists were read outside of the loop's own round
  bool turn_open_ = false, shutting_down_ = false, taken_over_ = false, handed_over_ = false;
  Millis shutdown_deadline_ = 0;
};

}  // namespace rockcrank
