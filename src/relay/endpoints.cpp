// The pool of connections: one object for each connection, which is active with a call or idle.

#include "relay/endpoints.h"

#include <algorithm>
#include <array>
#include <utility>

#include "relay/endpoint_connection.h"

namespace rockcrank {

const char* name_of(EndpointCloseReason reason) {
  static constexpr std::array<const char*, endpoint_close_reason_count> names = {
      "call_failed",       "closed_by_answer", "idle_too_long",    "unusable",
      "unexpected_answer", "answers_repeat",   "connection_limit", "not_needed"};
  return names[static_cast<std::size_t>(reason)];
}

Endpoints::Endpoints(EventLoop& loop, const Limits& limits) : loop_(loop), limits_(limits) {}
Endpoints::~Endpoints() = default;

// A document's share of a batch body: the base64 text and the JSON around it.
std::size_t Endpoints::batch_item_bytes(std::string_view id, std::string_view idempotency_key,
                                        std::string_view body) {
  return (body.size() + 2) / 3 * 4 + id.size() + idempotency_key.size() + 40;
}

void Endpoints::set_timeouts(Millis connect_timeout, Millis idle_timeout) {
  limits_.connect_timeout = connect_timeout, limits_.idle_timeout = idle_timeout;
}

void Endpoints::set_address(EndpointId endpoint, const Address& address) {
  Pool& pool = pools_[endpoint];
  if (pool.address == address) return;
  pool.address = address;
  leave_address(endpoint, TransmissionResult::not_sent);
}

void Endpoints::give_up_address(EndpointId endpoint) {
  leave_address(endpoint, TransmissionResult::not_connected);
}

// Whoever is at the old address now is not this endpoint.
void Endpoints::leave_address(EndpointId endpoint, TransmissionResult unwritten_result) {
  close_idle(endpoint);
  std::vector<Connection*> unwritten;
  for (const auto& [connection, owned] : active_)
    if (connection->endpoint() == endpoint && connection->is_unwritten()) unwritten.push_back(owned.get());
  for (Connection* connection : unwritten) connection->abort(unwritten_result);
}

// Connected ones are preferred to those still connecting, and then those that fewer documents may use.
std::unique_ptr<Endpoints::Connection> Endpoints::take_idle_connection(
    EndpointId endpoint, const std::vector<OutboundTransmission>& transmissions) {
  auto& idle = pools_.at(endpoint).idle;
  auto fits = [&](const Connection& candidate) {
    return !candidate.is_retired() && std::ranges::all_of(transmissions, [&](const auto& sent) {
      return may_reuse_connection(endpoint, sent.doc, candidate.earlier_answers());
    });
  };
  auto rank = [](const Connection& candidate) {
    const EarlierAnswers earlier = candidate.earlier_answers();
    return std::pair(candidate.connecting(), earlier.all_proved && !earlier.any_refusal);
  };
  while (true) {
    auto best = idle.end();
    for (auto at = idle.begin(); at != idle.end(); ++at)
      if (fits(**at) && (best == idle.end() || rank(**at) < rank(**best))) best = at;
    if (best == idle.end()) return nullptr;
    auto candidate = std::move(*best);
    idle.erase(best);
    const bool kept = may_keep_connection(endpoint, candidate->answers_repeat());
    const bool usable = candidate->usable();
    if (kept && usable && loop_.now() - candidate->idle_since() <= max_idle_time) return candidate;
    const auto reason = !kept    ? EndpointCloseReason::answers_repeat
                        : usable ? EndpointCloseReason::idle_too_long
                                 : EndpointCloseReason::unusable;
    if (!candidate->retire()) discard_idle(std::move(candidate), reason);
    else idle.push_back(std::move(candidate));
  }
}

void Endpoints::call(EndpointId endpoint, const std::vector<OutboundTransmission>& transmissions) {
  auto connection = take_idle_connection(endpoint, transmissions);
  bool is_new = !connection;
  bool has_capacity = !is_new || ensure_capacity();
  if (is_new) connection = std::make_unique<Connection>(*this, endpoint, pools_.at(endpoint).address);
  Connection& used = *connection;
  active_[&used] = std::move(connection);
  for (const auto& sent : transmissions) in_flight_[{sent.doc, sent.transmission}] = &used;
  used.start_call(transmissions);
  if (!has_capacity || used.lacks_descriptor()) used.abort(TransmissionResult::not_sent);
  else if (is_new && used.failed_to_open()) used.abort(TransmissionResult::not_connected);
}

bool Endpoints::preconnect(EndpointId endpoint) {
  auto pool = pools_.find(endpoint);
  if (pool == pools_.end() || connections_ >= limits_.max_connections) return false;
  auto connection = std::make_unique<Connection>(*this, endpoint, pool->second.address);
  if (connection->failed_to_open()) return loop_.defer_delete(std::move(connection)), false;
  connection->start_preconnect();
  pool->second.idle.push_front(std::move(connection));
  return true;
}

void Endpoints::release_preconnected(Connection& connection) {
  auto pool = pools_.find(connection.endpoint());
  if (pool == pools_.end()) return;  // discarded in this round
  auto& idle = pool->second.idle;
  auto found =
      std::find_if(idle.begin(), idle.end(), [&](const auto& one) { return one.get() == &connection; });
  if (found == idle.end()) return;
  idle.splice(idle.begin(), idle, found);  // idle from now on
  connection.on_idle(), connection.report_preconnect(PreconnectEvent::connected);
}

// The connection was found out of step with its calls before this one was written.
void Endpoints::move_to_new_connection(Connection& connection) {
  const EndpointId endpoint = connection.endpoint();
  auto moved = std::make_unique<Connection>(*this, endpoint, pools_.at(endpoint).address);
  Connection& used = *moved;
  active_[&used] = std::move(moved);
  for (const auto& item : connection.transmissions()) in_flight_[{item.doc, item.transmission}] = &used;
  used.take_call(connection);
  discard(connection, EndpointCloseReason::unexpected_answer);
  if (used.lacks_descriptor()) used.abort(TransmissionResult::not_sent);
  else if (used.failed_to_open()) used.abort(TransmissionResult::not_connected);
}

void Endpoints::discard_idle(std::unique_ptr<Connection> connection, EndpointCloseReason reason) {
  ++closed_counts_[static_cast<std::size_t>(reason)];
  connection->on_discard();
  loop_.defer_delete(std::move(connection));
}

int Endpoints::connections(EndpointId endpoint) const {
  auto pool = pools_.find(endpoint);
  auto active = std::count_if(active_.begin(), active_.end(),
                              [&](const auto& one) { return one.first->endpoint() == endpoint; });
  return static_cast<int>(active + (pool == pools_.end() ? 0 : std::ssize(pool->second.idle)));
}

std::vector<Endpoints::ConnectionSnapshot> Endpoints::snapshot() const {
  std::vector<ConnectionSnapshot> all;
  for (const auto& [connection, owned] : active_) all.push_back(connection->snapshot());
  for (const auto& [endpoint, pool] : pools_)
    for (const auto& connection : pool.idle) all.push_back(connection->snapshot());
  return all;
}

void Endpoints::restore(const std::vector<ConnectionSnapshot>& snapshots) {
  for (const auto& snapshot : snapshots) {
    auto connection = std::make_unique<Connection>(*this, snapshot);
    Connection& restored = *connection;
    if (!restored.active()) {
      pools_[snapshot.endpoint].idle.push_back(std::move(connection));
      continue;
    }
    active_[&restored] = std::move(connection);
    for (const auto& item : restored.transmissions()) in_flight_[{item.doc, item.transmission}] = &restored;
    if (restored.deferred())
      deferred_.emplace_back(restored.transmissions()[0].doc, restored.transmissions()[0].transmission);
  }
}

std::vector<std::pair<EndpointId, Address>> Endpoints::addresses() const {
  std::vector<std::pair<EndpointId, Address>> all;
  for (const auto& [endpoint, pool] : pools_) all.emplace_back(endpoint, pool.address);
  return all;
}

void Endpoints::close_all_idle() {
  for (auto& [endpoint, pool] : pools_) {
    for (auto& connection : pool.idle) connection->close();
    close_idle(endpoint);
  }
}

// Keeps within the connection limit by closing the connection that has been idle for longest.
bool Endpoints::ensure_capacity() {
  if (connections_ < limits_.max_connections) return true;
  std::list<std::unique_ptr<Connection>>* oldest = nullptr;
  for (auto& [endpoint, pool] : pools_)
    if (!pool.idle.empty() && (!oldest || pool.idle.back()->idle_since() < oldest->back()->idle_since()))
      oldest = &pool.idle;
  if (!oldest) return false;
  discard_idle(std::move(oldest->back()), EndpointCloseReason::connection_limit);
  oldest->pop_back();
  return true;
}

void Endpoints::cancel(DocId doc, int transmission) {
  auto found = in_flight_.find({doc, transmission});
  if (found != in_flight_.end()) found->second->cancel();
}

void Endpoints::resume_deferred() {
  for (const auto& call : std::exchange(deferred_, {}))
    if (auto found = in_flight_.find(call); found != in_flight_.end()) found->second->resume();
}

void Endpoints::read_pending() {
  std::vector<std::pair<DocId, int>> calls;
  for (const auto& [call, connection] : in_flight_) calls.push_back(call);
  for (const auto& call : calls)
    if (auto found = in_flight_.find(call); found != in_flight_.end()) found->second->read_pending();
}

void Endpoints::close_idle(EndpointId endpoint, Millis min_idle) {
  auto found = pools_.find(endpoint);
  if (found == pools_.end()) return;
  auto& idle = found->second.idle;
  for (auto at = idle.begin(); at != idle.end();) {
    if (loop_.now() - (*at)->idle_since() < min_idle || (*at)->retire()) {
      ++at;
      continue;
    }
    discard_idle(std::move(*at), EndpointCloseReason::not_needed);
    at = idle.erase(at);
  }
}

void Endpoints::remove(EndpointId endpoint) {
  if (auto found = pools_.find(endpoint); found != pools_.end())
    for (auto& connection : found->second.idle)
      discard_idle(std::move(connection), EndpointCloseReason::not_needed);
  pools_.erase(endpoint);
}

void Endpoints::release(Connection& connection) {
  auto found = active_.find(&connection);
  if (found == active_.end()) return;
  auto pool = pools_.find(connection.endpoint());
  // The endpoint was removed while the answer was draining, or its address has changed.
  if (pool == pools_.end() || connection.address() != pool->second.address)
    return discard(connection, EndpointCloseReason::not_needed);
  pool->second.idle.push_front(std::move(found->second));
  active_.erase(found);
  connection.on_idle();
}

void Endpoints::discard(Connection& connection, EndpointCloseReason reason) {
  connection.close();
  if (auto found = active_.find(&connection); found != active_.end()) {
    ++closed_counts_[static_cast<std::size_t>(reason)];
    loop_.defer_delete(std::move(found->second));
    active_.erase(found);
    return;
  }
  auto pool = pools_.find(connection.endpoint());
  if (pool == pools_.end()) return;
  auto& idle = pool->second.idle;
  auto found = std::find_if(idle.begin(), idle.end(),
                            [&](const auto& candidate) { return candidate.get() == &connection; });
  if (found == idle.end()) return;
  discard_idle(std::move(*found), reason);
  idle.erase(found);
}

}  // namespace rockcrank
