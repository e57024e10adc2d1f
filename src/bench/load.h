// Load generator with a thread and an event loop of its own. It submits documents over client connections,
// with a fixed window or at a fixed rate, and measures the time to each +OK. It shares nothing with the
// harness while it runs.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "trial/event_loop.h"

namespace rockcrank::bench {

using trial::Millis;

struct LoadSettings {
  std::vector<trial::Address> relays;
  std::string id_prefix;        // of the documents' ids
  std::string type = "plain";   // document type of the settings
  int connections = 2;          // to each relay
  int window = 0;               // unanswered documents on each connection; 0: fixed rate
  double rate = 0;              // documents a second to each relay, for a fixed rate
  std::vector<double> weights;  // of destinations 1, 2, ...; empty: all documents go to 1
  Millis time_to_expiry = 8000;
  std::size_t body_bytes = 200;
  unsigned seed = 1;
};

struct LoadResult {
  std::uint64_t accepted = 0, busy = 0, other = 0, unanswered = 0;
  Millis duration = 0;
  std::vector<Millis> answer_times;  // from submission to +OK
};

class Load {
 public:
  explicit Load(LoadSettings settings);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  // Stops the load and waits at most `answer_timeout` for outstanding answers.
  LoadResult stop(Millis answer_timeout = 300);

 private:
  struct Connection {
    std::size_t relay = 0;
    std::uint64_t socket_id = 0;
    bool up = false;
    std::deque<Millis> submitted_at;
  };
  void run();
  void connect(std::size_t index);
  void handle_answers(std::size_t index);
  void fill_window(std::size_t index);
  void submit(Connection& connection);
  void pace();

  LoadSettings settings_;
  trial::EventLoop event_loop_;
  std::vector<Connection> connections_;
  std::vector<std::size_t> next_connection_;  // by relay
  std::vector<double> submitted_;             // by relay, for a fixed rate
  std::minstd_rand random_;
  std::discrete_distribution<int> destinations_;
  std::uint64_t last_number_ = 0;
  Millis started_at_ = 0;
  LoadResult result_;
  std::atomic<bool> stopping_{false};
  std::atomic<Millis> answer_timeout_{0};
  std::thread thread_;
};

}  // namespace rockcrank::bench
