// Runs the load generator on a thread of its own.

#include "bench/load.h"

#include <algorithm>

namespace rockcrank::bench {
namespace {

constexpr Millis reconnect_delay = 10;  // between attempts to connect to a relay
constexpr std::uint64_t keys = 4096;

std::string command(const std::vector<std::string>& words) {
  auto out = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}

}  // namespace

Load::Load(LoadSettings settings) : settings_(std::move(settings)), random_(settings_.seed) {
  auto weights = settings_.weights.empty() ? std::vector<double>{1} : settings_.weights;
  destinations_ = std::discrete_distribution<int>(weights.begin(), weights.end());
  next_connection_.resize(settings_.relays.size()), submitted_.resize(settings_.relays.size());
  for (std::size_t relay = 0; relay < settings_.relays.size(); ++relay)
    for (int i = 0; i < settings_.connections; ++i) connections_.push_back({relay, 0, false, {}});
  thread_ = std::thread([this] { run(); });
}
Load::~Load() {
  if (thread_.joinable()) stop(0);
}

LoadResult Load::stop(Millis answer_timeout) {
  answer_timeout_ = answer_timeout, stopping_ = true;
  thread_.join();
  return std::move(result_);
}

void Load::run() {
  started_at_ = event_loop_.now();
  for (std::size_t i = 0; i < connections_.size(); ++i) connect(i);
  while (!stopping_) {
    if (settings_.window == 0) pace();
    event_loop_.run_once(settings_.window == 0 ? 1 : 5);
  }
  result_.duration = event_loop_.now() - started_at_;
  auto accepted = result_.accepted;
  auto has_unanswered = [&] {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](auto& connection) { return !connection.submitted_at.empty(); });
  };
  for (auto end = event_loop_.now() + answer_timeout_; has_unanswered() && event_loop_.now() < end;)
    event_loop_.run_once(5);
  if (settings_.window > 0) result_.accepted = accepted;  // excludes answers after the end from the rate
  for (const auto& connection : connections_) result_.unanswered += connection.submitted_at.size();
}

void Load::connect(std::size_t index) {
  auto* sock = event_loop_.connect(settings_.relays[connections_[index].relay]);
  connections_[index].socket_id = sock->id;
  sock->on_connected = [this, index] {
    connections_[index].up = true;
    fill_window(index);
  };
  sock->on_data = [this, index] { handle_answers(index); };
  // Reconnects until the relay is back.
  sock->on_closed = [this, index] {
    connections_[index].up = false;
    result_.unanswered += connections_[index].submitted_at.size();
    connections_[index].submitted_at.clear();
    event_loop_.schedule(event_loop_.now() + reconnect_delay, [this, index] {
      if (!stopping_) connect(index);
    });
  };
}

void Load::handle_answers(std::size_t index) {
  auto& connection = connections_[index];
  auto* sock = event_loop_.find(connection.socket_id);
  if (!sock) return;
  std::size_t from = 0;
  for (auto end = sock->in.find("\r\n"); end != std::string::npos; end = sock->in.find("\r\n", from)) {
    auto answer = std::string_view(sock->in).substr(from, end - from);
    from = end + 2;
    if (connection.submitted_at.empty()) continue;
    if (answer == "+OK")
      ++result_.accepted, result_.answer_times.push_back(event_loop_.now() - connection.submitted_at.front());
    else ++(answer.rfind("-BUSY", 0) == 0 ? result_.busy : result_.other);
    connection.submitted_at.pop_front();
  }
  sock->in.erase(0, from);
  if (!stopping_) fill_window(index);
}

void Load::fill_window(std::size_t index) {
  auto& connection = connections_[index];
  while (connection.up && connection.submitted_at.size() < static_cast<std::size_t>(settings_.window))
    submit(connection);
}

void Load::submit(Connection& connection) {
  auto* sock = event_loop_.find(connection.socket_id);
  if (!sock) return;
  auto order_key = std::to_string(last_number_ % keys),
       id = settings_.id_prefix + std::to_string(++last_number_);
  auto list = "c=" + settings_.type + ",d=" + std::to_string(static_cast<long>(settings_.time_to_expiry)) +
              ",dest=" + std::to_string(destinations_(random_) + 1);
  auto body = "key=" + order_key + " v=" + std::to_string(last_number_) + " ";
  body.resize(std::max(body.size(), settings_.body_bytes), 'x');
  connection.submitted_at.push_back(event_loop_.now());
  event_loop_.send(*sock,
                   command({"ENQUEUE", std::string(16 - order_key.size(), '0') + order_key, id, list, body}));
}

void Load::pace() {
  for (std::size_t relay = 0; relay < settings_.relays.size(); ++relay)
    for (auto due = (event_loop_.now() - started_at_) / 1000 * settings_.rate; submitted_[relay] + 1 <= due;
         ++submitted_[relay]) {
      auto& connection =
          connections_[relay * static_cast<std::size_t>(settings_.connections) +
                       next_connection_[relay]++ % static_cast<std::size_t>(settings_.connections)];
      if (connection.up) submit(connection);
    }
}

}  // namespace rockcrank::bench
