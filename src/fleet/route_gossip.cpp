// See route_gossip.h for the interface. Each update is sent after a random delay, so that of many relays that
// learn the same at once one sends it, and the others, having received it, do not.
#include "fleet/route_gossip.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <tuple>
#include <utility>

namespace rockcrank::fleet {
namespace {

constexpr Millis never = 1e18;
constexpr Millis max_send_delay = 40;
constexpr Millis repeat_interval = 2000;      // before the same update is sent again
constexpr Millis min_retry_after = 250;       // shorter waits are not worth an update
constexpr Millis retry_after_tolerance = 60;  // ends this close count as equal
constexpr Millis min_limit_interval = 1000;   // between two updates of one limit
constexpr double min_limit_change = 0.15;     // smaller changes are not worth an update
constexpr int datagrams_per_second = 4;       // of one relay

class DatagramGossip final : public RouteGossip {
 public:
  explicit DatagramGossip(std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  void begin_turn(Millis now) override {
    now_ = now;
    std::erase_if(recent_, [&](const auto& one) { return now_ > one.second.at + 10 * repeat_interval; });
  }

  void publish(const RouteStatus& status) override {
    RouteUpdate update{{}, status.per_endpoint, status.route, 0, 0, 0};
    if (status.retry_after_left >= min_retry_after) {
      update.kind = UpdateKind::retry_after, update.duration_ms = to_uint32(status.retry_after_left);
      enqueue(update);
    }
    update.kind = status.state == RouteState::down         ? UpdateKind::down
                  : status.state == RouteState::recovering ? UpdateKind::recovering
                                                           : UpdateKind::healthy;
    update.duration_ms = to_uint32(status.state_age),
    update.rate_millis = to_uint32(1000 * status.rate_before_outage);
    // That a route is healthy is only news after another state was sent or received.
    auto previous = recent_.find({status.per_endpoint, status.route, 0});
    bool is_new = update.kind != UpdateKind::healthy ||
                  (previous != recent_.end() && previous->second.update.kind != UpdateKind::healthy);
    if (is_new) enqueue(update);
    if (status.rate_limit > 0) {
      update.kind = UpdateKind::rate_limit, update.duration_ms = to_uint32(status.limit_age),
      update.rate_millis = to_uint32(1000 * status.rate_limit);
      update.share_percent = static_cast<std::uint8_t>(std::clamp(100 * status.remaining_share, 0.0, 100.0));
      enqueue(update);
    }
  }

  void on_datagram(const RouteDatagram& datagram) override {
    for (const auto& update : datagram) {
      if (update.kind > UpdateKind::rate_limit) continue;  // from a newer version
      RouteStatus status;
      status.per_endpoint = update.per_endpoint, status.route = update.route;
      if (update.kind == UpdateKind::retry_after) status.retry_after_left = update.duration_ms;
      else if (update.kind == UpdateKind::rate_limit)
        status.rate_limit = update.rate_millis / 1000.0,
        status.remaining_share = update.share_percent / 100.0, status.limit_age = update.duration_ms;
      else
        status.state = update.kind == UpdateKind::down         ? RouteState::down
                       : update.kind == UpdateKind::recovering ? RouteState::recovering
                                                               : RouteState::healthy,
        status.state_age = update.duration_ms, status.rate_before_outage = update.rate_millis / 1000.0;
      reports_.push_back(status);
      recent_[key_of(update)] = {update, now_};
    }
  }

  std::vector<RouteStatus> take_route_statuses() override { return std::exchange(reports_, {}); }

  Actions decide() override {
    for (auto& [key, queued] : queue_)
      if (now_ >= queued.send_at && !is_news(queued.update)) queued.send_at = never;
    std::erase_if(queue_, [](const auto& one) { return one.second.send_at >= never; });
    RouteDatagram datagram;
    auto flush = [&] {
      if (datagram.empty()) return;
      actions_.datagrams.push_back(std::exchange(datagram, {}));
      tokens_ -= 1;
    };
    tokens_ = std::min<double>(datagrams_per_second,
                               tokens_ + datagrams_per_second * (now_ - tokens_updated_at_) / 1000);
    tokens_updated_at_ = now_;
    bool due = std::ranges::any_of(queue_, [&](const auto& one) { return now_ >= one.second.send_at; });
    // When one update is due, all queued ones are sent with it.
    for (auto at = queue_.begin(); due && at != queue_.end() && tokens_ >= 1;) {
      auto& [key, queued] = *at;
      if (is_news(queued.update)) {
        RouteUpdate update = with_current_age(queued);
        datagram.push_back(update), recent_[key] = {update, now_};
      }
      at = queue_.erase(at);
      if (datagram.size() >= max_updates_per_datagram) flush();
    }
    flush();
    Millis next_send = never;
    for (const auto& [key, queued] : queue_) next_send = std::min(next_send, std::max(queued.send_at, now_));
    if (next_send < never && tokens_ < 1)
      next_send = std::max(next_send, now_ + 1000 * (1 - tokens_) / datagrams_per_second);
    actions_.wake_in = next_send >= never ? -1 : next_send - now_;
    return std::exchange(actions_, {});
  }

 private:
  // per_endpoint, route, and 0: state, 1: wait, 2: rate limit.
  using Key = std::tuple<bool, std::uint64_t, int>;
  static Key key_of(const RouteUpdate& update) {
    return {update.per_endpoint, update.route,
            update.kind == UpdateKind::retry_after  ? 1
            : update.kind == UpdateKind::rate_limit ? 2
                                                    : 0};
  }
  struct QueuedUpdate {
    RouteUpdate update;
    Millis queued_at = 0, send_at = 0;
  };
  struct RecentUpdate {
    RouteUpdate update;
    Millis at = 0;
  };
  static std::uint32_t to_uint32(double value) {
    return static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, 4e9));
  }

