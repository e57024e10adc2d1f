// The host of the log per key: documents of streams go into it before their +OK, messages go over the link,
// and what is due to a subscriber becomes a document of the decision module. It must never decide which
// record counts or goes next (latest/latest.h does), nor tell the platform of a delivery that it never handed
// in.

#include <algorithm>
#include <cinttypes>
#include <set>

#include "peer/codec.h"
#include "peer/fleet.h"
#include "peer/persistent_log.h"
#include "relay/log.h"
#include "settings/settings.h"

namespace rockcrank::peer {
namespace {

using namespace latest;
using fleet::MemberId;

constexpr Millis look_every = 1000;  // at what the decision module knows of subscribers

LatestSettings settings_of(const FleetConfig& config) {
  LatestSettings settings;
  settings.segment_bytes = config.segment_bytes, settings.max_disk_bytes = config.max_log_disk_bytes;
  settings.max_clock_offset = config.max_clock_offset;
  for (const auto& stream : config.streams)
    settings.streams.push_back({StreamId(fnv1a_hash(stream.type)),
                                stream.type,
                                {stream.subscribers.begin(), stream.subscribers.end()},
                                stream.tombstone_retention,
                                stream.min_compaction_lag,
                                stream.min_dirty_ratio});
  return settings;
}

class LatestPart final : public FleetComponent {
 public:
  explicit LatestPart(const ComponentContext& place)
      : around_(place.relay),
        fleet_(place.config),
        membership_(place.membership),
        link_(place.link),
        offers_(place.hooks),
        settings_(settings_of(place.config)),
        log_(make_disk_file_system(place.folder + "/latest"), place.folder + "/latest", place.config.roster,
             place.config.self, settings_,
             std::max(place.config.warmup_max_bytes, place.config.segment_bytes), place.seed,
             place.relay.loop.now(), EventLoop::wall_time()),
        due_(place.relay.loop, [this] { turn(); }) {
    offers_->preload_key = [this](std::uint64_t id) { return load(id); };
  }
  ~LatestPart() override { offers_->preload_key = nullptr; }

  void start() override {
    // Documents taken on before the restart that go to a subscriber themselves.
    for (auto& [doc, held] : around_.store.documents())
      if (auto stream = stream_of(held); stream && !held.ended && subscribes(*stream, held.destination)) {
        held.type.in_order = true;
        auto key = key_hash(held.order_key);
        auto newest = log_.read(stream->id, key);
        if (newest && newest->id == held.id)
          own_[doc] = {{stream->id, held.destination}, key, newest->timestamp};
      }
    soon();
  }

  void on_message(MemberId from, std::string_view payload) override {
    auto message = unpacked<LatestMessage>(payload);
    begin();
    log_.on_message(from, message);
    soon();
  }
  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    begin();
    log_.module().on_link_change(peer, up);
    soon();
  }
  void on_member_change(MemberId, fleet::Incarnation, fleet::MemberState) override {
    begin();
    log_.module().set_alive(membership_.alive());
    soon();
  }

  // Into the log before +OK. Asked again for one that another relay is to keep first.
  bool may_acknowledge(DocId doc) override {
    auto found = around_.store.documents().find(doc);
    auto stream = found == around_.store.documents().end() ? nullptr : stream_of(found->second);
    if (!stream) return true;
    if (auto taken = taken_.find(doc); taken != taken_.end()) {
      if (!taken->second.copied) return false;
      taken_.erase(taken);
      return true;
    }
    if (refused_.count(doc)) return false;
    StoredDocument& held = found->second;
    Record record;
    record.stream = stream->id, record.key = held.order_key, record.id = held.id,
    record.idempotency_key = held.idempotency_key;
    record.tenant = held.tenant, record.body = held.body, record.direct_destination = held.destination;
    record.direct_until = static_cast<std::uint64_t>(std::max(0.0, held.expiry));
    begin();
    soon();
    try {
      auto stamp = log_.append_local(record);
      auto key = key_hash(record.key);
      if (subscribes(*stream, held.destination)) {
        own_[doc] = {{stream->id, held.destination}, key, stamp};
        held.type.in_order = true;  // a subscriber's own documents of one key go in their order
      }
      // Guards against a machine lost with the only copy of a record whose document was answered.
      if (!fleet_.wait_for_replica || fleet_.roster.size() < 2) return true;
      taken_[doc] = {stream->id, stamp, around_.loop.now() + fleet_.replication_timeout, false};
    } catch (const fleet::FleetError& error) {
      // A full disk, or a clock gone back: the client is told to come again.
      report(error.what());
      refused_.insert(doc);
    }
    return false;
  }

