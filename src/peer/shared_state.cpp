// The shared state component: passes records between the decision module, the registers and the other
// members, and stores them in a file for the next start. What is shared, which record wins and what follows
// from it is decided by those modules. A file that cannot be read or written does not affect anything else.

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

// Minimum intervals between writes: of urgent changes, and of all others.
constexpr Millis min_urgent_write_interval = 50, min_write_interval = 5000;
constexpr Millis min_logged_extension = 100;  // a wait is logged again only if it ends this much later

class SharedState : public FleetComponent {
 public:
  explicit SharedState(const ComponentContext& context)
      : relay_(context.relay),
        context_(context),
        registers_(fleet::Registers::make(context.config.self, context.incarnation,
                                          static_cast<int>(context.config.roster.size()), context.seed)),
        file_(context.folder + "/state", context.config.fleet_name, context.config.self),
        turn_timer_(context.relay.loop, [this] { turn(); }),
        write_timer_(context.relay.loop, [this] { write_file(); }) {
    // Warm-up waits for this: no connection should be opened to a destination that other relays know to be
    // down.
    context_.hooks->is_state_caught_up = [this] { return registers_->caught_up(); };
  }
  ~SharedState() override { context_.hooks->is_state_caught_up = nullptr; }

  void start() override {
    begin_turn();
    update_alive_members();
    read_file();
    turn();
  }

  // The file is the earlier process's last word, or lacks what this process wrote before that.
  void on_previous_process_ended() override {
    begin_turn();
    read_file();
    turn();
    write_file();
  }

