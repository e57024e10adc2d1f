// The host of the shared state: carries words between the decision module, the registers and the other
// members, and keeps them in a file for the next start. It must never decide what is shared, whose word
// counts, or what follows from one; and a file that cannot be written or read holds up nothing else.

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "fleet/errors.h"
#include "fleet/registers.h"
#include "peer/codec.h"
#include "peer/fleet.h"
#include "peer/state_file.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

using fleet::MemberId;

// What binds is kept at once, but no more often than at this distance; the rest with it, or after a while.
constexpr Millis keep_binding = 50, keep_rest = 5000;
constexpr Millis worth_saying = 100;  // by so much longer must a wait be for a line in the log

class Share : public FleetComponent {
 public:
  explicit Share(const ComponentContext& place)
      : around_(place.relay),
        place_(place),
        registers_(fleet::Registers::make(place.config.self, place.incarnation,
                                          static_cast<int>(place.config.roster.size()), place.seed)),
        file_(place.folder + "/state", place.config.fleet_name, place.config.self),
        due_(place.relay.loop, [this] { turn(); }),
        keep_due_(place.relay.loop, [this] { keep(); }) {
    // Warming waits for it: a connection ahead must not go where others know better.
    place_.hooks->is_state_caught_up = [this] { return registers_->caught_up(); };
  }
  ~Share() override { place_.hooks->is_state_caught_up = nullptr; }

  void start() override {
    begin();
    tell_living();
    std::string why;
    auto kept = file_.read(read_clocks(), why);
    if (!why.empty()) log_line("share: %s", why.c_str());
    if (kept) restore(*kept);
    turn();
  }

