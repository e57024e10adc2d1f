// The warm-up component: feeds the popularity list from outcomes, exchanges requests and lists with other
// members, and opens the connections that the warm-up module asks for. A connection is opened only if the
// decision module permits it and the endpoint is in this relay's own list. Documents take precedence.

#include <optional>
#include <tuple>
#include <utility>

#include "peer/codec.h"
#include "peer/fleet.h"
#include "relay/log.h"
#include "warm/warm.h"

namespace rockcrank::peer {
namespace {

using warm::ItemKind;
using warm::Warmer;

class WarmupComponent final : public FleetComponent {
 public:
  explicit WarmupComponent(const ComponentContext& context)
      : relay_(context.relay),
        config_(context.config),
        membership_(context.membership),
        link_(context.link),
        hooks_(context.hooks),
        seed_(context.seed),
        turn_timer_(context.relay.loop, [this] { run_turn(); }) {
    relay_.endpoints.on_preconnect = [this](EndpointId endpoint, Endpoints::PreconnectEvent event) {
      using Event = Warmer::ConnectionEvent;
      constexpr Event events[] = {Event::connected, Event::used, Event::failed, Event::unused};
      open_turn().on_connection_event(endpoint, events[static_cast<int>(event)]);
    };
    hooks_->on_key_delivered = [this](std::uint64_t key, Millis duration) {
      open_turn().record_use(ItemKind::key, key, duration);
    };
  }
  ~WarmupComponent() override {
    relay_.endpoints.on_preconnect = nullptr, hooks_->on_key_delivered = nullptr;
  }

  void start() override { open_turn(); }
  void on_message(fleet::MemberId from, std::string_view payload) override {
    open_turn().on_message(from, unpacked<warm::WarmupMessage>(payload));
  }
  void on_link_change(fleet::MemberId peer, fleet::Incarnation, bool up) override {
    open_turn().on_link_change(peer, up);
  }
  void on_member_change(fleet::MemberId, fleet::Incarnation, fleet::MemberState) override {
    open_turn().set_alive(membership_.alive());
  }
  void on_declared_dead() override { open_turn().on_stall(); }
  void on_outcome(const Outcome& outcome) override {
    if (outcome.result == TransmissionResult::not_connected || outcome.result == TransmissionResult::not_sent)
      return;
    // Documents of one call end together and count as one use of its connection.
    auto call = std::tuple(outcome.endpoint, relay_.loop.now(), outcome.duration);
    if (std::exchange(last_call_, call) == call) return;
    open_turn().record_use(ItemKind::endpoint, static_cast<std::uint64_t>(outcome.endpoint),
                           outcome.duration);
  }
  void after_turn(const Actions& actions) override {
    // A turn without documents does not affect a finished warm-up.
    if (warmer_ && warmer_->is_finished() && !turn_open_) return;
    transmissions_ = static_cast<int>(actions.transmissions.size());
    open_turn();
  }

  std::string summary() const override {
    if (!warmer_) return {};
    auto count = warmer_->stats();
    return "warm: opened " + std::to_string(count.opened) + ", used " + std::to_string(count.used) +
           ", failed " + std::to_string(count.failed) + ", unused " + std::to_string(count.unused);
  }

 private:
  // Opens a turn if none is open.
  Warmer& open_turn() {
    if (!warmer_) {
      warm::WarmupBudget budget;
      budget.max_neighbours = config_.warmup_max_neighbours,
      budget.max_connections = config_.warmup_max_connections;
      budget.max_list_items = config_.warmup_max_list_items, budget.max_bytes = config_.warmup_max_bytes;
      budget.time_limit = config_.warmup_time_limit, budget.idle_timeout = relay_.config.idle_timeout;
      // After a handover the connections exist already and there is nothing to warm up.
      bool cold = relay_.endpoints.connections() == 0;
      warmer_ = Warmer::make(config_.roster, config_.self, budget, cold, seed_);
    }
    if (!std::exchange(turn_open_, true)) {
      warmer_->begin_turn(relay_.loop.now());
      if (!std::exchange(members_set_, true)) warmer_->set_alive(membership_.alive());
      turn_timer_.set(relay_.loop.now());
    }
    return *warmer_;
  }

  void run_turn() {
    Warmer& warmer = open_turn();
    int free_slots = relay_.config.settings.slots - static_cast<int>(relay_.endpoints.calls_in_flight());
    warmer.set_load(std::exchange(transmissions_, 0), free_slots);
    if (!warmer.is_finished())
      warmer.set_state_known(!hooks_->is_state_caught_up || hooks_->is_state_caught_up());
    auto actions = warmer.decide();
    turn_open_ = false, turn_timer_.clear();
    for (const auto& line : actions.log) log_line("%s", line.c_str());
    for (const auto& send : actions.sends) link_.send(send.to, Channel::warm, packed(send.message));
    if (!actions.sync_first.empty() && hooks_->set_catch_up_order)
      hooks_->set_catch_up_order(actions.sync_first);
    for (const auto& preconnect : actions.preconnects) open(preconnect);
    for (auto id : actions.bodies_to_load)
      open_turn().on_body_loaded(hooks_->preload_key ? hooks_->preload_key(id) : 0);
    if (!turn_open_ && actions.wake_in >= 0) turn_timer_.set(relay_.loop.now() + actions.wake_in);
  }

  void open(const Warmer::Preconnect& preconnect) {
    int open_connections = relay_.endpoints.connections(preconnect.endpoint);
    // A neighbour may name an endpoint that is not, or no longer, in this relay's list.
    if (!relay_.listed_endpoints.count(preconnect.endpoint) || open_connections >= preconnect.max_connections)
      return open_turn().on_preconnect_unneeded(preconnect.endpoint);
    relay_.begin_turn();  // so that the decision module uses the current time
    bool permitted = relay_.decision.may_preconnect(preconnect.endpoint, open_connections);
    if (!permitted || !relay_.endpoints.preconnect(preconnect.endpoint))
      open_turn().on_preconnect_refused(preconnect.endpoint);
  }

  RelayContext& relay_;
  const FleetConfig& config_;
  fleet::Membership& membership_;
  Link& link_;
  const std::shared_ptr<ComponentHooks> hooks_;
  const std::uint64_t seed_;
  Timer turn_timer_;
  std::unique_ptr<Warmer> warmer_;
  std::tuple<EndpointId, Millis, Millis> last_call_{};
  int transmissions_ = 0;
  bool turn_open_ = false, members_set_ = false;
};

}  // namespace

std::unique_ptr<FleetComponent> make_warmup(const ComponentContext& context) {
  if (!context.config.warmup_enabled) return nullptr;
  return std::make_unique<WarmupComponent>(context);
}

}  // namespace rockcrank::peer