  void on_message(MemberId from, std::string_view payload) override {
    auto message = unpacked<fleet::RegisterMessage>(payload);
    begin_turn();
    registers_->on_message(from, message);
    turn_timer_.set(relay_.loop.now());
  }

  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    begin_turn();
    registers_->on_link_change(peer, up);
    turn_timer_.set(relay_.loop.now());
  }

  void on_member_change(MemberId, fleet::Incarnation, fleet::MemberState) override {
    begin_turn();
    update_alive_members();
    turn_timer_.set(relay_.loop.now());
  }

  // Publishes what this relay learned in the turn that just ended, with ages corrected for the time since
  // then.
  void after_turn(const Actions&) override {
    auto statuses = relay_.decision.route_statuses(false);
    if (statuses.empty()) return;
    const Millis elapsed = begin_turn() - relay_.decision_time();
    for (auto& status : statuses) {
      if (status.retry_after_left > 0) urgent_ = true, status.retry_after_left -= elapsed;
      urgent_ |= status.state != RouteState::healthy;
      status.state_age += elapsed, status.limit_age += elapsed;
      registers_->publish(status);
    }
    // Runs at once rather than in a later iteration, so that a Retry-After wait spreads first.
    turn();
  }

  void set_offline(const std::string& endpoint, bool offline) override {
    begin_turn();
    pending_orders_.erase(endpoint);
    registers_->publish_offline(endpoint, offline);
    urgent_ = true;
    turn();
  }

  void leave() override { write_file(); }

  std::string summary() const override {
    char text[160];
    std::snprintf(
        text, sizeof text, "share: %zu entries, %llu records learned, %llu messages and %llu bytes sent%s",
        registers_->all_records().size(), static_cast<unsigned long long>(learned_count_),
        static_cast<unsigned long long>(messages_sent_), static_cast<unsigned long long>(bytes_sent_),
        registers_->caught_up() ? "" : ", not caught up");
    return text;
  }

 private:
  // Returns the time that the registers have been given.
  Millis begin_turn() {
    const Millis now = relay_.loop.now();
    registers_->begin_turn(now);
    return now;
  }
  void update_alive_members() { registers_->set_alive(context_.membership.alive()); }

  void read_file() {
    std::string error_text;
    auto restored = file_.read(read_clocks(), error_text);
    if (!error_text.empty()) log_line("share: %s", error_text.c_str());
    if (restored) restore(*restored);
  }
  void restore(const StateFile::LoadedState& restored) {
    try {
      registers_->restore(restored.records, restored.elapsed);
      log_line("share: restored %zu entries, written %.0f ms ago", restored.records.size(), restored.elapsed);
    } catch (const fleet::FleetError& error) { log_line("share: %s", error.what()); }
  }

  void turn() {
    const Millis now = begin_turn();
    auto actions = registers_->decide();
    for (const auto& send : actions.sends) {
      auto bytes = packed(send.message);
      if (context_.link.send(send.to, Channel::registers, bytes))
        ++messages_sent_, bytes_sent_ += bytes.size();
    }
    for (const auto& line : actions.log) log_line("share: %s", line.c_str());
    for (const auto& entry : actions.conflicts) {
      fleet::VersionConflict error(
          "two records of one version differ", entry,
          "check whether two processes run as one member; both records are kept and one is used");
      log_line("share: %s", error.what());
    }
    if (!actions.route_statuses.empty()) apply(actions.route_statuses, now);
    for (const auto& order : actions.offline_orders)
      pending_orders_.erase(order.endpoint), apply_offline_order(order.endpoint, order.offline);
    for (const auto& [endpoint, offline] : std::map(pending_orders_)) apply_offline_order(endpoint, offline);
    if (actions.wake_in >= 0) turn_timer_.set(now + actions.wake_in);
    else turn_timer_.clear();
    schedule_write(!actions.route_statuses.empty() || !actions.offline_orders.empty());
  }

  // Passes on statuses that are relative to `now`; the decision module measures from the time that it was
  // given last. Both must yield the same end of a wait to the rounding error: the registers recognise by its
  // end a wait that comes back from the module.
  void apply(std::vector<RouteStatus>& route_statuses, Millis now) {
    relay_.begin_turn();
    const Millis elapsed = now - relay_.decision_time();
    for (auto& status : route_statuses) {
      if (status.retry_after_left > 0) status.retry_after_left += elapsed;
      status.state_age = std::max(0.0, status.state_age - elapsed),
      status.limit_age = std::max(0.0, status.limit_age - elapsed);
      relay_.decision.apply_route_status(status);
      log_wait(status);
    }
    learned_count_ += route_statuses.size();
  }

  // Logs each wait once, so that an operator sees why documents are held for a destination that never
  // rejected this relay.
  void log_wait(const RouteStatus& status) {
    auto end = relay_.loop.now() + status.retry_after_left;
    auto& logged_until = logged_waits_[{status.per_endpoint, status.route}];
    if (status.retry_after_left <= 0 || end <= logged_until + min_logged_extension) return;
    log_line("share: Retry-After wait reported by another relay for %c%016llx: %.0f ms",
             status.per_endpoint ? 'e' : 'd', static_cast<unsigned long long>(status.route),
             status.retry_after_left);
    logged_until = end;
    std::erase_if(logged_waits_, [&](const auto& one) { return one.second <= relay_.loop.now(); });
  }

  // Also runs at startup. An order that cannot be stored is tried again in each turn.
  void apply_offline_order(const std::string& endpoint, bool offline) {
    if (relay_.store.offline_endpoints().count(endpoint) == (offline ? 1u : 0u))
      return void(pending_orders_.erase(endpoint));
    relay_.set_endpoint_offline(endpoint, offline);
    if (relay_.store.offline_endpoints().count(endpoint) != (offline ? 1u : 0u)) {
      if (pending_orders_.insert_or_assign(endpoint, offline).second)
        log_line("share: the order to %s endpoint %.60s cannot be stored yet",
                 offline ? "take offline" : "put online", endpoint.c_str());
      return;
    }
    pending_orders_.erase(endpoint);
    log_line("endpoint %.60s %s at another relay", endpoint.c_str(),
             offline ? "taken offline" : "put online");
  }

  void schedule_write(bool changed) {
    dirty_ |= changed || urgent_;
    if (!dirty_) return;
    auto now = relay_.loop.now();
    auto write_at = (write_failing_       ? last_write_ + min_write_interval
                     : urgent_ || changed ? last_write_ + min_urgent_write_interval
                                          : last_write_ + min_write_interval);
    if (write_at <= now) return write_file();
    if (!write_scheduled_ || write_at < next_write_)
      next_write_ = write_at, write_scheduled_ = true, write_timer_.set(write_at);
  }
  void write_file() {
    begin_turn();
    write_timer_.clear(), write_scheduled_ = false;
    last_write_ = relay_.loop.now();
    // The file also belongs to an earlier process that is still running.
    if (!relay_.store.is_sole_process()) read_file();
    std::string error_text;
    bool written = file_.write(registers_->records_to_persist(max_state_records), read_clocks(), error_text);
    if (!written && !std::exchange(write_failing_, true)) log_line("share: %s", error_text.c_str());
    if (written && std::exchange(write_failing_, false))
      log_line("share: the state file can be written again");
    if (written) dirty_ = urgent_ = false;
    else
      next_write_ = last_write_ + min_write_interval, write_scheduled_ = true, write_timer_.set(next_write_);
  }

  RelayContext& relay_;
  const ComponentContext& context_;
  const std::unique_ptr<fleet::Registers> registers_;
  StateFile file_;
  Timer turn_timer_, write_timer_;
  std::map<std::pair<bool, std::uint64_t>, Millis> logged_waits_;
  std::map<std::string, bool> pending_orders_;  // from other relays, not stored here yet
  std::uint64_t learned_count_ = 0, messages_sent_ = 0, bytes_sent_ = 0;
  Millis last_write_ = -1e18, next_write_ = 0;
  bool dirty_ = false, urgent_ = false, write_scheduled_ = false, write_failing_ = false;
};

}  // namespace

std::unique_ptr<FleetComponent> make_shared_state(const ComponentContext& context) {
  return context.config.shared_state_enabled ? std::make_unique<SharedState>(context) : nullptr;
}

}  // namespace rockcrank::peer
