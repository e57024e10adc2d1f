// The host of warming: it feeds the popularity list from outcomes, carries questions and lists between
// members, and opens the connections that the warmer names, each once the decision module has said that it
// may go up and only to endpoints that this relay's own list has. It must never decide itself, nor open
// before documents go.

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

class WarmPart final : public FleetComponent {
 public:
  explicit WarmPart(const ComponentContext& place)
      : around_(place.relay),
        fleet_(place.config),
        membership_(place.membership),
        link_(place.link),
        offers_(place.hooks),
        seed_(place.seed),
        due_(place.relay.loop, [this] { settle(); }) {
    around_.endpoints.on_preconnect = [this](EndpointId endpoint, Endpoints::PreconnectEvent what) {
      using Fate = Warmer::ConnectionEvent;
      constexpr Fate fates[] = {Fate::connected, Fate::used, Fate::failed, Fate::unused};
      mind().on_connection_event(endpoint, fates[static_cast<int>(what)]);
    };
    offers_->on_key_delivered = [this](std::uint64_t key, Millis took) {
      mind().record_use(ItemKind::key, key, took);
    };
  }
  ~WarmPart() override { around_.endpoints.on_preconnect = nullptr, offers_->on_key_delivered = nullptr; }

  void start() override { mind(); }
  void on_message(fleet::MemberId from, std::string_view payload) override {
    mind().on_message(from, unpacked<warm::WarmupMessage>(payload));
  }
  void on_link_change(fleet::MemberId peer, fleet::Incarnation, bool up) override {
    mind().on_link_change(peer, up);
  }
  void on_member_change(fleet::MemberId, fleet::Incarnation, fleet::MemberState) override {
    mind().set_alive(membership_.alive());
  }
  void on_declared_dead() override { mind().on_stall(); }
  void on_outcome(const Outcome& outcome) override {
    if (outcome.result == TransmissionResult::not_connected || outcome.result == TransmissionResult::not_sent)
      return;
    // Documents of one call end together: it is one use of its connection.
    auto call = std::tuple(outcome.endpoint, around_.loop.now(), outcome.duration);
    if (std::exchange(last_call_, call) == call) return;
    mind().record_use(ItemKind::endpoint, static_cast<std::uint64_t>(outcome.endpoint), outcome.duration);
  }
  void after_turn(const Actions& decided) override {
    // A turn without documents changes nothing for a warmer that has ended.
    if (warmer_ && warmer_->is_finished() && !open_) return;
    went_ = static_cast<int>(decided.transmissions.size());
    mind();
  }

  std::string summary() const override {
    if (!warmer_) return {};
    auto count = warmer_->stats();
    return "warm: opened " + std::to_string(count.opened) + ", used " + std::to_string(count.used) +
           ", failed " + std::to_string(count.failed) + ", unused " + std::to_string(count.unused);
  }

 private:
  // Opens a turn, if none is open.
  Warmer& mind() {
    if (!warmer_) {
      warm::WarmupBudget budget;
      budget.max_neighbours = fleet_.warmup_max_neighbours,
      budget.max_connections = fleet_.warmup_max_connections;
      budget.max_list_items = fleet_.warmup_max_list_items, budget.max_bytes = fleet_.warmup_max_bytes;
      budget.time_limit = fleet_.warmup_time_limit, budget.idle_timeout = around_.config.idle_timeout;
      // What was handed over whole has its connections: there is nothing to warm.
      bool cold = around_.endpoints.connections() == 0;
      warmer_ = Warmer::make(fleet_.roster, fleet_.self, budget, cold, seed_);
    }
    if (!std::exchange(open_, true)) {
      warmer_->begin_turn(around_.loop.now());
      if (!std::exchange(told_members_, true)) warmer_->set_alive(membership_.alive());
      due_.set(around_.loop.now());
    }
    return *warmer_;
  }

  void settle() {
    Warmer& warmer = mind();
    int free = around_.config.settings.slots - static_cast<int>(around_.endpoints.calls_in_flight());
    warmer.set_load(std::exchange(went_, 0), free);
    if (!warmer.is_finished())
      warmer.set_state_known(!offers_->is_state_caught_up || offers_->is_state_caught_up());
    auto decided = warmer.decide();
    open_ = false, due_.clear();
    for (const auto& line : decided.log) log_line("%s", line.c_str());
    for (const auto& send : decided.sends) link_.send(send.to, Channel::warm, packed(send.message));
    if (!decided.sync_first.empty() && offers_->set_catch_up_order)
      offers_->set_catch_up_order(decided.sync_first);
    for (const auto& ahead : decided.preconnects) open(ahead);
    for (auto id : decided.bodies_to_load)
      mind().on_body_loaded(offers_->preload_key ? offers_->preload_key(id) : 0);
    if (!open_ && decided.wake_in >= 0) due_.set(around_.loop.now() + decided.wake_in);
  }

  void open(const Warmer::Preconnect& ahead) {
    int up = around_.endpoints.connections(ahead.endpoint);
    // Guards against a lender that names what this relay's list has not, or has no longer.
    if (!around_.listed_endpoints.count(ahead.endpoint) || up >= ahead.max_connections)
      return mind().on_preconnect_unneeded(ahead.endpoint);
    around_.begin_turn();  // the module answers as of now
    bool may = around_.decision.may_preconnect(ahead.endpoint, up);
    if (!may || !around_.endpoints.preconnect(ahead.endpoint)) mind().on_preconnect_refused(ahead.endpoint);
  }

  RelayContext& around_;
  const FleetConfig& fleet_;
  fleet::Membership& membership_;
  Link& link_;
  const std::shared_ptr<ComponentHooks> offers_;
  const std::uint64_t seed_;
  Timer due_;
  std::unique_ptr<Warmer> warmer_;
  std::tuple<EndpointId, Millis, Millis> last_call_{};
  int went_ = 0;
  bool open_ = false, told_members_ = false;
};

}  // namespace

std::unique_ptr<FleetComponent> make_warmup(const ComponentContext& place) {
  if (!place.config.warmup_enabled) return nullptr;
  return std::make_unique<WarmPart>(place);
}

}  // namespace rockcrank::peer
