// The streams component: appends stream documents to the compacted log before their +OK, exchanges messages
// over the link, and passes due deliveries to the decision module as documents. latest/latest.h decides which
// record is current and which is delivered next. The platform did not hand in these deliveries, so their ends
// are not reported to it.

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

// Interval of reading the decision module's state of subscribers.
constexpr Millis impairment_check_interval = 1000;

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

class StreamsComponent final : public FleetComponent {
 public:
  explicit StreamsComponent(const ComponentContext& context)
      : relay_(context.relay),
        config_(context.config),
        membership_(context.membership),
        link_(context.link),
        hooks_(context.hooks),
        settings_(settings_of(context.config)),
        log_(make_disk_file_system(context.folder + "/latest"), context.folder + "/latest",
             context.config.roster, context.config.self, settings_,
             std::max(context.config.warmup_max_bytes, context.config.segment_bytes), context.seed,
             context.relay.loop.now(), EventLoop::wall_time()),
        turn_timer_(context.relay.loop, [this] { turn(); }) {
    hooks_->preload_key = [this](std::uint64_t id) { return load(id); };
  }
  ~StreamsComponent() override { hooks_->preload_key = nullptr; }

  void start() override {
    // Documents accepted before the restart that go to a subscriber directly.
    for (auto& [doc, document] : relay_.store.documents())
      if (auto stream = stream_of(document);
          stream && !document.ended && subscribes(*stream, document.destination)) {
        document.type.in_order = true;
        auto key = key_hash(document.order_key);
        auto newest = log_.read(stream->id, key);
        if (newest && newest->id == document.id)
          direct_documents_[doc] = {{stream->id, document.destination}, key, newest->timestamp};
      }
    schedule_turn();
  }

