#include "relay/discovery.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

#include "relay/log.h"

namespace rockcrank {
namespace {

constexpr std::size_t max_list_bytes = 4 << 20;
constexpr std::size_t max_reports_per_request = 100;  // stays well under the body limit of 64 KiB
constexpr Millis response_timeout = 1000;             // the agent runs on this machine
constexpr Millis report_timeout = 100;                // reports are answered at once; doubled on each failure
}  // namespace

void AgentClient::send_request(std::string request, Millis timeout) {
  request_ = std::move(request);
  in_flight_ = true;
  sent_at_ = loop_.now();
  deadline_ = sent_at_ + timeout;
  reused_connection_ = stream_ && stream_->state() == Stream::State::connected;
  if (!reused_connection_) return connect();
  timer_.set(deadline_);
  stream_->send(request_);
}

void AgentClient::connect() {
  close_connection();
  stream_ = std::make_unique<Stream>(loop_, agent_);
  stream_->on_data = [this] { handle_data(false); };
  stream_->on_close = [this] { handle_data(true); };
  bool failed = stream_->state() == Stream::State::closed;
  timer_.set(failed ? loop_.now() : deadline_);
  if (!failed) stream_->send(request_);
}

void AgentClient::close_connection() {
  timer_.clear();
  if (!stream_) return;
  stream_->close();
  loop_.defer_delete(std::move(stream_));
}

void AgentClient::set_agent(const Address& agent) {
  agent_ = agent;
  in_flight_ = false;
  close_connection();
}

void AgentClient::read_pending() {
  if (in_flight_ && stream_) stream_->read_now();
}

void AgentClient::fail() {
  close_connection();
  if (std::exchange(in_flight_, false)) on_failure();
}

void AgentClient::handle_data(bool closed) {
  if (!in_flight_) return close_connection();
  auto response = parse_response(stream_->received(), max_list_bytes, closed);
  if (response.state == HttpResponse::State::partial && !closed) return;
  if (response.state != HttpResponse::State::complete) {
    // The agent may have closed the idle connection just as it was reused: retry once on a new one.
    if (closed && std::exchange(reused_connection_, false) && stream_->received().empty()) return connect();
    return fail();
  }
  in_flight_ = false;
  timer_.clear();
  // The response points into the stream's buffer, which must outlive on_response().
  const bool is_last = connections_ == Connections::per_request || response.closes_connection || closed;
  if (is_last || response.size < stream_->received().size()) {
    auto finished = std::move(stream_);
    finished->close();
    on_response(response);
    return loop_.defer_delete(std::move(finished));
  }
  Stream* stream = stream_.get();  // on_response() may drop it; it lives until the end of the iteration
  on_response(response);
  stream->consume(response.size);
}

EndpointListWatch::EndpointListWatch(EventLoop& loop, const Address& agent)
    : client_(loop, agent, AgentClient::Connections::kept) {
  client_.on_failure = [this] { on_failure(false, client_.elapsed()); };
  client_.on_response = [this](const HttpResponse& response) {
    if (response.status != 200 || !on_list(response.body())) {
      log_line("discovery: unusable response, status %d, %zu bytes", response.status, response.body().size());
      return on_failure(response.status == 503, client_.elapsed());
    }
    has_answered_ = true;
    poll();  // at once, or the watch would miss changes in between
  };
}

void EndpointListWatch::set_agent(const Address& agent) {
  client_.set_agent(agent);
  if (timeout_ > 0) start(wait_, timeout_);  // else start() has not been called yet
}

// The list comes from a discovery service, which answers requests in order or gives up after 2 s, or from an
// agent on the same machine. A second request while one is being answered would waste work and delay all
// others.
void EndpointListWatch::start(Millis wait, Millis timeout) {
  wait_ = wait, timeout_ = timeout;
  if (client_.in_flight()) return;
  has_answered_ = false;
  if (version() < 0) return client_.send_request("GET /v1/servers HTTP/1.1\r\nHost: agent\r\n\r\n", timeout_);
  poll();
}

void EndpointListWatch::poll() {
  // A lost response must time out: without updates the relay would keep calling endpoints that drain.
  auto wait = std::to_string(static_cast<int>(wait_));
  client_.send_request("GET /v1/servers?after=" + std::to_string(version()) + "&wait_ms=" + wait +
                           " HTTP/1.1\r\nHost: agent\r\n\r\n",
                       wait_ + (has_answered_ ? std::min(timeout_, response_timeout) : timeout_));
}

ReportSender::ReportSender(EventLoop& loop, const Address& agent)
    : loop_(loop),
      client_(loop, agent, AgentClient::Connections::per_request),
      retry_timer_(loop, [this] { send(); }) {
  client_.on_response = [this](const HttpResponse& response) {
    if (response.status != 204)
      log_line("reports: status %d for %zu reports", response.status, in_flight_.size());
    if (response.status >= 500) return client_.on_failure();
    // A report that the agent rejects would be rejected again, and must not block the others: it is dropped.
    failures_ = 0;
    for (const auto& report : std::exchange(in_flight_, {})) on_acknowledged(report.doc);
    send();
  };
  client_.on_failure = [this] {
    requeue_in_flight();
    // The reused connection may be dead, and a report sent at its document's expiry has only 300 ms: the
    // first retry is immediate, on a new connection.
    if (++failures_ == 1) return send();
    retry_timer_.set(loop_.now() + backoff_after(failures_ - 1));
  };
}

void ReportSender::requeue_in_flight() {
  queued_.insert(queued_.begin(), in_flight_.begin(), in_flight_.end());
  in_flight_.clear();
}

// The old address may no longer listen: unanswered reports are sent again, which is harmless, and the backoff
// earned by the old address does not apply to the new one.
void ReportSender::set_agent(const Address& agent) {
  client_.set_agent(agent);
  requeue_in_flight();
  retry_timer_.clear();
  failures_ = 0;
  send();
}

void ReportSender::report(DocId doc, const std::string& id, bool rejected, Millis wait) {
  nlohmann::json line{{"id", id}, {"status", rejected ? "deferred" : "undeliverable"}};
  if (rejected && wait > 0) line["again_ms"] = static_cast<std::int64_t>(std::ceil(wait));
  queued_.push_back({doc, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"});
  if (failures_ == 0) send();
}

void ReportSender::send() {
  if (client_.in_flight() || queued_.empty()) return;
  auto count = std::min(queued_.size(), max_reports_per_request);
  auto end = queued_.begin() + static_cast<std::ptrdiff_t>(count);
  in_flight_.assign(std::make_move_iterator(queued_.begin()), std::make_move_iterator(end));
  queued_.erase(queued_.begin(), end);
  std::string body;
  for (const auto& report : in_flight_) body += report.line;
  client_.send_request("POST /reports HTTP/1.1\r\nHost: agent\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body,
                       std::min(response_timeout, std::ldexp(report_timeout, failures_)));
}

}  // namespace rockcrank
