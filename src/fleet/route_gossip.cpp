// All decisions on short notes; notes.h is the interface. News waits for a moment drawn by chance, so that of
// the many relays that learn the same at once one speaks and the others, having heard it, do not.
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
constexpr Millis max_send_delay = 40;         // within which the first of many speaks
constexpr Millis repeat_interval = 2000;      // what was said so lately is not said again
constexpr Millis min_retry_after = 250;       // a wait that is over sooner is not worth a note
constexpr Millis retry_after_tolerance = 60;  // two ends so close are one
constexpr Millis min_limit_interval = 1000;   // between two words on one limit
constexpr double min_limit_change = 0.15;     // a smaller change is not worth one
constexpr int datagrams_per_second = 4;       // datagrams of one relay

class DatagramGossip final : public RouteGossip {
 public:
  explicit DatagramGossip(std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  void begin_turn(Millis now) override {
    now_ = now;
    std::erase_if(recent_, [&](const auto& one) { return now_ > one.second.at + 10 * repeat_interval; });
  }

  void publish(const RouteStatus& own) override {
    RouteUpdate note{{}, own.per_endpoint, own.route, 0, 0, 0};
    if (own.retry_after_left >= min_retry_after) {
      note.kind = UpdateKind::retry_after, note.duration_ms = to_uint32(own.retry_after_left);
      enqueue(note);
    }
    note.kind = own.state == RouteState::down         ? UpdateKind::down
                : own.state == RouteState::recovering ? UpdateKind::recovering
                                                      : UpdateKind::healthy;
    note.duration_ms = to_uint32(own.state_age), note.rate_millis = to_uint32(1000 * own.rate_before_outage);
    // That all is well is news only where something else was said.
    auto before = recent_.find({own.per_endpoint, own.route, 0});
    bool news = note.kind != UpdateKind::healthy ||
                (before != recent_.end() && before->second.update.kind != UpdateKind::healthy);
    if (news) enqueue(note);
    if (own.rate_limit > 0) {
      note.kind = UpdateKind::rate_limit, note.duration_ms = to_uint32(own.limit_age),
      note.rate_millis = to_uint32(1000 * own.rate_limit);
      note.share_percent = static_cast<std::uint8_t>(std::clamp(100 * own.remaining_share, 0.0, 100.0));
      enqueue(note);
    }
  }

  void on_datagram(const RouteDatagram& datagram) override {
    for (const auto& note : datagram) {
      if (note.kind > UpdateKind::rate_limit) continue;  // of a later version
      RouteStatus known;
      known.per_endpoint = note.per_endpoint, known.route = note.route;
      if (note.kind == UpdateKind::retry_after) known.retry_after_left = note.duration_ms;
      else if (note.kind == UpdateKind::rate_limit)
        known.rate_limit = note.rate_millis / 1000.0, known.remaining_share = note.share_percent / 100.0,
        known.limit_age = note.duration_ms;
      else
        known.state = note.kind == UpdateKind::down         ? RouteState::down
                      : note.kind == UpdateKind::recovering ? RouteState::recovering
                                                            : RouteState::healthy,
        known.state_age = note.duration_ms, known.rate_before_outage = note.rate_millis / 1000.0;
      reports_.push_back(known);
      recent_[key_of(note)] = {note, now_};
    }
  }

  std::vector<RouteStatus> take_reports() override { return std::exchange(reports_, {}); }

  Actions decide() override {
    for (auto& [key, wanted] : queue_)
      if (now_ >= wanted.send_at && !is_news(wanted.update)) wanted.send_at = never;
    std::erase_if(queue_, [](const auto& one) { return one.second.send_at >= never; });
    RouteDatagram datagram;
    auto out = [&] {
      if (datagram.empty()) return;
      actions_.datagrams.push_back(std::exchange(datagram, {}));
      tokens_ -= 1;
    };
    tokens_ = std::min<double>(datagrams_per_second,
                               tokens_ + datagrams_per_second * (now_ - tokens_updated_at_) / 1000);
    tokens_updated_at_ = now_;
    bool due = std::ranges::any_of(queue_, [&](const auto& one) { return now_ >= one.second.send_at; });
    // With one that is due goes all that waits.
    for (auto at = queue_.begin(); due && at != queue_.end() && tokens_ >= 1;) {
      auto& [key, wanted] = *at;
      if (is_news(wanted.update)) {
        RouteUpdate note = with_current_age(wanted);
        datagram.push_back(note), recent_[key] = {note, now_};
      }
      at = queue_.erase(at);
      if (datagram.size() >= max_updates_per_datagram) out();
    }
    out();
    Millis next = never;
    for (const auto& [key, wanted] : queue_) next = std::min(next, std::max(wanted.send_at, now_));
    if (next < never && tokens_ < 1)
      next = std::max(next, now_ + 1000 * (1 - tokens_) / datagrams_per_second);
    actions_.wake_in = next >= never ? -1 : next - now_;
    return std::exchange(actions_, {});
  }

 private:
  // Of a route: waits, its state, its limit.
  using Key = std::tuple<bool, std::uint64_t, int>;
  static Key key_of(const RouteUpdate& note) {
    return {note.per_endpoint, note.route,
            note.kind == UpdateKind::retry_after  ? 1
            : note.kind == UpdateKind::rate_limit ? 2
                                                  : 0};
  }
  struct QueuedUpdate {
    RouteUpdate update;
    Millis queued_at = 0, send_at = 0;
  };
  struct SentUpdate {
    RouteUpdate update;
    Millis at = 0;
  };
  static std::uint32_t to_uint32(double value) {
    return static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, 4e9));
  }

  void enqueue(const RouteUpdate& note) {
    auto key = key_of(note);
    auto [at, fresh] = queue_.try_emplace(key, QueuedUpdate{note, now_, now_ + draw_delay()});
    if (!fresh) at->second.update = note, at->second.queued_at = now_;
  }
  Millis draw_delay() { return std::uniform_real_distribution<double>(0, max_send_delay)(random_); }

  RouteUpdate with_current_age(const QueuedUpdate& wanted) const {
    RouteUpdate note = wanted.update;
    auto gone = to_uint32(now_ - wanted.queued_at);
    note.duration_ms = note.kind == UpdateKind::retry_after
                           ? note.duration_ms - std::min(note.duration_ms, gone)
                           : note.duration_ms + gone;
    return note;
  }

  // Whether nobody, this relay included, has said as much lately.
  bool is_news(const RouteUpdate& note) const {
    auto found = recent_.find(key_of(note));
    if (found == recent_.end()) return true;
    const auto& [said, at] = found->second;
    Millis since = now_ - at;
    if (note.kind == UpdateKind::retry_after)
      return at + said.duration_ms + retry_after_tolerance < now_ + note.duration_ms;
    if (note.kind == UpdateKind::rate_limit) {
      bool other =
          std::abs(1.0 * note.rate_millis - said.rate_millis) > min_limit_change * said.rate_millis ||
          note.share_percent < 10;
      return since > min_limit_interval && (other || since > repeat_interval);
    }
    return note.kind != said.kind || since > repeat_interval;
  }

  std::minstd_rand random_;
  Millis now_ = 0, tokens_updated_at_ = 0;
  double tokens_ = datagrams_per_second;
  std::map<Key, QueuedUpdate> queue_;
  std::map<Key, SentUpdate> recent_;
  std::vector<RouteStatus> reports_;
  Actions actions_;
};

}  // namespace

std::unique_ptr<RouteGossip> RouteGossip::make(std::uint64_t seed) {
  return std::make_unique<DatagramGossip>(seed);
}

}  // namespace rockcrank::fleet
