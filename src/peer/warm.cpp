// The host of warming: it feeds the popularity list from outcomes, carries questions and lists between
// members, and opens the connections that the warmer names, each once the decision module has said that it
// may go up and only to endpoints that this relay's own list has. It must never decide itself, nor open
// before documents go.

#include "warm/warm.h"

#include <optional>
#include <tuple>
#include <utility>

#include "peer/codec.h"
#include "peer/fleet.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

using warm::Sort;
using warm::Warmer;

class WarmPart final : public Part {
 public:
  explicit WarmPart(const PartPlace& place)
      : around_(place.around),
        fleet_(place.fleet),
        membership_(place.membership),
        link_(place.link),
        offers_(place.offers),
        seed_(place.seed),
        due_(place.around.loop, [this] { settle(); }) {
    around_.endpoints.on_preconnect = [this](EndpointId endpoint, Endpoints::PreconnectEvent what) {
      using Fate = Warmer::Fate;
      constexpr Fate fates[] = {Fate::up, Fate::used, Fate::failed, Fate::unused};
      mind().fate(endpoint, fates[static_cast<int>(what)]);
    };
    offers_->delivered = [this](std::uint64_t key, Millis took) { mind().used(Sort::key, key, took); };
  }
  ~WarmPart() override { around_.endpoints.on_preconnect = nullptr, offers_->delivered = nullptr; }

  void start() override { mind(); }
  void heard(fleet::MemberId from, std::string_view payload) override {
    mind().heard(from, unpacked<warm::WarmMessage>(payload));
  }
  void linked(fleet::MemberId peer, fleet::Incarnation, bool up) override { mind().linked(peer, up); }
  void member(fleet::MemberId, fleet::Incarnation, fleet::MemberState) override {
    mind().alive(membership_.alive());
  }
  void given_up_on() override { mind().stalled(); }
  void outcome(const Outcome& outcome) override {
    if (outcome.result == TransmissionResult::not_connected || outcome.result == TransmissionResult::not_sent)
      return;
    // Documents of one call end together: it is one use of its connection.
    auto call = std::tuple(outcome.endpoint, around_.loop.now(), outcome.duration);
    if (std::exchange(last_call_, call) == call) return;
    mind().used(Sort::endpoint, static_cast<std::uint64_t>(outcome.endpoint), outcome.duration);
  }
  void after_turn(const Actions& decided) override {
    // A turn without documents changes nothing for a warmer that has ended.
    if (warmer_ && warmer_->over() && !open_) return;
    went_ = static_cast<int>(decided.transmissions.size());
    mind();
  }

  std::string figures() const override {
    if (!warmer_) return {};
    auto count = warmer_->count();
    return "warm: opened " + std::to_string(count.opened) + ", used " + std::to_string(count.used) +
           ", failed " + std::to_string(count.failed) + ", unused " + std::to_string(count.unused);
  }

 private:
  // Opens a turn, if none is open.
  Warmer& mind() {
    if (!warmer_) {
      warm::Budget budget;
      budget.neighbours = fleet_.warm_neighbours, budget.connections = fleet_.warm_connections;
      budget.list_most = fleet_.list_most, budget.bytes = fleet_.warm_bytes;
      budget.within = fleet_.warm_within, budget.idle_life = around_.config.idle_timeout;
      // What was handed over whole has its connections: there is nothing to warm.
      bool cold = around_.endpoints.connections() == 0;
      warmer_ = Warmer::make(fleet_.roster, fleet_.self, budget, cold, seed_);
    }
    if (!std::exchange(open_, true)) {
      warmer_->begin(around_.loop.now());
      if (!std::exchange(told_members_, true)) warmer_->alive(membership_.alive());
      due_.set(around_.loop.now());
    }
    return *warmer_;
  }

  void settle() {
    Warmer& warmer = mind();
    int free = around_.config.settings.slots - static_cast<int>(around_.endpoints.calls_in_flight());
    warmer.documents(std::exchange(went_, 0), free);
    if (!warmer.over()) warmer.state_known(!offers_->state_known || offers_->state_known());
    auto decided = warmer.decide();
    open_ = false, due_.clear();
    for (const auto& line : decided.log) log_line("%s", line.c_str());
    for (const auto& send : decided.sends) link_.send(send.to, Channel::warm, packed(send.message));
    if (!decided.state_first.empty() && offers_->state_first) offers_->state_first(decided.state_first);
    for (const auto& ahead : decided.open) open(ahead);
    for (auto id : decided.load) mind().loaded(offers_->load ? offers_->load(id) : 0);
    if (!open_ && decided.wake_in >= 0) due_.set(around_.loop.now() + decided.wake_in);
  }

  void open(const Warmer::Ahead& ahead) {
    int up = around_.endpoints.connections(ahead.endpoint);
    // Guards against a lender that names what this relay's list has not, or has no longer.
    if (!around_.known.count(ahead.endpoint) || up >= ahead.up_to) return mind().enough(ahead.endpoint);
    around_.begin();  // the module answers as of now
    bool may = around_.decision.may_preconnect(ahead.endpoint, up);
    if (!may || !around_.endpoints.preconnect(ahead.endpoint)) mind().may_not(ahead.endpoint);
  }

  Around& around_;
  const FleetConfig& fleet_;
  fleet::Membership& membership_;
  Link& link_;
  const std::shared_ptr<Offers> offers_;
  const std::uint64_t seed_;
  Timer due_;
  std::unique_ptr<Warmer> warmer_;
  std::tuple<EndpointId, Millis, Millis> last_call_{};
  int went_ = 0;
  bool open_ = false, told_members_ = false;
};

}  // namespace

std::unique_ptr<Part> make_warm(const PartPlace& place) {
  if (!place.fleet.warm) return nullptr;
  return std::make_unique<WarmPart>(place);
}

}  // namespace rockcrank::peer
