// Calls to endpoints when two events race. The calls use real loopback connections and the relay's event
// loop. The endpoint is scripted from timers of the same loop, so a test decides exactly when it acts, even
// between the return of poll() and the relay's own timer of that round.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "call_fixture.h"

namespace rockcrank {
namespace {

// The endpoint receives no more than a few kilobytes of a request.
class SlowReader : public Calls {
 protected:
  SlowReader() : Calls(small_buffer) {}
};

// An answer that arrives after poll() returned and before the call's timeout is handled, in one round,
// counts.
TEST_F(Calls, AnswerInTheRoundOfItsTimeout) {
  const Millis timeout = call({{1, 100}});
  wait_for_request(0);
  run_past(timeout, [&] { server_.answer(0, answered); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
  EXPECT_FALSE(server_.is_ended(0));
}

TEST_F(Calls, AnswerToABatchInTheRoundOfItsTimeout) {
  const Millis timeout = call({{1, 100}, {2, 1000}});
  wait_for_request(0);
  run_past(timeout, [&] {
    server_.answer(0, answer_of(R"([{"id":"id1","state":"later"},{"id":"id2","state":"ok"}])"));
  });
  EXPECT_EQ(results(), (Results{TransmissionResult::refused, TransmissionResult::answered}));
}

// A partial answer doesn't count: the call times out.
TEST_F(Calls, PartialAnswerInTheRoundOfItsTimeout) {
  const Millis timeout = call({{1, 100}, {2, 1000}});
  wait_for_request(0);
  run_past(timeout, [&] { server_.answer(0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[{"); });
  EXPECT_EQ(results(), (Results{TransmissionResult::timed_out, TransmissionResult::timed_out}));
  EXPECT_TRUE(server_.is_ended(0));
}

// A reset in the round of the timeout came after the last byte of the request, so the call is reported as
// broken.
TEST_F(Calls, ResetInTheRoundOfItsTimeout) {
  const Millis timeout = call({{1, 100}});
  wait_for_request(0);
  run_past(timeout, [&] { server_.reset(0); });
  EXPECT_EQ(results(), Results{TransmissionResult::connection_lost});
}

// The wait of an answer that stops short ended too early, as it counted from its header and not from the last
// byte written.
TEST_F(Calls, WaitOfAnAnswerThatStopsShortCountsFromItsLastByte) {
  std::vector<Millis> told_until;
  endpoints_.on_wait_told_early = [&](DocId, int, Millis wait) { told_until.push_back(loop_.now() + wait); };
  call({{1, 1000}});
  wait_for_request(0);
  server_.answer(0, "HTTP/1.1 429 Wait\r\nRetry-After: 2\r\n");
  run_until([&] { return told_until.size() == 1; });
  server_.answer(0, "Content-Length: 9\r\n\r\nab");
  run_until([&] { return told_until.size() == 2; });
  ASSERT_EQ(told_until.size(), 2U);
  EXPECT_GT(told_until[1], told_until[0]);
}

TEST_F(Calls, AnswerInTheRoundOfItsCallOff) {
  call({{1, 1000}});
  wait_for_request(0);
  server_.answer(0, answered);
  endpoints_.cancel(DocId(1), 0);
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
}

TEST_F(Calls, CallOffBeforeTheAnswer) {
  call({{1, 1000}, {2, 1000}});
  wait_for_request(0);
  endpoints_.cancel(DocId(1), 0);
  EXPECT_EQ(results(), (Results{TransmissionResult::canceled, TransmissionResult::canceled}));
  EXPECT_TRUE(server_.is_ended(0));
  EXPECT_TRUE(endpoints_.no_calls_in_flight());
}

// A batch is aborted as a whole at the shortest timeout in it, and not before.
TEST_F(Calls, BatchEndsWithItsShortestTimeout) {
  const Millis begun = loop_.now();
  call({{1, 1000}, {2, 150}, {3, 1000}});
  wait_for_request(0);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(3, TransmissionResult::timed_out));
  EXPECT_GE(loop_.now(), begun + 150);
  EXPECT_LT(loop_.now(), begun + 1000);
  EXPECT_TRUE(server_.is_ended(0));
  EXPECT_NE(server_.request(0).find("Request-Timeout: 0.150"), std::string::npos);
}

// The same holds for a batch that waits for a slot: no request written later contains the document whose time
// was up.
TEST_F(Calls, DeferredBatchEndsWithItsShortestTimeout) {
  may_write_ = SendPermission::later;
  call({{1, 1000}, {2, 100}});
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_sent));
  may_write_ = SendPermission::now;
  endpoints_.resume_deferred();
  EXPECT_EQ(server_.request(0), "");
  EXPECT_TRUE(server_.is_ended(0));
}

// Nothing is written on a connection that is established in the round in which its call's timeout is due.
TEST_F(Calls, ConnectedInTheRoundOfItsTimeout) {
  const Millis called_at = EventLoop::monotonic_time();
  call({{1, 1}, {2, 1000}});
  while (EventLoop::monotonic_time() < called_at + 10) {}
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_connected));
  EXPECT_EQ(server_.request(0), "");
  EXPECT_TRUE(server_.is_ended(0));
}

// Nothing is written either if a document of the call has ended meanwhile, whether it is the first one or
// not; the others may be sent again.
TEST_F(Calls, ConnectedAfterOneOfItsDocumentsEnded) {
  call({{1, 1000}, {2, 1000}});
  finished_.insert(DocId(2));
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_sent));
  EXPECT_EQ(server_.request(0), "");
}

// The same for a call that was deferred.
TEST_F(Calls, DeferredCallAfterOneOfItsDocumentsEnded) {
  may_write_ = SendPermission::later;
  call({{1, 1000}, {2, 1000}});
  run_until([&] { return may_write_calls_ > 0; });
  EXPECT_TRUE(outcomes_.empty());
  may_write_ = SendPermission::now;
  finished_.insert(DocId(2));
  endpoints_.resume_deferred();
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_sent));
  EXPECT_EQ(server_.request(0), "");
}