  void on_message(MemberId from, std::string_view payload) override {
    auto message = unpacked<LatestMessage>(payload);
    begin_turn();
    log_.on_message(from, message);
    schedule_turn();
  }
  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    begin_turn();
    log_.module().on_link_change(peer, up);
    schedule_turn();
  }
  void on_member_change(MemberId, fleet::Incarnation, fleet::MemberState) override {
    begin_turn();
    log_.module().set_alive(membership_.alive());
    schedule_turn();
  }

  // Appends to the log before +OK. Called again for a document that another relay must store first.
  bool may_acknowledge(DocId doc) override {
    auto found = relay_.store.documents().find(doc);
    auto stream = found == relay_.store.documents().end() ? nullptr : stream_of(found->second);
    if (!stream) return true;
    if (auto pending = pending_acceptances_.find(doc); pending != pending_acceptances_.end()) {
      if (!pending->second.replicated) return false;
      pending_acceptances_.erase(pending);
      return true;
    }
    if (refused_docs_.count(doc)) return false;
    StoredDocument& document = found->second;
    Record record;
    record.stream = stream->id, record.key = document.order_key, record.id = document.id,
    record.idempotency_key = document.idempotency_key;
    record.tenant = document.tenant, record.body = document.body,
    record.direct_destination = document.destination;
    record.direct_until = static_cast<std::uint64_t>(std::max(0.0, document.expiry));
    begin_turn();
    schedule_turn();
    try {
      auto timestamp = log_.append_local(record);
      auto key = key_hash(record.key);
      if (subscribes(*stream, document.destination)) {
        direct_documents_[doc] = {{stream->id, document.destination}, key, timestamp};
        document.type.in_order = true;  // a subscriber's direct documents of one key are delivered in order
      }
      // Otherwise the loss of this machine could lose the only copy of an acknowledged record.
      if (!config_.wait_for_replica || config_.roster.size() < 2) return true;
      pending_acceptances_[doc] = {stream->id, timestamp, relay_.loop.now() + config_.replication_timeout,
                                   false};
    } catch (const fleet::FleetError& error) {
      // The disk is full or the clock went back: the client is answered -BUSY.
      report(error.what());
      refused_docs_.insert(doc);
    }
    return false;
  }

  // Checked when sending: a delivery still needs its lease, and a direct document must not be older than what
  // the subscriber has received.
  bool may_send(DocId doc, int) override {
    if (auto found = deliveries_.find(doc); found != deliveries_.end())
      return log_.module().has_delivery_lease(found->second.subscription, EventLoop::monotonic_time());
    auto document = relay_.store.documents().find(doc);
    auto stream = document == relay_.store.documents().end() ? nullptr : stream_of(document->second);
    if (!stream || !subscribes(*stream, document->second.destination)) return true;
    auto position = log_.module().delivery_state({stream->id, document->second.destination},
                                                 key_hash(document->second.order_key));
    auto direct = direct_documents_.find(doc);
    bool is_superseded = false;
    if (position && direct != direct_documents_.end())
      is_superseded = position->timestamp > direct->second.timestamp;
    // The version of a recovered or taken-over document is unknown: use the earliest time at which it can
    // have been accepted.
    else if (position)
      is_superseded = static_cast<double>(position->timestamp.wall_time) >=
                      document->second.expiry - document->second.type.lifetime;
    if (is_superseded) superseded_documents_.insert(doc), schedule_turn();
    return !is_superseded;
  }

  // Runs before the relay ends these documents: only the module is told of a delivery's end.
  void after_turn(const rockcrank::Actions& actions) override {
    for (const auto& reject : actions.rejected) on_delivery_failed(reject.doc);
    for (DocId doc : actions.abandoned) on_delivery_failed(doc);
  }
  void on_outcome(const Outcome& outcome) override {
    if (outcome.end != DocumentEnd::over) return;
    auto report_delivered = [&](auto& from) {
      auto found = from.find(outcome.doc);
      if (found == from.end()) return false;
      auto delivery = found->second;
      from.erase(found);
      begin_turn();
      log_.module().on_delivery_ended(delivery, true);
      schedule_turn();
      return true;
    };
    if (auto found = deliveries_.find(outcome.doc); found != deliveries_.end() && hooks_->on_key_delivered)
      hooks_->on_key_delivered(id_of(found->second.subscription.stream, found->second.key), outcome.duration);
    if (report_delivered(deliveries_)) ++delivered_;
    else if (!report_delivered(direct_documents_)) report_delivered(withdrawn_deliveries_);
  }
  void on_store_record(char kind, DocId doc, int) override {
    if (kind == 'F' || kind == 'E')
      direct_documents_.erase(doc), pending_acceptances_.erase(doc), refused_docs_.erase(doc);
  }

  void leave() override {
    begin_turn();
    log_.module().release_leases();
    schedule_turn();
  }
  std::string summary() const override {
    auto usage = log_.module().usage();
    return "latest: " + std::to_string(usage.keys) + " keys, " + std::to_string(usage.segment_bytes) +
           " bytes in " + std::to_string(usage.segments) + " segments, " + std::to_string(delivered_) +
           " delivered, " + std::to_string(failed_) + " failed";
  }

 private:
  struct PendingAcceptance {
    StreamId stream{};
    HybridTimestamp timestamp;
    Millis deadline = 0;
    bool replicated = false;
  };

  const StreamSettings* stream_of(const StoredDocument& document) const {
    // A document without a key is delivered as any other and not kept in the log.
    if (document.order_key.find_first_not_of('0') == std::string::npos) return nullptr;
    auto found = std::ranges::find(settings_.streams, document.doc_type, &StreamSettings::type);
    return found == settings_.streams.end() ? nullptr : &*found;
  }
  static bool subscribes(const StreamSettings& stream, DestinationId destination) {
    return std::ranges::find(stream.subscribers, destination) != stream.subscribers.end();
  }
  // Suppresses repeated log lines.
  void report(const std::string& line) {
    auto now = relay_.loop.now();
    if (line == last_reported_ && now < reported_at_ + 10000) return;
    last_reported_ = line, reported_at_ = now;
    log_line("latest: %s", line.c_str());
  }

  // Identifies a key by one number, for the warm-up component.
  static std::uint64_t id_of(StreamId stream, const KeyHash& key) {
    return key.high ^ static_cast<std::uint64_t>(stream);
  }
  std::size_t load(std::uint64_t id) {
    for (const auto& stream : settings_.streams)
      if (auto key = log_.module().find_key(stream.id, id ^ static_cast<std::uint64_t>(stream.id)))
        if (auto record = log_.read(stream.id, *key)) return record->body.size() + record->key.size();
    return 0;
  }

  void begin_turn() { log_.begin_turn(relay_.loop.now(), EventLoop::wall_time()); }
  void schedule_turn() { turn_timer_.set(relay_.loop.now()); }

  void turn() {
    begin_turn();
    auto& module = log_.module();
    module.set_alive(membership_.alive());
    auto live = static_cast<int>(relay_.store.documents().size() -
                                 std::min(relay_.store.documents().size(), deliveries_.size()));
    module.set_waiting_documents(std::max(0, live - relay_.config.settings.slots));
    if (relay_.loop.now() >= next_impairment_check_)
      update_impaired_destinations(), next_impairment_check_ = relay_.loop.now() + impairment_check_interval;
    for (DocId doc : std::exchange(refused_docs_, {})) relay_.answer_client(doc, false);
    for (DocId doc : std::exchange(superseded_documents_, {})) {
      // Its subscriber has received a newer one: the document is abandoned and its client notified.
      if (!relay_.store.documents().count(doc)) continue;
      relay_.begin_turn();
      relay_.decision.withdraw(doc);
      relay_.store.record_ended(doc, false, 0);
      relay_.resume_document(doc);
    }
    auto actions = log_.decide();
    for (const auto& line : actions.log) report(line);
    for (const auto& [to, message] : actions.sends) send(to, message);
    answer(actions.replicated);
    for (const auto& delivery : actions.withdraw) withdraw(delivery);
    bool retry = false;
    for (const auto& delivery : actions.deliver)
      if (!submit_delivery(delivery))
        log_.module().on_delivery_ended(delivery, false), ++failed_, retry = true;
    Millis wake = retry ? 0 : actions.wake_in;
    if (wake >= 0) turn_timer_.set(relay_.loop.now() + std::max(wake, relay_.config.settings.tick));
  }

  // Splits messages above the frame limit; the part that asks for an acknowledgement goes last.
  void send(MemberId to, const LatestMessage& message) {
    auto bytes = packed(message);
    auto half = [](auto& from, auto& to) {
      auto middle = from.begin() + static_cast<std::ptrdiff_t>((from.size() + 1) / 2);
      to.assign(std::make_move_iterator(from.begin()), std::make_move_iterator(middle));
      from.erase(from.begin(), middle);
    };
    bool is_divisible = message.records.size() + message.delivery_states.size() + message.digests.size() +
                            message.listings.size() + message.requested.size() +
                            message.lease_requests.size() >
                        1;
    if (bytes.size() + 64 <= config_.max_frame_bytes || !is_divisible) {
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

  void answer(const std::vector<std::pair<StreamId, HybridTimestamp>>& replicated) {
    std::vector<std::pair<DocId, bool>> answers;
    for (auto& [doc, pending] : pending_acceptances_) {
      auto one = std::pair(pending.stream, pending.timestamp);
      pending.replicated |= std::ranges::find(replicated, one) != replicated.end();
      if (pending.replicated) answers.push_back({doc, true});
      else if (relay_.loop.now() >= pending.deadline) answers.push_back({doc, false});
    }
    for (auto [doc, replicated] : answers) {
      relay_.answer_client(doc, replicated);
      if (!replicated) pending_acceptances_.erase(doc), direct_documents_.erase(doc);
    }
  }

  // Updates which subscribers' destinations are waiting, down or in slow start: no backlog is started there.
  void update_impaired_destinations() {
    std::set<std::pair<bool, std::uint64_t>> impaired;
    for (const auto& status : relay_.decision.route_statuses(true))
      if (status.retry_after_left > 0 || status.state != RouteState::healthy)
        impaired.insert({status.per_endpoint, status.route});
    std::map<DestinationId, std::pair<int, int>> endpoints;  // listed endpoints, and those impaired
    for (const auto& [id, entry] : relay_.listed_endpoints) {
      if (entry.status != EndpointStatus::ready) continue;
      auto& [listed, impaired_count] = endpoints[entry.destination];
      ++listed, impaired_count += impaired.count({true, static_cast<std::uint64_t>(id)}) > 0;
    }
    for (const auto& stream : settings_.streams)
      for (auto subscriber : stream.subscribers) {
        auto [listed, impaired_count] = endpoints[subscriber];
        log_.module().set_destination_impaired(
            subscriber, impaired.count({false, static_cast<std::uint64_t>(subscriber)}) > 0 ||
                            (listed > 0 && impaired_count == listed));
      }
  }

  // Adds a document for one subscriber to the decision module. It is not written to the store's file: the log
  // and the delivery states are what survives the process.
  bool submit_delivery(const CompactedLog::Delivery& delivery) {
    auto record = log_.read(delivery.subscription.stream, delivery.key);
    if (!record || record->timestamp != delivery.timestamp) return false;
    auto stream = std::ranges::find(settings_.streams, delivery.subscription.stream, &StreamSettings::id);
    auto type = relay_.config.doc_types.find(stream->type);
    auto subscriber = std::to_string(static_cast<std::uint64_t>(delivery.subscription.subscriber));
    StoredDocument document;
    document.id = record->id + "." + subscriber;
    auto bytes =
        document.id.size() + record->idempotency_key.size() + record->body.size() + record->key.size() + 128;
    if (type == relay_.config.doc_types.end() ||
        !relay_.decision.has_destination(delivery.subscription.subscriber) ||
        !relay_.decision.has_capacity() || relay_.store.contains(document.id) ||
        !relay_.store.has_room(bytes))
      return false;
    document.idempotency_key = record->idempotency_key, document.body = record->body,
    document.tenant = record->tenant;
    // The order key is per subscriber, so that one that is down does not block the key for others.
    document.order_key = record->key + "." + subscriber;
    document.doc_type = stream->type, document.type = type->second;
    document.max_transmissions = relay_.config.settings.max_transmissions;
    document.destination = delivery.subscription.subscriber,
    document.expiry = EventLoop::wall_time() + type->second.lifetime;
    relay_.begin_turn();
    auto doc = relay_.store.add(std::move(document));
    deliveries_[doc] = delivery;
    relay_.resume_document(doc);
    return true;
  }

  void on_delivery_failed(DocId doc) {
    auto found = deliveries_.find(doc);
    if (found == deliveries_.end()) return;
    auto delivery = found->second;
    deliveries_.erase(found), ++failed_;
    relay_.store.remove(doc);
    // No report acknowledges the end of a delivery, so nothing else would open its key again.
    relay_.decision.withdraw(doc);
    begin_turn();
    log_.module().on_delivery_ended(delivery, false);
    schedule_turn();
  }

  void withdraw(const CompactedLog::Delivery& delivery) {
    auto found = std::ranges::find_if(deliveries_, [&](const auto& one) { return one.second == delivery; });
    if (found == deliveries_.end()) return;
    auto doc = found->first;
    // Its call may still succeed; the subscriber has then received it.
    if (withdrawn_deliveries_.size() >= 1024) withdrawn_deliveries_.erase(withdrawn_deliveries_.begin());
    withdrawn_deliveries_[doc] = delivery;
    deliveries_.erase(found);
    relay_.discard_document(doc);
  }

  RelayContext& relay_;
  const FleetConfig& config_;
  fleet::Membership& membership_;
  Link& link_;
  const std::shared_ptr<ComponentHooks> hooks_;
  const LatestSettings settings_;
  PersistentLog log_;
  Timer turn_timer_;
  std::map<DocId, CompactedLog::Delivery> deliveries_, direct_documents_, withdrawn_deliveries_;
  std::map<DocId, PendingAcceptance> pending_acceptances_;  // in the log, not answered yet
  std::set<DocId> refused_docs_, superseded_documents_;
  Millis next_impairment_check_ = 0, reported_at_ = 0;
  std::string last_reported_;
  std::uint64_t delivered_ = 0, failed_ = 0;
};

}  // namespace

std::unique_ptr<FleetComponent> make_streams(const ComponentContext& context) {
  if (context.config.streams.empty()) return nullptr;
  return std::make_unique<StreamsComponent>(context);
}

}  // namespace rockcrank::peer
