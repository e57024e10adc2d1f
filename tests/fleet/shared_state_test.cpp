// Tests the host of the registers: a status must reach the decision module, and the registers, with the age
// that it has there.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>

#include "component_test.h"
#include "fleet/registers.h"
#include "peer/codec.h"
#include "peer/fleet.h"
#include "peer/state_file.h"

namespace rockcrank::peer {
namespace {

constexpr Millis stop_length = 40;  // of this process, in the middle of a turn
constexpr Millis told_wait = 5000;

// The shared state of member "b"; member "a" is played by the test.
class SharedStateTest : public ComponentTest {
 protected:
  SharedStateTest() {
    config_.shared_state_enabled = true;
    start_link();
    shared_state_ = make_shared_state(context());
    shared_state_->start();
  }

  // As the relay does it; a process may be stopped at any moment of it.
  void begin_turn() override {
    if (stops_before_time_is_read_) stop_process();
    ComponentTest::begin_turn();
    if (stops_after_time_is_read_) stop_process();
  }
  static void stop_process() {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(stop_length));
  }
  // Member "a" was told to wait just now. Returns the end of that wait.
  Millis receive_wait() {
    fleet::RegisterRecord record;
    record.kind = fleet::RegisterKind::retry_after, record.name = "d0000000000000007";
    record.duration = told_wait, record.version = {1, member_id("a")}, record.incarnation = {1, 1};
    fleet::RegisterMessage message;
    message.records = {record}, message.sent_at = loop_.now();
    const Millis end = message.sent_at + told_wait;
    shared_state_->on_link_change(member_id("a"), {1, 1}, true);
    shared_state_->on_message(member_id("a"), packed(message));
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

  std::unique_ptr<FleetComponent> shared_state_;
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

// A process that has just started, while an earlier one of the same directory is still running.
class SharedStateReplacementTest : public SharedStateTest {
 protected:
  SharedStateReplacementTest() {
    earlier_store_ = std::move(store_);
    store_ = std::make_unique<Store>(folder_, 1 << 20);
    shared_state_ = make_shared_state(context());
    shared_state_->start();
  }
  // The earlier process was told to wait, and writes the state file.
  void write_wait_in_earlier_process() {
    fleet::RegisterRecord record;
    record.kind = fleet::RegisterKind::retry_after, record.name = "d0000000000000009";
    record.duration = told_wait, record.version = {1, member_id("b")}, record.incarnation = {1, 1};
    std::string error_text;
    ASSERT_TRUE(file().write({record}, read_clocks(), error_text)) << error_text;
  }
  StateFile file() const { return {folder_ + "/state", config_.fleet_name, config_.self}; }

  std::unique_ptr<Store> earlier_store_;
};

// Guards against a told wait that is broken: the earlier process heard it after the later one had read the
// file.
TEST_F(SharedStateReplacementTest, WaitOfTheEarlierProcessIsHeeded) {
  write_wait_in_earlier_process();
  EXPECT_TRUE(decision_.applied_statuses.empty());
  shared_state_->on_previous_process_ended();
  ASSERT_EQ(decision_.applied_statuses.size(), 1u);
  EXPECT_GT(decision_.applied_statuses[0].retry_after_left, told_wait - 1000);
}

// Guards against a told wait that is forgotten: each of the two replaced the file that the other one had
// written.
TEST_F(SharedStateReplacementTest, NeitherProcessLosesWhatTheOtherWrote) {
  receive_wait();
  run_for(5);
  write_wait_in_earlier_process();
  shared_state_->leave();
  std::string error_text;
  auto stored = file().read(read_clocks(), error_text);
  ASSERT_TRUE(stored) << error_text;
  EXPECT_EQ(stored->records.size(), 2u) << "the later process replaced the file";
  write_wait_in_earlier_process();
  shared_state_->on_previous_process_ended();
  stored = file().read(read_clocks(), error_text);
  ASSERT_TRUE(stored) << error_text;
  EXPECT_EQ(stored->records.size(), 2u) << "the earlier process replaced the file";
}

}  // namespace
}  // namespace rockcrank::peer
