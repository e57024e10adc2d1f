// The clients of the platform's agent: a long-poll watch of the endpoint list, and reports on documents that
// ended undelivered, each on a connection of its own. When to start the watch and how long to back off is
// decided by the callers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"
#include "relay/http.h"
#include "relay/loop.h"

namespace rockcrank {

// Sends one HTTP request at a time to the agent.
class AgentClient {
 public:
  // kept: over one connection, on which a response may be a copy of an earlier one. per_request: over a
  // connection of its own, whose first response can belong to this request only.
  enum class Connections { kept, per_request };
  AgentClient(EventLoop& loop, const Address& agent, Connections connections)
      : loop_(loop), agent_(agent), connections_(connections), timer_(loop, [this] { fail(); }) {}
  std::function<void(const HttpResponse&)> on_response;  // may send the next request
  std::function<void()> on_failure;
  void send_request(std::string request, Millis timeout);
  void set_agent(const Address& agent);  // drops the request in flight
  bool in_flight() const { return in_flight_; }
  void read_pending();  // an answer that has arrived, without waiting for poll
  Millis elapsed() const { return loop_.now() - sent_at_; }  // since the last request was sent

 private:
  void connect();
  void handle_data(bool closed);
  void fail();
  void close_connection();

  EventLoop& loop_;
  Address agent_;
  Connections connections_;
  Timer timer_;
  std::unique_ptr<Stream> stream_;
  std::string request_;
  Millis sent_at_ = 0, deadline_ = 0;
  bool in_flight_ = false, reused_connection_ = false;
};

// Follows the endpoint list by long polling (GET /v1/servers).
class EndpointListWatch {
 public:
  EndpointListWatch(EventLoop& loop, const Address& agent);
  std::function<bool(std::string_view body)> on_list;                // false: the body is malformed
  std::function<void(bool turned_away, Millis elapsed)> on_failure;  // since the request
  std::function<std::int64_t()> version;                             // of the current list; negative: none
  // wait: how long the agent may hold a request while nothing changes; timeout: beyond that, or for a full
  // list.
  void start(Millis wait, Millis timeout);
  void set_agent(const Address& agent);  // continues there at once from the current version
  void read_pending() { client_.read_pending(); }

 private:
  void poll();
  AgentClient client_;
  Millis wait_ = 0, timeout_ = 0;
  bool has_answered_ = false;  // since start()
};

// Reports documents that ended undelivered (POST /reports) until the agent acknowledges them.
class ReportSender {
 public:
  ReportSender(EventLoop& loop, const Address& agent);
  std::function<void(DocId)> on_acknowledged;
  std::function<Millis(int)> backoff_after;  // by the number of consecutive failures
  void report(DocId doc, const std::string& id, bool rejected, Millis wait);
  void set_agent(const Address& agent);  // sends all unacknowledged reports there at once
  bool all_acknowledged() const { return queued_.empty() && in_flight_.empty(); }

 private:
  struct Report {
    DocId doc{};
    std::string line;
  };
  void send();
  void requeue_in_flight();
  EventLoop& loop_;
  AgentClient client_;
  Timer retry_timer_;
  std::vector<Report> queued_, in_flight_;
  int failures_ = 0;
};

}  // namespace rockcrank
