// Interfaces between the relay and its fleet components: what the relay offers them, and what each component
// offers to Fleet (peer/fleet.h), which owns them. A component carries out the actions of its module; it
// takes no decisions itself, does not block and is not re-entered from its own callbacks.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"
#include "fleet/ids.h"
#include "fleet/membership.h"
#include "peer/fleet_config.h"
#include "peer/link.h"
#include "relay/config.h"
#include "relay/endpoints.h"
#include "relay/loop.h"
#include "relay/store.h"

namespace rockcrank::peer {

// The relay as seen by its components.
struct RelayContext {
  EventLoop& loop;
  Decision& decision;
  Store& store;
  Endpoints& endpoints;
  const Config& config;
  const std::map<EndpointId, EndpointEntry>& listed_endpoints;  // endpoints in this relay's list
  std::function<void()> begin_turn;            // opens a turn, so that the decision module runs soon
  std::function<Millis()> decision_time;       // the time that the decision module was given last
  std::function<void(DocId)> resume_document;  // delivers a stored document, or reports its end
  // Removes a document from the store without sending or reporting anything more.
  std::function<void(DocId)> discard_document;
  // Answers +OK or -BUSY for a document whose +OK was held back.
  std::function<void(DocId, bool accepted)> answer_client;
  // On an order given at another relay.
  std::function<void(const std::string& endpoint, bool offline)> set_endpoint_offline;
};

// Calls between components; unset if the component that provides one is not enabled.
struct ComponentHooks {
  // Whether the destination state of other relays has been received.
  std::function<bool()> is_state_caught_up;
  // Endpoints whose state to catch up with first.
  std::function<void(const std::vector<EndpointId>&)> set_catch_up_order;
  // Loads a key's body into memory; returns its bytes, 0 if there is none.
  std::function<std::size_t(std::uint64_t id)> preload_key;
  std::function<void(std::uint64_t id, Millis duration)>
      on_key_delivered;  // a key was delivered to a subscriber
};

// What a component is constructed with.
struct ComponentContext {
  RelayContext& relay;
  const FleetConfig& config;
  fleet::Membership& membership;
  Link& link;
  fleet::Incarnation incarnation;
  std::string folder;  // persistent folder for the component's files
  std::uint64_t seed = 0;
  std::shared_ptr<ComponentHooks> hooks = std::make_shared<ComponentHooks>();  // shared by all components
};

// All calls are optional to override. Times are of the event loop's clock.
class FleetComponent {
 public:
  virtual ~FleetComponent() = default;
  virtual void start() {}  // the endpoint list is loaded, recovered documents are not yet processed
  // The journal of the process that this one replaces was recovered; its documents are not yet processed.
  virtual void on_previous_process_ended() {}
  // May throw BadMessage: the link is then closed and the peer logged.
  virtual void on_message(fleet::MemberId, std::string_view) {}
  virtual void on_link_change(fleet::MemberId, fleet::Incarnation, bool) {}
  virtual void on_member_change(fleet::MemberId, fleet::Incarnation, fleet::MemberState) {}
  virtual void on_declared_dead() {}  // other members declared this process dead, as after a stall
  virtual void before_turn() {}       // the decision module is about to run
  virtual void after_turn(const Actions&) {}
  // A record was written to the store. Kinds: D accepted, S sent, N never ran, E ended, F forgotten (the
  // document is still in the store during the call).
  virtual void on_store_record(char, DocId, int /*transmission*/) {}
  virtual void on_outcome(const Outcome&) {}
  virtual void set_offline(const std::string&, bool) {}  // an order given at this relay
  // may_acknowledge: whether a document just stored may be answered +OK now; if not,
  // RelayContext::answer_client follows, and until then the decision module does not have the document. owns:
  // whether it may be sent or ended; if not, RelayContext::resume_document follows for a recovered document,
  // or the component calls begin_turn() once it may. Ends are held back meanwhile, and
  // Decision::pause_sending holds back sends. may_send: whether a transmission may go now; if not, the
  // component calls begin_turn() once it may.
  virtual bool may_acknowledge(DocId) { return true; }
  virtual bool owns(DocId) { return true; }
  virtual bool may_send(DocId, int) { return true; }
  // Whether its stored end may be reported; if not, RelayContext::resume_document follows.
  virtual bool may_report_end(DocId) { return true; }
  virtual void leave() {}                             // a planned shutdown has begun
  virtual std::string summary() const { return {}; }  // one line for the log at shutdown
};

}  // namespace rockcrank::peer