// A copy of the answer before that arrives while the store is written is not taken for the call's answer: the
// call goes over a new connection.
TEST_F(Calls, CopyArrivesWhileTheCallIsRecorded) {
  leave_one_idle();
  bool copied = false;
  endpoints_.before_write = [&](EndpointId, const std::vector<Endpoints::InFlightTransmission>&) {
    if (!std::exchange(copied, true)) server_.answer(0, answered);
    return true;
  };
  call({{2, 1000}});
  run_until([&] { return server_.has_request(1) || !outcomes_.empty(); });
  EXPECT_TRUE(outcomes_.empty());
  EXPECT_FALSE(server_.has_request(0, 2));
  server_.answer(1, answered);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
}

// The same while the call was told to begin later.
TEST_F(Calls, CopyArrivesWhileTheCallIsDeferred) {
  leave_one_idle();
  may_write_ = SendPermission::later;
  call({{2, 1000}});
  server_.answer(0, answered);
  run_until([&] { return server_.connections() == 2 || !outcomes_.empty(); });
  EXPECT_TRUE(outcomes_.empty());
  may_write_ = SendPermission::now;
  run_until([&] { return endpoints_.resume_deferred(), server_.has_request(1); });
  server_.answer(1, answered);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
  EXPECT_FALSE(server_.has_request(0, 2));
}

// A delivery that comes before the whole request was written is none: the call has not run.
TEST_F(SlowReader, DeliveredBeforeTheRequestIsWritten) {
  call({{1, 1000}}, std::string(8 << 20, 'x'));
  run_until([&] { return server_.has_unread_bytes(0); });
  server_.answer(0, answered);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::not_connected});
}

// A wait requested while the connection is being established prevents the call.
TEST_F(Calls, RequestedWaitWhileConnecting) {
  call({{1, 1000}, {2, 1000}});
  may_write_ = SendPermission::never;
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_sent));
  EXPECT_EQ(server_.request(0), "");
}

// Bytes or a reset on an idle connection just before its next use, not yet seen by the loop.
TEST_F(Calls, BytesOnAnIdleConnectionBeforeItsUse) {
  leave_one_idle();
  server_.answer(0, "HTTP/1.1 2");
  call({{2, 1000}});
  wait_for_request(1);
  server_.answer(1, answered);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
  EXPECT_FALSE(server_.has_request(0, 2));
}

TEST_F(Calls, ResetOfAnIdleConnectionBeforeItsUse) {
  leave_one_idle();
  server_.reset(0);
  call({{2, 1000}});
  wait_for_request(1);
  server_.answer(1, answered);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
}

// A reset right after the request was written: the documents may have run.
TEST_F(Calls, ResetOfAnIdleConnectionRightAfterItsUse) {
  leave_one_idle();
  call({{2, 1000}, {3, 1000}});
  server_.reset(0);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::connection_lost));
  EXPECT_GT(outcomes_[0].connection_idle_time, 0);
}

// A connection refused before any request: nothing listens on the port.
TEST_F(Calls, RefusedConnection) {
  server_.stop_listening();
  call({{1, 1000}, {2, 1000}});
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_connected));
}

// A call went to whoever came up at an address that its endpoint had left: it was connecting, or waited.
TEST_F(Calls, UnwrittenCallOfAnEndpointThatMoves) {
  ScriptedEndpoint new_address;
  may_write_ = SendPermission::later;
  call({{1, 1000}, {2, 1000}});
  run_until([&] { return server_.connections() == 1; });
  endpoints_.set_address(endpoint, new_address.address);
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_sent));
  may_write_ = SendPermission::now;
  endpoints_.resume_deferred();
  call({{3, 1000}});
  run_until([&] { return new_address.has_request(0); });
  EXPECT_EQ(server_.request(0), "");
}

