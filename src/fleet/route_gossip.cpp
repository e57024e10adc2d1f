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
constexpr Millis spread = 40;          // within which the first of many speaks
constexpr Millis same_for = 2000;      // what was said so lately is not said again
constexpr Millis wait_least = 250;     // a wait that is over sooner is not worth a note
constexpr Millis wait_apart = 60;      // two ends so close are one
constexpr Millis limit_apart = 1000;   // between two words on one limit
constexpr double limit_change = 0.15;  // a smaller change is not worth one
constexpr int a_second = 4;            // datagrams of one relay

class Speaker final : public RouteGossip {
 public:
  explicit Speaker(std::uint64_t seed)
      : chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  void begin_turn(Millis now) override {
    now_ = now;
    std::erase_if(last_, [&](const auto& one) { return now_ > one.second.at + 10 * same_for; });
  }

  void publish(const RouteStatus& own) override {
    RouteUpdate note{{}, own.per_endpoint, own.route, 0, 0, 0};
    if (own.retry_after_left >= wait_least) {
      note.kind = UpdateKind::retry_after, note.duration_ms = whole(own.retry_after_left);
      want(note);
    }
    note.kind = own.state == RouteState::down         ? UpdateKind::down
                : own.state == RouteState::recovering ? UpdateKind::recovering
                                                      : UpdateKind::healthy;
    note.duration_ms = whole(own.state_age), note.rate_millis = whole(1000 * own.rate_before_outage);
    // That all is well is news only where something else was said.
    auto before = last_.find({own.per_endpoint, own.route, 0});
    bool news = note.kind != UpdateKind::healthy ||
                (before != last_.end() && before->second.note.kind != UpdateKind::healthy);
    if (news) want(note);
    if (own.rate_limit > 0) {
      note.kind = UpdateKind::rate_limit, note.duration_ms = whole(own.limit_age),
      note.rate_millis = whole(1000 * own.rate_limit);
      note.share_percent = static_cast<std::uint8_t>(std::clamp(100 * own.remaining_share, 0.0, 100.0));
      want(note);
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
      learned_.push_back(known);
      last_[key_of(note)] = {note, now_};
    }
  }

  std::vector<RouteStatus> take_reports() override { return std::exchange(learned_, {}); }

  Actions decide() override {
    for (auto& [key, wanted] : wanted_)
      if (now_ >= wanted.due && !is_news(wanted.note)) wanted.due = never;
    std::erase_if(wanted_, [](const auto& one) { return one.second.due >= never; });
    RouteDatagram datagram;
    auto out = [&] {
      if (datagram.empty()) return;
      done_.datagrams.push_back(std::exchange(datagram, {}));
      allowed_ -= 1;
    };
    allowed_ = std::min<double>(a_second, allowed_ + a_second * (now_ - counted_at_) / 1000);
    counted_at_ = now_;
    bool due = std::ranges::any_of(wanted_, [&](const auto& one) { return now_ >= one.second.due; });
    // With one that is due goes all that waits.
    for (auto at = wanted_.begin(); due && at != wanted_.end() && allowed_ >= 1;) {
      auto& [key, wanted] = *at;
      if (is_news(wanted.note)) {
        RouteUpdate note = aged(wanted);
        datagram.push_back(note), last_[key] = {note, now_};
      }
      at = wanted_.erase(at);
      if (datagram.size() >= max_updates_per_datagram) out();
    }
    out();
    Millis next = never;
    for (const auto& [key, wanted] : wanted_) next = std::min(next, std::max(wanted.due, now_));
    if (next < never && allowed_ < 1) next = std::max(next, now_ + 1000 * (1 - allowed_) / a_second);
    done_.wake_in = next >= never ? -1 : next - now_;
    return std::exchange(done_, {});
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
  struct Wanted {
    RouteUpdate note;
    Millis since = 0, due = 0;
  };
  struct Last {
    RouteUpdate note;
    Millis at = 0;
  };
  static std::uint32_t whole(double value) {
    return static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, 4e9));
  }

  void want(const RouteUpdate& note) {
    auto key = key_of(note);
    auto [at, fresh] = wanted_.try_emplace(key, Wanted{note, now_, now_ + drawn()});
    if (!fresh) at->second.note = note, at->second.since = now_;
  }
  Millis drawn() { return std::uniform_real_distribution<double>(0, spread)(chance_); }

  RouteUpdate aged(const Wanted& wanted) const {
    RouteUpdate note = wanted.note;
    auto gone = whole(now_ - wanted.since);
    note.duration_ms = note.kind == UpdateKind::retry_after
                           ? note.duration_ms - std::min(note.duration_ms, gone)
                           : note.duration_ms + gone;
    return note;
  }

  // Whether nobody, this relay included, has said as much lately.
  bool is_news(const RouteUpdate& note) const {
    auto found = last_.find(key_of(note));
    if (found == last_.end()) return true;
    const auto& [said, at] = found->second;
    Millis since = now_ - at;
    if (note.kind == UpdateKind::retry_after)
      return at + said.duration_ms + wait_apart < now_ + note.duration_ms;
    if (note.kind == UpdateKind::rate_limit) {
      bool other = std::abs(1.0 * note.rate_millis - said.rate_millis) > limit_change * said.rate_millis ||
                   note.share_percent < 10;
      return since > limit_apart && (other || since > same_for);
    }
    return note.kind != said.kind || since > same_for;
  }

  std::minstd_rand chance_;
  Millis now_ = 0, counted_at_ = 0;
  double allowed_ = a_second;
  std::map<Key, Wanted> wanted_;
  std::map<Key, Last> last_;
  std::vector<RouteStatus> learned_;
  Actions done_;
};

}  // namespace

std::unique_ptr<RouteGossip> RouteGossip::make(std::uint64_t seed) { return std::make_unique<Speaker>(seed); }

}  // namespace rockcrank::fleet
