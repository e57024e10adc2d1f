// Tests the host of the registers: a status must reach the decision module, and the registers, with the age
// that it has there.

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "../reserved_port.h"
#include "component_stubs.h"
#include "fleet/registers.h"
#include "peer/codec.h"
#include "peer/component.h"
#include "peer/fleet.h"
#include "settings/settings.h"

namespace rockcrank::peer {
namespace {

using fleet::MemberId;

constexpr Millis stop_length = 40;  // of this process, in the middle of a turn
constexpr Millis told_wait = 5000;

MemberId id(const std::string& name) { return MemberId(fnv1a_hash(name)); }

// The shared state of member "b", with real clock and link; member "a" is played by the test.
class SharedStateTest : public testing::Test {
 protected:
  SharedStateTest() {
    char name[] = "/tmp/rockcrank-test-XXXXXX";
    folder_ = mkdtemp(name);
    store_ = std::make_unique<Store>(folder_, 1 << 20);
    config_.fleet_name = "test", config_.max_queue_bytes = config_.max_frame_bytes = 1 << 20;
    config_.self = id("b"), config_.self_name = "b", config_.shared_state_enabled = true;
    for (const char* member : {"a", "b"}) {
      config_.roster.push_back({id(member), member, "h0"});
      config_.addresses[id(member)] = {"127.0.0.1", ports_[member].port()};
    }
    std::ranges::sort(config_.roster, {}, &fleet::Member::id);
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
    link_ = std::make_unique<Link>(loop_, config_, fleet::Incarnation{5, 5}, 1);
    context_.emplace(ComponentContext{*relay_, config_, *membership_, *link_, {5, 5}, folder_, 1});
    shared_state_ = make_shared_state(*context_);
    shared_state_->start();
  }
  ~SharedStateTest() override {
    shared_state_.reset();
    std::filesystem::remove_all(folder_);
  }

  // As the relay does it; a process may be stopped at any moment of it.
  void begin_turn() {
    if (stops_before_time_is_read_) stop_process();
    decision_time_ = loop_.now();
    if (stops_after_time_is_read_) stop_process();
  }
  static void stop_process() {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(stop_length));
  }
  void run_for(Millis duration) {
    Timer end(loop_, [this] { loop_.stop(); });
    end.set(loop_.now() + duration);
    loop_.run();
  }
  // Member "a" was told to wait just now. Returns the end of that wait.
  Millis receive_wait() {
    fleet::RegisterRecord record;
    record.kind = fleet::RegisterKind::retry_after, record.name = "d0000000000000007";
    record.duration = told_wait, record.version = {1, id("a")}, record.incarnation = {1, 1};
    fleet::RegisterMessage message;
    message.records = {record}, message.sent_at = loop_.now();
    const Millis end = message.sent_at + told_wait;
    shared_state_->on_link_change(id("a"), {1, 1}, true);
    shared_state_->on_message(id("a"), packed(message));
    return end;
  }
  void expect_wait_to_end_in_time() {
    const Millis end = receive_wait();
    run_for(5);
    ASSERT_EQ(decision_.applied_statuses.size(), 1u);
    const Millis end_in_decision = decision_time_ + decision_.applied_statuses[0].retry_after_left;
    EXPECT_GE(end_in_decision, end);
    EXPECT_LT(end_in_decision, end + stop_length / 2);
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
  std::optional<RelayContext> relay_;
  std::unique_ptr<AllAliveMembership> membership_;
  std::unique_ptr<Link> link_;
  std::optional<ComponentContext> context_;
  std::unique_ptr<FleetComponent> shared_state_;
  Millis decision_time_ = 0;
  bool stops_before_time_is_read_ = false, stops_after_time_is_read_ = false;
};

// Guards against a wait that ends later by the time in which this process was stopped while it passed it on.
TEST_F(SharedStateTest, StopBeforeTheTimeIsReadDoesNotLengthenAReceivedWait) {
  stops_before_time_is_read_ = true;
  expect_wait_to_end_in_time();
}

// The same, stopped a moment later: what the decision module measures from is then old.
TEST_F(SharedStateTest, StopAfterTheTimeIsReadDoesNotLengthenAReceivedWait) {
  stops_after_time_is_read_ = true;
  expect_wait_to_end_in_time();
}

}  // namespace
}  // namespace rockcrank::peer