// The same with a request of which a part is written: the rest would go to the old address.
TEST_F(SlowReader, PartlyWrittenCallOfAnEndpointThatMoves) {
  ScriptedEndpoint new_address;
  call({{1, 30000}}, std::string(8 << 20, 'x'));
  run_until([&] { return server_.has_unread_bytes(0); });
  endpoints_.set_address(endpoint, new_address.address);
  EXPECT_EQ(results(), Results{TransmissionResult::not_sent});
  EXPECT_FALSE(server_.has_request(0));
}

// A reset within a request: its last byte is not written yet, so none of its documents has run.
TEST_F(SlowReader, ResetWithinARequest) {
  // More than the socket buffers hold even when the system grows them.
  call({{1, 30000}, {2, 30000}, {3, 30000}}, std::string(8 << 20, 'x'));
  run_until([&] { return server_.has_unread_bytes(0); });
  server_.reset(0);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(3, TransmissionResult::not_connected));
}

// A call that this process begins only after its deadline is not written on a kept connection either.
TEST_F(Calls, BegunAfterItsDeadline) {
  leave_one_idle();
  call({{2, 1000}, {3, -1}});
  EXPECT_EQ(results(), Results(2, TransmissionResult::not_sent));
  EXPECT_TRUE(outcomes_[0].never_written);
  EXPECT_EQ(server_.request(0).find("id2"), std::string::npos);
}

// A call on a kept connection asks before its first byte, as the view that chose it may be old.
TEST_F(Calls, KeptConnectionAsksBeforeItsFirstByte) {
  leave_one_idle();
  may_write_ = SendPermission::never;
  call({{2, 1000}});
  EXPECT_EQ(results(), Results{TransmissionResult::not_sent});
  EXPECT_EQ(server_.request(0).find("id2"), std::string::npos);
}

// The rest of a request that the endpoint took only in part is not written once its destination told a wait.
TEST_F(SlowReader, WaitToldWithinARequest) {
  call({{1, 5000}}, std::string(16 << 20, 'x'));
  run_until([&] { return server_.has_unread_bytes(0); });
  may_write_ = SendPermission::never;
  run_until([&] { return server_.request(0).size() > 0 && !outcomes_.empty(); });
  ASSERT_EQ(results(), Results{TransmissionResult::not_sent});
  EXPECT_TRUE(outcomes_[0].never_written);
  EXPECT_FALSE(server_.has_request(0));
}

// A reset long after a request.
TEST_F(Calls, ResetLongAfterARequest) {
  call({{1, 1000}, {2, 1000}});
  wait_for_request(0);
  const Millis later = loop_.now() + 200;
  run_until([&] { return loop_.now() >= later; });
  EXPECT_TRUE(outcomes_.empty());
  server_.reset(0);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::connection_lost));
}

// An answer that never ends: for a single document a 200 counts at once and the connection is closed later;
// for a batch it doesn't count, and the call times out.
TEST_F(Calls, AnswerThatNeverEnds) {
  call({{1, 1000}});
  wait_for_request(0);
  server_.answer(0, "HTTP/1.1 200 OK\r\nX-Noise: ");
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
  EXPECT_FALSE(server_.is_ended(0));
  run_until([&] { return server_.is_ended(0); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
}

TEST_F(Calls, AnswerToABatchThatNeverEnds) {
  call({{1, 200}, {2, 1000}});
  wait_for_request(0);
  server_.answer(0, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{\"id\":\"id1\",\"state\":\"ok\"}");
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::timed_out));
}

// A malformed answer, or a connection that ends within one: for a batch it doesn't count, whatever its status
// line says.
TEST_F(Calls, EndWithinAnAnswer) {
  call({{1, 1000}});
  wait_for_request(0);
  server_.answer(0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  server_.reset(0);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
}

TEST_F(Calls, EndWithinAnAnswerToABatch) {
  call({{1, 1000}, {2, 1000}});
  wait_for_request(0);
  server_.answer(0, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{\"id\":\"id1\",\"state\":\"ok\"}");
  server_.finish(0);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::connection_lost));
}

TEST_F(Calls, MalformedAnswerToABatch) {
  call({{1, 1000}, {2, 1000}});
  wait_for_request(0);
  server_.answer(0, answer_of(R"([{"id":"id1","state":"ok"},{"id":"id2")"));
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results(2, TransmissionResult::error));
}

// The endpoint's address changed during a call: the connection to the old address is not reused.
TEST_F(Calls, AddressChangedDuringACall) {
  call({{1, 1000}});
  wait_for_request(0);
  ScriptedEndpoint moved;
  endpoints_.set_address(endpoint, moved.address);
  server_.answer(0, answered);
  run_until([&] { return !outcomes_.empty(); });
  EXPECT_EQ(results(), Results{TransmissionResult::answered});
  call({{2, 1000}});
  run_until([&] { return moved.has_request(0) || server_.has_request(0, 2); });
  EXPECT_TRUE(moved.has_request(0));
}

}  // namespace
}  // namespace rockcrank
