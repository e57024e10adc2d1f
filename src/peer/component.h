// Owns the seam between the relay and the parts of its fleet: what the relay offers them, and what each part
// offers Fleet, which owns them all (peer/fleet.h). A part's host carries out what its module decides; it
// must never decide itself, block, or be entered from its own callbacks.
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

// The relay, as its parts see it.
struct RelayContext {
  EventLoop& loop;
  Decision& decision;
  Store& store;
  Endpoints& endpoints;
  const Config& config;
  const std::map<EndpointId, EndpointEntry>& listed_endpoints;  // listed here: what may be sent to
  std::function<void()> begin_turn;            // opens a turn, so that the decision module is asked soon
  std::function<Millis()> turn_start;          // the decision module's time, in the open turn or the last one
  std::function<void(DocId)> resume_document;  // a document in the store is to be delivered, or its end told
  std::function<void(DocId)>
      discard_document;  // nothing more is sent, ended or told of it; it leaves the store
  std::function<void(DocId, bool taken)>
      answer_client;  // of a document whose +OK was held back: +OK or -BUSY
  std::function<void(const std::string& endpoint, bool out)>
      set_endpoint_offline;  // by staff at another relay
};

// What the parts of one fleet offer each other; unset where the part that would is off.
struct ComponentHooks {
  std::function<bool()> is_state_caught_up;  // what other relays know of destinations is here
  std::function<void(const std::vector<EndpointId>&)>
      set_catch_up_order;  // to be caught up with in this order
  std::function<std::size_t(std::uint64_t id)>
      preload_key;  // a key's body into memory; its bytes, 0: there is none
  std::function<void(std::uint64_t id, Millis took)> on_key_delivered;  // a key, to a subscriber
};

// What surrounds one part within the fleet.
struct ComponentContext {
  RelayContext& relay;
  const FleetConfig& config;
  fleet::Membership& membership;
  Link& link;
  fleet::Incarnation incarnation;
  std::string folder;  // that outlasts the process, for files of the part's own
  std::uint64_t seed = 0;
  std::shared_ptr<ComponentHooks> hooks = std::make_shared<ComponentHooks>();  // one for all parts
};

// Each call may be left out. Times are of the loop's clock.
class FleetComponent {
 public:
  virtual ~FleetComponent() = default;
  virtual void start() {}  // the relay knows its list, and has not yet gone through what its folder holds
  virtual void on_message(fleet::MemberId, std::string_view) {
  }  // throws BadMessage: the link is closed and named
  virtual void on_link_change(fleet::MemberId, fleet::Incarnation, bool) {}
  virtual void on_member_change(fleet::MemberId, fleet::Incarnation, fleet::MemberState) {}
  virtual void on_declared_dead() {}  // this process was held to be dead by others, as after a stall
  virtual void before_turn() {}       // the relay is about to ask the decision module
  virtual void after_turn(const Actions&) {}
  // Of the store's documents, by its records' kinds: D taken on, S sent, N never ran, E ended, F forgotten
  // (it is over; still in the store during the call).
  virtual void on_store_record(char, DocId, int /*transmission*/) {}
  virtual void on_outcome(const Outcome&) {}
  virtual void set_offline(const std::string&, bool) {}  // by staff at this relay
  // Whether a document just noted may be answered +OK now (else Around::answer follows; until then the
  // decision module does not have it); whether it may be sent or ended (else Around::owe follows for one
  // recovered, or the part calls begin() once it may: ends are kept back meanwhile, and Decision::hold keeps
  // sends back); whether a transmission may go now (else the part calls begin() once it may).
  virtual bool may_acknowledge(DocId) { return true; }
  virtual bool owns(DocId) { return true; }
  virtual bool may_send(DocId, int) { return true; }
  virtual bool may_report_end(DocId) { return true; }  // of its end, noted by now (else Around::owe follows)
  virtual void leave() {}                              // a planned end has begun
  virtual std::string summary() const { return {}; }   // one short line for the log at the end
};

}  // namespace rockcrank::peer
