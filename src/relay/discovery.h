// Owns the talk with the platform's agent: the watch of the list of endpoints and the notices of documents
// that ended undelivered, each on a connection of its own. It must never decide when to follow the list or to
// try again: it reports a failure and is told.
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

// One request after another on one kept connection to the agent.
class AgentClient {
 public:
  AgentClient(EventLoop& loop, const Address& agent)
      : loop_(loop), agent_(agent), timer_(loop, [this] { fail(); }) {}
  std::function<void(const HttpResponse&)> on_response;  // may ask again
  std::function<void()> on_failure;
  void send_request(std::string request, Millis within);
  void set_agent(const Address& agent);  // what was asked of the old one is asked no more
  bool in_flight() const { return asking_; }
  Millis elapsed() const { return loop_.now() - asked_at_; }  // since the last request was asked

 private:
  void open();
  void read(bool ended);
  void fail();
  void drop();

  EventLoop& loop_;
  Address agent_;
  Timer timer_;
  std::unique_ptr<Stream> stream_;
  std::string request_;
  Millis asked_at_ = 0, until_ = 0;
  bool asking_ = false, kept_ = false;
};

class EndpointListWatch {
 public:
  EndpointListWatch(EventLoop& loop, const Address& agent);
  std::function<bool(std::string_view body)> on_list;  // takes in an answer; false: it cannot be read
  std::function<void(bool turned_away, Millis took)> on_failure;  // since its call was asked
  std::function<std::int64_t()> version;                          // of the list held; negative: none
  // So long for each answer, also where nothing changes; given up when it is so late.
  void start(Millis wait, Millis late);
  void set_agent(const Address& agent);  // followed there at once, from the version held

 private:
  void next();
  AgentClient asker_;
  Millis wait_ = 0, late_ = 0;
  bool going_ = false;  // the agent has answered, and is asked on at once
};

class ReportSender {
 public:
  ReportSender(EventLoop& loop, const Address& agent);
  std::function<void(DocId)> on_acknowledged;
  std::function<Millis(int)> backoff_after;  // so many failures in a row
  void report(DocId doc, const std::string& id, bool rejected, Millis wait);
  void set_agent(const Address& agent);  // all not yet taken is told there at once
  bool all_acknowledged() const { return waiting_.empty() && under_way_.empty(); }

 private:
  struct Notice {
    DocId doc{};
    std::string line;
  };
  void send();
  void take_back();
  EventLoop& loop_;
  AgentClient asker_;
  Timer again_;
  std::vector<Notice> waiting_, under_way_;
  int failures_ = 0;
};

}  // namespace rockcrank
