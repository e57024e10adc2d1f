// What an answer does to its document, for each status, however surely the answer belongs to its call, and
// however the call ends. Judged by the rules alone: a document that its endpoint ended is not open again; one
// that may be owed its end is not dropped without a report; a call counts as never run only where that is
// known.
#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "call_fixture.h"

namespace rockcrank {
namespace {

constexpr Millis short_acceptance_delay = 60;
constexpr Millis call_time = 150;
constexpr Millis long_acceptance_delay = 5000;  // longer than the call

enum class Standing { first, differs_from_all_before, has_bytes_of_one_before, after_one_without_proof };
enum class Ending { accepted, end_of_connection, reset, time_out, called_off, own_answer_follows };

constexpr Standing all_standings[] = {Standing::first, Standing::differs_from_all_before,
                                      Standing::has_bytes_of_one_before, Standing::after_one_without_proof};

struct Status {
  const char* line;
  const char* headers = "";
  bool cut = false;  // its first line is whole, and its body is not
};
constexpr Status all_statuses[] = {{"200 OK"},           {"500 Error"},
                                   {"418 Unnamed"},      {"429 Wait", "Retry-After: 0.2\r\n"},
                                   {"503 Full"},         {"503 Busy", "X-Line-Busy: 1\r\n"},
                                   {"400 Bad"},          {"413 Large"},
                                   {"504 Spent"},        {"410 Gone"},
                                   {"200 OK", "", true}, {"410 Gone", "", true}};

bool starts_with(const Status& status, const char* code) {
  return std::string(status.line).starts_with(code);
}

bool ends_document(const Outcome& outcome) {
  return outcome.end == DocumentEnd::over || outcome.end == DocumentEnd::over_unproved;
}

bool counts_as_never_run(const Outcome& outcome) {
  return outcome.result == TransmissionResult::refused || outcome.result == TransmissionResult::not_sent ||
         outcome.result == TransmissionResult::not_connected;
}

// One endpoint and one connection for each combination.
class Combination : public Calls {
 public:
  Combination(const Status& status, Standing standing, Ending ending)
      : status_(status), standing_(standing), ending_(ending) {}
  void TestBody() override {}

  // False where it cannot be had.
  bool exists() const {
    const bool is_proved = standing_ == Standing::first || standing_ == Standing::differs_from_all_before;
    const bool cut_ends = ending_ != Ending::accepted && ending_ != Ending::own_answer_follows;
    if (status_.cut) return cut_ends;
    return !(is_proved && ending_ == Ending::own_answer_follows);
  }

  void play() {
    prepare_connection();
    endpoints_.acceptance_delay = [this](const UnprovenAnswer&) {
      return ending_ == Ending::accepted ? short_acceptance_delay : long_acceptance_delay;
    };
    outcomes_.clear();
    call({{3, call_time}});
    wait_for_request_of_call();
    server_.answer(0, bytes(status_, status_.cut));
    end_call();
    run_until([&] { return !outcomes_.empty(); });
  }

  void judge() {
    ASSERT_EQ(outcomes_.size(), 1U);
    const Outcome& outcome = outcomes_.front();
    if (ending_ == Ending::own_answer_follows) return judge_two_answers(outcome);
    const bool is_proved = standing_ == Standing::first || standing_ == Standing::differs_from_all_before;
    const bool is_delivery = starts_with(status_, "200"), is_over = starts_with(status_, "410");
    EXPECT_EQ(ends_document(outcome), is_delivery || is_over);
    EXPECT_EQ(outcome.end == DocumentEnd::attempts_spent, starts_with(status_, "504"));
    // A 410 that may be a copy drops no document silently.
    if (is_over && (!is_proved || status_.cut)) { EXPECT_EQ(outcome.end, DocumentEnd::over_unproved); }
    if (is_proved && !status_.cut && ends_document(outcome)) { EXPECT_EQ(outcome.end, DocumentEnd::over); }
    // Nor does a delivery whose call ended in another way.
    const bool is_lost =
        ending_ == Ending::end_of_connection || ending_ == Ending::reset || ending_ == Ending::called_off;
    if (is_delivery && !is_proved && is_lost) { EXPECT_EQ(outcome.end, DocumentEnd::over_unproved); }
    const bool says_never_ran = !is_delivery && !starts_with(status_, "500") && !starts_with(status_, "418");
    const bool is_known = (is_proved && !status_.cut) || ending_ == Ending::accepted;
    if (!ends_document(outcome)) { EXPECT_EQ(counts_as_never_run(outcome), says_never_ran && is_known); }
  }