  // The moment of sending: a delivery needs the duty still, and what goes to a subscriber by itself must not
  // be older than what that has had.
  bool may_send(DocId doc, int) override {
    if (auto found = out_.find(doc); found != out_.end())
      return log_.module().has_delivery_lease(found->second.subscription, EventLoop::monotonic_time());
    auto held = around_.store.documents().find(doc);
    auto stream = held == around_.store.documents().end() ? nullptr : stream_of(held->second);
    if (!stream || !subscribes(*stream, held->second.destination)) return true;
    auto position = log_.module().delivery_state({stream->id, held->second.destination},
                                                 key_hash(held->second.order_key));
    auto own = own_.find(doc);
    bool late = false;
    if (position && own != own_.end()) late = position->timestamp > own->second.timestamp;
    // Of one recovered or taken over whose version is known no more: no earlier than it can have been taken
    // on.
    else if (position)
      late = static_cast<double>(position->timestamp.wall_time) >=
             held->second.expiry - held->second.type.lifetime;
    if (late) late_for_own_.insert(doc), soon();
    return !late;
  }

  // Before the relay ends them: a delivery's end is told to nobody but the module.
  void after_turn(const rockcrank::Actions& decided) override {
    for (const auto& reject : decided.rejected) failed(reject.doc);
    for (DocId doc : decided.abandoned) failed(doc);
  }
  void on_outcome(const Outcome& outcome) override {
    if (!outcome.completed) return;
    auto tell = [&](auto& from) {
      auto found = from.find(outcome.doc);
      if (found == from.end()) return false;
      auto delivery = found->second;
      from.erase(found);
      begin();
      log_.module().on_delivery_ended(delivery, true);
      soon();
      return true;
    };
    if (auto found = out_.find(outcome.doc); found != out_.end() && offers_->on_key_delivered)
      offers_->on_key_delivered(id_of(found->second.subscription.stream, found->second.key),
                                outcome.duration);
    if (tell(out_)) ++delivered_;
    else if (!tell(own_)) tell(late_);
  }
  void on_store_record(char kind, DocId doc, int) override {
    if (kind == 'F' || kind == 'E') own_.erase(doc), taken_.erase(doc), refused_.erase(doc);
  }

  void leave() override {
    begin();
    log_.module().release_leases();
    soon();
  }
  std::string summary() const override {
    auto usage = log_.module().usage();
    return "latest: " + std::to_string(usage.keys) + " keys, " + std::to_string(usage.segment_bytes) +
           " bytes in " + std::to_string(usage.segments) + " segments, " + std::to_string(delivered_) +
           " delivered, " + std::to_string(failed_) + " failed";
  }

 private:
  struct Taken {
    StreamId stream{};
    HybridTimestamp stamp;
    Millis until = 0;
    bool copied = false;
  };

  const StreamSettings* stream_of(const StoredDocument& held) const {
    // One without a key has no newest: it goes as any document, and is not kept.
    if (held.order_key.find_first_not_of('0') == std::string::npos) return nullptr;
    auto found = std::ranges::find(settings_.streams, held.doc_type, &StreamSettings::type);
    return found == settings_.streams.end() ? nullptr : &*found;
  }
  static bool subscribes(const StreamSettings& stream, DestinationId destination) {
    return std::ranges::find(stream.subscribers, destination) != stream.subscribers.end();
  }
  // One line of a kind in a while.
  void report(const std::string& line) {
    auto now = around_.loop.now();
    if (line == reported_ && now < reported_at_ + 10000) return;
    reported_ = line, reported_at_ = now;
    log_line("latest: %s", line.c_str());
  }

