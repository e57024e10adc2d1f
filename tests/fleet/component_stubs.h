// Stand-ins for what a fleet component is constructed with.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/decision.h"
#include "fleet/membership.h"

namespace rockcrank::peer {

// Records what it is asked and given, and decides nothing.
class StubDecision final : public Decision {
 public:
  std::set<EndpointId> allowed_endpoints;
  std::vector<std::pair<EndpointId, int>> queries;
  std::vector<RouteStatus> applied_statuses;
  int turns = 0;
  void update_time(Millis) override {}
  void wait_told_early(DocId, int, Millis) override {}
  Millis acceptance_delay(const UnprovenAnswer&) override { return 0; }
  void note_copied_answer(EndpointId) override {}
  void wait_told(EndpointId, Millis) override {}
  bool may_keep_connection(EndpointId, bool) override { return true; }
  bool may_reuse_connection(EndpointId, DocId, const EarlierAnswers&) override { return true; }
  bool may_preconnect(EndpointId endpoint, int up) override {
    queries.emplace_back(endpoint, up);
    return allowed_endpoints.count(endpoint) > 0;
  }
  void begin_turn(Millis) override {}
  void update_endpoints(const std::vector<EndpointEntry>&, bool) override {}
  void discovery_failed(bool, Millis) override {}
  void update_settings(const Settings&) override {}
  DocTypeId type_id(const DocType&) override { return {}; }
  void accept(const Document&) override {}
  void outcome(const Outcome&) override {}
  void withdraw(DocId) override {}
  void set_offline(EndpointId, bool) override {}
  void pause_sending(bool) override {}
  void previous_process_ended() override {}
  std::string export_state() override { return {}; }
  void import_state(const std::string&) override {}
  void begin_shutdown(Millis) override {}
  Actions decide() override { return {}; }
  bool has_capacity() const override { return true; }
  std::size_t document_count() const override { return 0; }
  bool has_destination(DestinationId) const override { return true; }
  Millis retry_after(DestinationId) override { return 0; }
  void note_connecting(DocId, int) override {}
  SendPermission may_send(DocId, int) override { return SendPermission::now; }
  Millis retry_backoff(int) override { return 1; }
  std::vector<RouteStatus> route_statuses(bool) override { return {}; }
  std::vector<RouteStatus> route_statuses_to_persist() override { return {}; }
  const Counters& counters() const override { return counters_; }
  Counters counters_;
  void apply_route_status(const RouteStatus& status) override { applied_statuses.push_back(status); }
};

// Every member of the roster is alive.
class AllAliveMembership final : public fleet::Membership {
 public:
  explicit AllAliveMembership(const fleet::Roster& roster) {
    for (const auto& member : roster) all_.push_back(member.id);
  }
  void begin_turn(Millis) override {}
  void on_message(fleet::MemberId, const fleet::MembershipMessage&) override {}
  void on_link_change(fleet::MemberId, fleet::Incarnation, bool) override {}
  Actions decide() override { return {}; }
  fleet::MemberState state(fleet::MemberId) const override { return fleet::MemberState::alive; }
  fleet::Incarnation incarnation(fleet::MemberId) const override { return {}; }
  std::vector<fleet::MemberId> alive() const override { return all_; }

 private:
  std::vector<fleet::MemberId> all_;
};

}  // namespace rockcrank::peer