  void enqueue(const RouteUpdate& update) {
    auto key = key_of(update);
    auto [at, inserted] = queue_.try_emplace(key, QueuedUpdate{update, now_, now_ + draw_delay()});
    if (!inserted) at->second.update = update, at->second.queued_at = now_;
  }
  Millis draw_delay() { return std::uniform_real_distribution<double>(0, max_send_delay)(random_); }

  RouteUpdate with_current_age(const QueuedUpdate& queued) const {
    RouteUpdate update = queued.update;
    auto waited = to_uint32(now_ - queued.queued_at);
    update.duration_ms = update.kind == UpdateKind::retry_after
                             ? update.duration_ms - std::min(update.duration_ms, waited)
                             : update.duration_ms + waited;
    return update;
  }

  // Whether no relay, including this one, has sent the same recently.
  bool is_news(const RouteUpdate& update) const {
    auto found = recent_.find(key_of(update));
    if (found == recent_.end()) return true;
    const auto& [sent, at] = found->second;
    Millis since = now_ - at;
    if (update.kind == UpdateKind::retry_after)
      return at + sent.duration_ms + retry_after_tolerance < now_ + update.duration_ms;
    if (update.kind == UpdateKind::rate_limit) {
      bool changed =
          std::abs(1.0 * update.rate_millis - sent.rate_millis) > min_limit_change * sent.rate_millis ||
          update.share_percent < 10;
      return since > min_limit_interval && (changed || since > repeat_interval);
    }
    return update.kind != sent.kind || since > repeat_interval;
  }

  std::minstd_rand random_;
  Millis now_ = 0, tokens_updated_at_ = 0;
  double tokens_ = datagrams_per_second;
  std::map<Key, QueuedUpdate> queue_;
  std::map<Key, RecentUpdate> recent_;
  std::vector<RouteStatus> reports_;
  Actions actions_;
};

}  // namespace

std::unique_ptr<RouteGossip> RouteGossip::make(std::uint64_t seed) {
  return std::make_unique<DatagramGossip>(seed);
}

}  // namespace rockcrank::fleet