  // Of the warming part: a key by one number.
  static std::uint64_t id_of(StreamId stream, const KeyHash& key) {
    return key.high ^ static_cast<std::uint64_t>(stream);
  }
  std::size_t load(std::uint64_t id) {
    for (const auto& stream : settings_.streams)
      if (auto key = log_.module().find_key(stream.id, id ^ static_cast<std::uint64_t>(stream.id)))
        if (auto record = log_.read(stream.id, *key)) return record->body.size() + record->key.size();
    return 0;
  }

  void begin() { log_.begin_turn(around_.loop.now(), EventLoop::wall_time()); }
  void soon() { due_.set(around_.loop.now()); }

  void turn() {
    begin();
    auto& module = log_.module();
    module.set_alive(membership_.alive());
    auto live = static_cast<int>(around_.store.documents().size() -
                                 std::min(around_.store.documents().size(), out_.size()));
    module.set_waiting_documents(std::max(0, live - around_.config.settings.slots));
    if (around_.loop.now() >= look_at_) look(), look_at_ = around_.loop.now() + look_every;
    for (DocId doc : std::exchange(refused_, {})) around_.answer_client(doc, false);
    for (DocId doc : std::exchange(late_for_own_, {})) {
      // Its subscriber has had a newer one: it is abandoned, and its client told so.
      if (!around_.store.documents().count(doc)) continue;
      around_.begin_turn();
      around_.decision.withdraw(doc);
      around_.store.record_ended(doc, false, 0);
      around_.resume_document(doc);
    }
    auto decided = log_.decide();
    for (const auto& line : decided.log) report(line);
    for (const auto& [to, message] : decided.sends) send(to, message);
    answer(decided.replicated);
    for (const auto& delivery : decided.withdraw) withdraw(delivery);
    bool again = false;
    for (const auto& delivery : decided.deliver)
      if (!hand_in(delivery)) log_.module().on_delivery_ended(delivery, false), ++failed_, again = true;
    Millis wake = again ? 0 : decided.wake_in;
    if (wake >= 0) due_.set(around_.loop.now() + std::max(wake, around_.config.settings.tick));
  }

  // What passes a frame's bound goes in parts, the one that asks for a note last.
  void send(MemberId to, const LatestMessage& message) {
    auto bytes = packed(message);
    auto half = [](auto& from, auto& to) {
      auto middle = from.begin() + static_cast<std::ptrdiff_t>((from.size() + 1) / 2);
      to.assign(std::make_move_iterator(from.begin()), std::make_move_iterator(middle));
      from.erase(from.begin(), middle);
    };
    bool divides = message.records.size() + message.delivery_states.size() + message.digests.size() +
                       message.listings.size() + message.requested.size() + message.lease_requests.size() >
                   1;
    if (bytes.size() + 64 <= fleet_.max_frame_bytes || !divides) {
      link_.send(to, Channel::latest, bytes);
      return;
    }
    LatestMessage first, rest = message;
    half(rest.records, first.records), half(rest.delivery_states, first.delivery_states),
        half(rest.digests, first.digests);
    half(rest.listings, first.listings), half(rest.requested, first.requested),
        half(rest.lease_requests, first.lease_requests);
    send(to, first), send(to, rest);
  }

  void answer(const std::vector<std::pair<StreamId, HybridTimestamp>>& copied) {
    std::vector<std::pair<DocId, bool>> answers;
    for (auto& [doc, taken] : taken_) {
      auto one = std::pair(taken.stream, taken.stamp);
      taken.copied |= std::ranges::find(copied, one) != copied.end();
      if (taken.copied) answers.push_back({doc, true});
      else if (around_.loop.now() >= taken.until) answers.push_back({doc, false});
    }
    for (auto [doc, copied] : answers) {
      around_.answer_client(doc, copied);
      if (!copied) taken_.erase(doc), own_.erase(doc);
    }
  }

