// Requests to the agent, one at a time on each connection; discovery.h says what it owns. Nothing here may
// judge an endpoint by what the list says.

#include "relay/discovery.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

#include "relay/log.h"

namespace rockcrank {
namespace {

constexpr std::size_t list_most = 4 << 20;
constexpr std::size_t notices_at_once = 100;  // well under the 64 KiB that a body may hold
constexpr Millis answer_within = 1000;        // the agent is on this machine
constexpr Millis notice_within = 100;         // it answers notices at once; doubled with each that is not
}  // namespace

void AgentClient::send_request(std::string request, Millis within) {
  request_ = std::move(request);
  asking_ = true;
  asked_at_ = loop_.now();
  until_ = asked_at_ + within;
  kept_ = stream_ && stream_->state() == Stream::State::connected;
  if (!kept_) return open();
  timer_.set(until_);
  stream_->send(request_);
}

void AgentClient::open() {
  drop();
  stream_ = std::make_unique<Stream>(loop_, agent_);
  stream_->on_data = [this] { read(false); };
  stream_->on_close = [this] { read(true); };
  bool stillborn = stream_->state() == Stream::State::closed;
  timer_.set(stillborn ? loop_.now() : until_);
  if (!stillborn) stream_->send(request_);
}

void AgentClient::drop() {
  timer_.clear();
  if (!stream_) return;
  stream_->close();
  loop_.defer_delete(std::move(stream_));
}

void AgentClient::set_agent(const Address& agent) {
  agent_ = agent;
  asking_ = false;
  drop();
}

void AgentClient::fail() {
  drop();
  if (std::exchange(asking_, false)) on_failure();
}

void AgentClient::read(bool ended) {
  if (!asking_) return drop();
  auto answer = parse_response(stream_->received(), list_most, ended);
  if (answer.state == HttpResponse::State::partial && !ended) return;
  if (answer.state != HttpResponse::State::complete) {
    // The agent may have closed a kept connection just then: asked once more on a new one.
    if (ended && std::exchange(kept_, false) && stream_->received().empty()) return open();
    return fail();
  }
  asking_ = false;
  timer_.clear();
  // The answer is slices of the stream's buffer, so that goes only after it has been taken in.
  if (answer.closes_connection || ended || answer.size < stream_->received().size()) {
    auto done = std::move(stream_);
    done->close();
    on_response(answer);
    return loop_.defer_delete(std::move(done));
  }
  Stream* stream = stream_.get();  // lives to the end of the round, even if dropped meanwhile
  on_response(answer);
  stream->consume(answer.size);
}

EndpointListWatch::EndpointListWatch(EventLoop& loop, const Address& agent) : asker_(loop, agent) {
  asker_.on_failure = [this] { on_failure(false, asker_.elapsed()); };
  asker_.on_response = [this](const HttpResponse& answer) {
    if (answer.status != 200 || !on_list(answer.body())) {
      log_line("watch: answer %d of %zu bytes is of no use", answer.status, answer.body().size());
      return on_failure(answer.status == 503, asker_.elapsed());
    }
    going_ = true;
    next();  // at once, or changes in between are lost to the watch
  };
}

void EndpointListWatch::set_agent(const Address& agent) {
  asker_.set_agent(agent);
  if (late_ > 0) start(wait_, late_);  // else it has not been followed yet, and soon will be
}

// A list comes from discovery, which answers after what was asked before, or gives up after 2 s; or from an
// agent beside the relay. Guards against asking anew while discovery works on the answer: that is work for
// nothing, and each further call makes all wait longer.
void EndpointListWatch::start(Millis wait, Millis late) {
  wait_ = wait, late_ = late;
  if (asker_.in_flight()) return;
  going_ = false;
  if (version() < 0) return asker_.send_request("GET /v1/servers HTTP/1.1\r\nHost: agent\r\n\r\n", late_);
  next();
}

void EndpointListWatch::next() {
  // Guards against a watch whose answer is lost: told of nothing, the relay would go on calling those that
  // drain.
  auto wait = std::to_string(static_cast<int>(wait_));
  asker_.send_request("GET /v1/servers?after=" + std::to_string(version()) + "&wait_ms=" + wait +
                          " HTTP/1.1\r\nHost: agent\r\n\r\n",
                      wait_ + (going_ ? std::min(late_, answer_within) : late_));
}

ReportSender::ReportSender(EventLoop& loop, const Address& agent)
    : loop_(loop), asker_(loop, agent), again_(loop, [this] { send(); }) {
  asker_.on_response = [this](const HttpResponse& answer) {
    if (answer.status != 204) log_line("notices: answer %d to %zu", answer.status, under_way_.size());
    if (answer.status >= 500) return asker_.on_failure();
    // One that cannot be read would not be the next time either, and must not hold up the others.
    failures_ = 0;
    for (const auto& notice : std::exchange(under_way_, {})) on_acknowledged(notice.doc);
    send();
  };
  asker_.on_failure = [this] {
    take_back();
    // Guards against notices lost behind a kept connection that has fallen silent, as one told at its
    // document's expiry has 300 ms: all are told once more at once, on a new connection.
    if (++failures_ == 1) return send();
    again_.set(loop_.now() + backoff_after(failures_ - 1));
  };
}

void ReportSender::take_back() {
  waiting_.insert(waiting_.begin(), under_way_.begin(), under_way_.end());
  under_way_.clear();
}

// Guards against notices told to an address that no longer listens: those out unanswered are told once more,
// which does no harm, and pauses earned by the old address do not bind the new one.
void ReportSender::set_agent(const Address& agent) {
  asker_.set_agent(agent);
  take_back();
  again_.clear();
  failures_ = 0;
  send();
}

void ReportSender::report(DocId doc, const std::string& id, bool rejected, Millis wait) {
  nlohmann::json line{{"id", id}, {"status", rejected ? "deferred" : "undeliverable"}};
  if (rejected && wait > 0) line["again_ms"] = static_cast<std::int64_t>(std::ceil(wait));
  waiting_.push_back({doc, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"});
  if (failures_ == 0) send();
}

void ReportSender::send() {
  if (asker_.in_flight() || waiting_.empty()) return;
  auto count = std::min(waiting_.size(), notices_at_once);
  auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
  under_way_.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(end));
  waiting_.erase(waiting_.begin(), end);
  std::string body;
  for (const auto& notice : under_way_) body += notice.line;
  asker_.send_request("POST /reports HTTP/1.1\r\nHost: agent\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body,
                      std::min(answer_within, std::ldexp(notice_within, failures_)));
}

}  // namespace rockcrank
