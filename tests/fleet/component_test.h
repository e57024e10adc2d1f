// The surroundings of one fleet component of a two-member fleet: event loop, store and link are real, the
// decision module and the membership are stand-ins.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "../reserved_port.h"
#include "component_stubs.h"
#include "peer/component.h"
#include "settings/settings.h"

namespace rockcrank::peer {

inline fleet::MemberId member_id(const std::string& name) { return fleet::MemberId(fnv1a_hash(name)); }

// The component under test belongs to member "b"; the test plays member "a".
class ComponentTest : public testing::Test {
 protected:
  static constexpr fleet::Incarnation own_incarnation{5, 5};

  ComponentTest() {
    char name[] = "/tmp/rockcrank-test-XXXXXX";
    folder_ = mkdtemp(name);
    store_ = std::make_unique<Store>(folder_, 1 << 20);
    config_.fleet_name = "test";
    config_.max_queue_bytes = config_.max_frame_bytes = 1 << 20;
    config_.self = member_id("b"), config_.self_name = "b";
    for (const char* member : {"a", "b"}) {
      config_.roster.push_back({member_id(member), member, "h0"});
      config_.addresses[member_id(member)] = {"127.0.0.1", ports_[member].port()};
    }
    std::ranges::sort(config_.roster, {}, &fleet::Member::id);
  }
  ~ComponentTest() override { std::filesystem::remove_all(folder_); }

  void start_link() { link_ = std::make_unique<Link>(loop_, config_, own_incarnation, 1); }
  // To be called once the settings are complete and the link has been started.
  const ComponentContext& context() {
    relay_.emplace(RelayContext{loop_,
                                decision_,
                                *store_,
                                endpoints_,
                                relay_config_,
                                listed_,
                                [this] { begin_turn(); },
                                [this] { return decision_time_; },
                                {},
                                {},
                                {},
                                {}});
    membership_ = std::make_unique<AllAliveMembership>(config_.roster);
    context_.emplace(ComponentContext{*relay_, config_, *membership_, *link_, own_incarnation, folder_, 1});
    return *context_;
  }
  virtual void begin_turn() { decision_time_ = loop_.now(); }
  void run_for(Millis duration) {
    run_until(duration, [] { return false; });
  }
  bool run_until(Millis timeout, const std::function<bool()>& condition) {
    const Millis end = loop_.now() + timeout;
    bool satisfied = false;
    Timer poll(loop_, [&] {
      satisfied = condition();
      if (satisfied || loop_.now() >= end) return loop_.stop();
      poll.set(loop_.now() + 1);
    });
    poll.set(loop_.now());
    loop_.run();
    return satisfied;
  }

  EventLoop loop_;
  std::map<std::string, ReservedPort> ports_;
  std::string folder_;
  std::unique_ptr<Store> store_;
  Endpoints endpoints_{loop_, {500, 0, 64}};
  Config relay_config_;
  FleetConfig config_;
  StubDecision decision_;
  std::map<EndpointId, EndpointEntry> listed_;
  Millis decision_time_ = 0;
  std::unique_ptr<AllAliveMembership> membership_;
  std::unique_ptr<Link> link_;
  std::optional<RelayContext> relay_;
  std::optional<ComponentContext> context_;
};

}  // namespace rockcrank::peer