  // Which subscribers' destinations are held, shut or returning cold: no backlog is begun there.
  void look() {
    std::set<std::pair<bool, std::uint64_t>> resting;
    for (const auto& known : around_.decision.route_statuses(true))
      if (known.retry_after_left > 0 || known.state != RouteState::healthy)
        resting.insert({known.per_endpoint, known.route});
    std::map<DestinationId, std::pair<int, int>> endpoints;  // listed, and of those resting
    for (const auto& [id, entry] : around_.listed_endpoints) {
      if (entry.status != EndpointStatus::ready) continue;
      auto& [listed, rests] = endpoints[entry.destination];
      ++listed, rests += resting.count({true, static_cast<std::uint64_t>(id)}) > 0;
    }
    for (const auto& stream : settings_.streams)
      for (auto subscriber : stream.subscribers) {
        auto [listed, rests] = endpoints[subscriber];
        log_.module().set_destination_impaired(
            subscriber, resting.count({false, static_cast<std::uint64_t>(subscriber)}) > 0 ||
                            (listed > 0 && rests == listed));
      }
  }

  // One document of the decision module for one subscriber. It is not written to the store's file: the log
  // and the marks are what outlives the process.
  bool hand_in(const CompactedLog::Delivery& delivery) {
    auto record = log_.read(delivery.subscription.stream, delivery.key);
    if (!record || record->timestamp != delivery.timestamp) return false;
    auto stream = std::ranges::find(settings_.streams, delivery.subscription.stream, &StreamSettings::id);
    auto type = around_.config.doc_types.find(stream->type);
    auto subscriber = std::to_string(static_cast<std::uint64_t>(delivery.subscription.subscriber));
    StoredDocument held;
    held.id = record->id + "." + subscriber;
    auto bytes =
        held.id.size() + record->idempotency_key.size() + record->body.size() + record->key.size() + 128;
    if (type == around_.config.doc_types.end() ||
        !around_.decision.has_destination(delivery.subscription.subscriber) ||
        !around_.decision.has_capacity() || around_.store.contains(held.id) || !around_.store.has_room(bytes))
      return false;
    held.idempotency_key = record->idempotency_key, held.body = record->body, held.tenant = record->tenant;
    // In order for each subscriber: one that is down must not keep the key from the others.
    held.order_key = record->key + "." + subscriber;
    held.doc_type = stream->type, held.type = type->second;
    held.max_transmissions = around_.config.settings.max_transmissions;
    held.destination = delivery.subscription.subscriber,
    held.expiry = EventLoop::wall_time() + type->second.lifetime;
    around_.begin_turn();
    auto doc = around_.store.add(std::move(held));
    out_[doc] = delivery;
    around_.resume_document(doc);
    return true;
  }

  void failed(DocId doc) {
    auto found = out_.find(doc);
    if (found == out_.end()) return;
    auto delivery = found->second;
    out_.erase(found), ++failed_;
    around_.store.remove(doc);
    begin();
    log_.module().on_delivery_ended(delivery, false);
    soon();
  }

  void withdraw(const CompactedLog::Delivery& delivery) {
    auto found = std::ranges::find_if(out_, [&](const auto& one) { return one.second == delivery; });
    if (found == out_.end()) return;
    auto doc = found->first;
    // Its call may still be answered: then the subscriber has had it.
    if (late_.size() >= 1024) late_.erase(late_.begin());
    late_[doc] = delivery;
    out_.erase(found);
    around_.discard_document(doc);
  }

  RelayContext& around_;
  const FleetConfig& fleet_;
  fleet::Membership& membership_;
  Link& link_;
  const std::shared_ptr<ComponentHooks> offers_;
  const LatestSettings settings_;
  PersistentLog log_;
  Timer due_;
  std::map<DocId, CompactedLog::Delivery> out_, own_, late_;
  std::map<DocId, Taken> taken_;  // in the log, and not answered yet
  std::set<DocId> refused_, late_for_own_;
  Millis look_at_ = 0, reported_at_ = 0;
  std::string reported_;
  std::uint64_t delivered_ = 0, failed_ = 0;
};

}  // namespace

std::unique_ptr<FleetComponent> make_streams(const ComponentContext& place) {
  if (place.config.streams.empty()) return nullptr;
  return std::make_unique<LatestPart>(place);
}

}  // namespace rockcrank::peer
