// Owns a load on relays, on a thread and a ring of its own: documents handed in by client connections, as
// many at once or as many a second as told, and when each +OK came. It must never know the relays otherwise,
// nor share anything with the rig while it runs.
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
  std::string id_prefix;         // the documents' ids begin so
  std::string type = "plain";    // a document type of the settings
  int connections = 2;           // to each relay
  int window = 0;                // documents without an answer on each connection; 0: paced
  double rate = 0;               // documents a second to each relay, if paced
  std::vector<double> weights;   // of destinations 1, 2, ...; empty: all go to 1
  Millis time_to_expiry = 8000;  // to the documents' expiry
  std::size_t body_bytes = 200;  // bytes
  unsigned seed = 1;
};

struct LoadResult {
  std::uint64_t accepted = 0, busy = 0, other = 0, unanswered = 0;
  Millis duration = 0;
  std::vector<Millis> answer_times;  // from handed in to +OK
};

class Load {
 public:
  explicit Load(LoadSettings settings);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  // Ends the load, and waits at most `rest` for answers that are still to come.
  LoadResult stop(Millis answer_timeout = 300);

 private:
  struct Connection {
    std::size_t relay = 0;
    std::uint64_t socket_id = 0;
    bool up = false;
    std::deque<Millis> submitted_at;
  };
  void run();
  void connect(std::size_t connection);
  void handle_answers(std::size_t connection);
  void fill_window(std::size_t connection);
  void submit(Connection& connection);
  void pace();

  LoadSettings settings_;
  trial::EventLoop event_loop_;
  std::vector<Connection> connections_;
  std::vector<std::size_t> next_connection_;  // of each relay
  std::vector<double> submitted_;             // of each relay, if paced
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