 private:
  // What follows is a refusal of this very call. Where it is proved, the answer before it was a copy; else
  // either may be the call's own.
  void judge_two_answers(const Outcome& outcome) {
    if (standing_ == Standing::has_bytes_of_one_before) {
      EXPECT_EQ(outcome.result, TransmissionResult::refused);
      EXPECT_EQ(outcome.end, DocumentEnd::none);
      return;
    }
    const bool may_be_over = starts_with(status_, "200") || starts_with(status_, "410");
    EXPECT_EQ(outcome.end, may_be_over ? DocumentEnd::over_unproved : DocumentEnd::none);
    EXPECT_FALSE(counts_as_never_run(outcome));
  }

  static std::string bytes(const Status& status, bool cut) {
    std::string text =
        std::string("HTTP/1.1 ") + status.line + "\r\n" + status.headers + "Content-Length: 4\r\n\r\n";
    return text + (cut ? "ab" : "abcd");
  }
  // The calls before: their answers make the standing of the next one.
  void prepare_connection() {
    endpoints_.acceptance_delay = [](const UnprovenAnswer&) { return 0; };
    const std::string other = answer_of("another");
    if (standing_ == Standing::first) return;
    answer_one(1, standing_ == Standing::has_bytes_of_one_before ? bytes(status_, false) : other);
    if (standing_ == Standing::after_one_without_proof) answer_one(2, other);
  }
  void answer_one(int document, const std::string& answer) {
    call({{document, 1000}});
    wait_for_request_of_call();
    server_.answer(0, answer);
    run_until([&] {
      return outcomes_.size() == static_cast<std::size_t>(document) && endpoints_.no_calls_in_flight();
    });
  }
  void wait_for_request_of_call() {
    ++requests_;
    run_until([&] { return server_.has_request(0, requests_); });
  }
  void end_call() {
    switch (ending_) {
      case Ending::accepted:
      case Ending::time_out: return;
      case Ending::end_of_connection: return server_.finish(0);
      case Ending::reset:
        // Behind the answer, which the relay has: a reset that overtakes it would drop it.
        run_briefly();
        if (outcomes_.empty()) server_.reset(0);
        return;
      case Ending::called_off: return endpoints_.cancel(DocId(3), 0);
      case Ending::own_answer_follows:
        run_briefly();
        return server_.answer(0, "HTTP/1.1 503 Full\r\nContent-Length: 8\r\n\r\nthis one");
    }
  }
  void run_briefly() {
    Timer end(loop_, [&] { loop_.stop(); });
    end.set(loop_.now() + 10);
    loop_.run();
  }

  const Status status_;
  const Standing standing_;
  const Ending ending_;
  std::size_t requests_ = 0;
};

class Answers : public testing::TestWithParam<Ending> {};

// A 410 like an earlier one was dropped with its call, and its document called again.
TEST_P(Answers, DocumentEndedByItsEndpointIsNeitherOpenAgainNorDropped) {
  int played = 0, not_to_be_had = 0;
  for (const Status& status : all_statuses)
    for (Standing standing : all_standings) {
      SCOPED_TRACE(std::string(status.line) + (status.cut ? ", cut" : "") + ", standing " +
                   std::to_string(static_cast<int>(standing)));
      Combination combination(status, standing, GetParam());
      if (!combination.exists()) {
        ++not_to_be_had;
        continue;
      }
      combination.play();
      combination.judge();
      ++played;
    }
  std::printf("%d combinations played, %d cannot be had\n", played, not_to_be_had);
}

std::string name_of_ending(const testing::TestParamInfo<Ending>& ending) {
  static const char* const names[] = {"accepted", "end_of_connection", "reset",
                                      "time_out", "called_off",        "own_answer_follows"};
  return names[static_cast<std::size_t>(ending.param)];
}

INSTANTIATE_TEST_SUITE_P(Endings, Answers,
                         testing::Values(Ending::accepted, Ending::end_of_connection, Ending::reset,
                                         Ending::time_out, Ending::called_off, Ending::own_answer_follows),
                         name_of_ending);

}  // namespace
}  // namespace rockcrank