  void on_message(MemberId from, std::string_view payload) override {
    auto message = unpacked<fleet::RegisterMessage>(payload);
    begin();
    registers_->on_message(from, message);
    due_.set(around_.loop.now());
  }

  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    begin();
    registers_->on_link_change(peer, up);
    due_.set(around_.loop.now());
  }

  void on_member_change(MemberId, fleet::Incarnation, fleet::MemberState) override {
    begin();
    tell_living();
    due_.set(around_.loop.now());
  }

  // What this relay has found out in the turn that was just gone through, which began a little ago.
  void after_turn(const Actions&) override {
    auto news = around_.decision.route_statuses(false);
    if (news.empty()) return;
    begin();
    Millis ago = around_.loop.now() - around_.turn_start();
    for (auto& known : news) {
      if (known.retry_after_left > 0) binds_ = true, known.retry_after_left -= ago;
      binds_ |= known.state != RouteState::healthy;
      known.state_age += ago, known.limit_age += ago;
      registers_->publish(known);
    }
    // At once, not in a later round: a told wait spreads before anything else is done.
    turn();
  }

  void set_offline(const std::string& endpoint, bool out) override {
    begin();
    orders_.erase(endpoint);
    registers_->publish_offline(endpoint, out);
    binds_ = true;
    turn();
  }

  void leave() override { keep(); }

  std::string summary() const override {
    char text[160];
    std::snprintf(text, sizeof text,
                  "share: %zu entries, %llu words learned, %llu messages and %llu bytes sent%s",
                  registers_->all_records().size(), static_cast<unsigned long long>(learned_),
                  static_cast<unsigned long long>(messages_), static_cast<unsigned long long>(bytes_),
                  registers_->caught_up() ? "" : ", not caught up");
    return text;
  }

 private:
  void begin() { registers_->begin_turn(around_.loop.now()); }
  void tell_living() { registers_->set_alive(place_.membership.alive()); }

  void restore(const StateFile::LoadedState& kept) {
    try {
      registers_->restore(kept.records, kept.elapsed);
      log_line("share: %zu entries known from before, %.0f ms ago", kept.records.size(), kept.elapsed);
    } catch (const fleet::FleetError& error) { log_line("share: %s", error.what()); }
  }

  void turn() {
    begin();
    auto decided = registers_->decide();
    for (const auto& send : decided.sends) {
      auto bytes = packed(send.message);
      if (place_.link.send(send.to, Channel::registers, bytes)) ++messages_, bytes_ += bytes.size();
    }
    for (const auto& line : decided.log) log_line("share: %s", line.c_str());
    for (const auto& entry : decided.conflicts) {
      fleet::VersionConflict error(
          "two words of one version differ", entry,
          "see whether two processes run as one member; both words are kept, one counts");
      log_line("share: %s", error.what());
    }
    if (!decided.route_statuses.empty()) learn(decided.route_statuses);
    for (const auto& order : decided.offline_orders)
      orders_.erase(order.endpoint), take_out(order.endpoint, order.offline);
    for (const auto& [endpoint, out] : std::map(orders_)) take_out(endpoint, out);
    if (decided.wake_in >= 0) due_.set(around_.loop.now() + decided.wake_in);
    else due_.clear();
    keep_soon(!decided.route_statuses.empty() || !decided.offline_orders.empty());
  }

  // The decision module counts from the moment at which its turn began.
  void learn(std::vector<RouteStatus>& learned) {
    around_.begin_turn();
    Millis ago = around_.loop.now() - around_.turn_start();
    for (auto& known : learned) {
      if (known.retry_after_left > 0) known.retry_after_left += ago;
      known.state_age = std::max(0.0, known.state_age - ago),
      known.limit_age = std::max(0.0, known.limit_age - ago);
      around_.decision.apply_route_status(known);
      log_wait(known);
    }
    learned_ += learned.size();
  }

  // Staff of this relay see why it holds documents of a destination that never turned it away: once for a
  // wait.
  void log_wait(const RouteStatus& known) {
    auto end = around_.loop.now() + known.retry_after_left;
    auto& said = waits_said_[{known.per_endpoint, known.route}];
    if (known.retry_after_left <= 0 || end <= said + worth_saying) return;
    log_line("share: told wait of another relay to %c%016llx: %.0f ms", known.per_endpoint ? 'e' : 'd',
             static_cast<unsigned long long>(known.route), known.retry_after_left);
    said = end;
    std::erase_if(waits_said_, [&](const auto& one) { return one.second <= around_.loop.now(); });
  }

  // At a start too: an order that came while the store could not be written is carried out then; else it is
  // tried again in each turn.
  void take_out(const std::string& endpoint, bool out) {
    if (around_.store.offline_endpoints().count(endpoint) == (out ? 1u : 0u))
      return void(orders_.erase(endpoint));
    around_.set_endpoint_offline(endpoint, out);
    if (around_.store.offline_endpoints().count(endpoint) != (out ? 1u : 0u)) {
      if (orders_.insert_or_assign(endpoint, out).second)
        log_line("share: the order to %s %.60s cannot be noted yet", out ? "take out" : "put back",
                 endpoint.c_str());
      return;
    }
    orders_.erase(endpoint);
    log_line("endpoint %.60s is %s by staff at another relay", endpoint.c_str(),
             out ? "taken out" : "put back");
  }

  void keep_soon(bool changed) {
    changed_ |= changed || binds_;
    if (!changed_) return;
    auto now = around_.loop.now();
    auto when = (failing_            ? kept_at_ + keep_rest
                 : binds_ || changed ? kept_at_ + keep_binding
                                     : kept_at_ + keep_rest);
    if (when <= now) return keep();
    if (!keep_set_ || when < keep_at_) keep_at_ = when, keep_set_ = true, keep_due_.set(when);
  }
  void keep() {
    begin();
    keep_due_.clear(), keep_set_ = false;
    kept_at_ = around_.loop.now();
    std::string why;
    bool kept = file_.write(registers_->records_to_persist(max_state_records), read_clocks(), why);
    if (!kept && !std::exchange(failing_, true)) log_line("share: %s", why.c_str());
    if (kept && std::exchange(failing_, false)) log_line("share: what the relay knows is kept again");
    if (kept) changed_ = binds_ = false;
    else keep_at_ = kept_at_ + keep_rest, keep_set_ = true, keep_due_.set(keep_at_);
  }

  RelayContext& around_;
  const ComponentContext& place_;
  const std::unique_ptr<fleet::Registers> registers_;
  StateFile file_;
  Timer due_, keep_due_;
  std::map<std::pair<bool, std::uint64_t>, Millis> waits_said_;
  std::map<std::string, bool> orders_;  // of staff elsewhere, not yet noted here
  std::uint64_t learned_ = 0, messages_ = 0, bytes_ = 0;
  Millis kept_at_ = -1e18, keep_at_ = 0;
  bool changed_ = false, binds_ = false, keep_set_ = false, failing_ = false;
};

}  // namespace

std::unique_ptr<FleetComponent> make_shared_state(const ComponentContext& place) {
  return place.config.shared_state_enabled ? std::make_unique<Share>(place) : nullptr;
}

}  // namespace rockcrank::peer
