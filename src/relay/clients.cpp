// All client connections: which of them are closed where they are too many.

#include "relay/clients.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "relay/client_connection.h"
#include "relay/log.h"

namespace rockcrank {
namespace {

constexpr Millis eviction_retry_interval = 50;  // for a connection to evict, while the limit is reached

}  // namespace

const char* name_of(CloseReason reason) {
  static constexpr std::array<const char*, close_reason_count> names = {
      "malformed_command", "incomplete_command", "never_asked", "not_reading", "made_room",
      "too_many_at_rest",  "descriptors_short",  "shutdown",    "client_gone", "memory_exceeded"};
  return names[static_cast<std::size_t>(reason)];
}

Clients::Clients(EventLoop& loop, const Address& at, int passed_socket, const Limits& limits)
    : loop_(loop),
      limits_(limits),
      budget_(limits.process),
      full_timer_(loop, [this] { evict_or_pause(); }),
      resume_timer_(loop, [this] { resume_paused(); }) {
  auto accept = [this](int fd) { on_accept(fd); };
  listener_ = passed_socket >= 0 ? std::make_unique<Listener>(loop_, passed_socket, accept)
                                 : std::make_unique<Listener>(loop_, at, accept);
}

std::vector<Clients::ConnectionSnapshot> Clients::snapshot() const {
  std::vector<ConnectionSnapshot> all;
  for (const auto& [number, client] : clients_) all.push_back(client->snapshot());
  return all;
}

std::size_t Clients::unanswered_commands() const {
  std::size_t total = 0;
  for (const auto& [number, client] : clients_) total += client->unanswered_commands();
  return total;
}

std::size_t Clients::unread_bytes() const {
  std::size_t total = 0;
  for (const auto& [number, client] : clients_) total += client->unread_bytes();
  return total;
}

// What a connection holds changes with its events only, so the sum is kept and not counted.
void Clients::update_use(Client& client) {
  if (client.is_removed()) return;
  const ClientBytes before = client.counted_bytes(), now = client.held_bytes();
  held_.received += now.received - before.received;
  held_.unsent += now.unsent - before.unsent;
  client.set_counted_bytes(now);
  enforce_budget();
}

bool Clients::take_bulk_bytes(std::size_t bytes) {
  if (std::exchange(bulk_bytes_given_at_, loop_.inputs_read_at()) != loop_.inputs_read_at())
    bulk_bytes_left_ = max_bulk_bytes_per_turn;
  if (bytes > bulk_bytes_left_) return false;
  bulk_bytes_left_ -= bytes;
  return true;
}

void Clients::enforce_budget() {
  for (const auto kind : {ClientBuffer::received, ClientBuffer::unsent})
    if (budget_.is_exceeded(kind, held(kind))) shed(kind, budget_.shed_target(kind));
}

void Clients::shed_for_handover() { shed(ClientBuffer::received, budget_.handover_limit()); }

std::vector<ClientUse> Clients::uses() const {
  std::vector<ClientUse> all;
  all.reserve(clients_.size());
  for (const auto& [number, client] : clients_) all.push_back(client->use());
  return all;
}

std::size_t Clients::held(ClientBuffer kind) const {
  return kind == ClientBuffer::received ? held_.received : held_.unsent;
}

void Clients::shed(ClientBuffer kind, std::size_t most) {
  if (shedding_ || executing_ || held(kind) <= most) return;
  shedding_ = true;
  std::vector<ClientUse> left = uses();
  while (held(kind) > most) {
    const auto chosen = MemoryBudget::choose_to_shed(kind, left);
    if (!chosen) break;
    std::erase_if(left, [&](const ClientUse& use) { return use.client == *chosen; });
    ++shed_count_;
    if (auto found = clients_.find(*chosen); found != clients_.end()) found->second->shed(kind);
  }
  shedding_ = false;
}

void Clients::restore(const std::vector<ConnectionSnapshot>& snapshots) {
  for (const auto& one : snapshots) {
    auto number = ++last_client_;
    clients_[number] = std::make_unique<Client>(*this, number, one);
  }
}

// Collects the numbers first, because a connection may be removed during its call.
template <typename Visitor>
void Clients::for_each(Visitor visit) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, client] : clients_) numbers.push_back(number);
  for (auto number : numbers)
    if (auto found = clients_.find(number); found != clients_.end()) visit(*found->second);
}

void Clients::resume_reading() {
  for_each([](Client& client) { client.resume(); });
}

// A reply reads no further commands itself: the turn that gives it has recorded its documents by then, so a
// command read in it would have neither a record nor a reply when the turn ends.
void Clients::schedule_resume() { resume_timer_.set(loop_.now()); }

void Clients::resume_paused() {
  for_each([](Client& client) { client.resume_reading(); });
}

void Clients::close_idle() {
  for_each([](Client& client) {
    if (client.has_sent_command() && client.can_be_closed()) client.close_to_free_descriptor();
  });
}

Clients::~Clients() = default;

void Clients::on_accept(int fd) {
  auto number = ++last_client_;
  clients_[number] = std::make_unique<Client>(*this, number, fd);
  if (clients_.size() >= limits_.max_connections) evict_or_pause();
}

// Idle connections must not keep other clients out. At the limit, one that was closed here, one that has sent
// no command for a while, or the one unused for longest is closed between two commands. A new connection may
// have its first command on the way, so it is kept for a moment; connections that have sent commands are
// spared only while new ones fill over half of the limit. If none can be closed, further connections wait in
// the listen queue.
void Clients::evict_or_pause() {
  if (!listener_ || clients_.size() < limits_.max_connections) return;
  auto without_command = std::count_if(clients_.begin(), clients_.end(),
                                       [](const auto& at) { return !at.second->has_sent_command(); });
  bool flood = 2 * static_cast<std::size_t>(without_command) > limits_.max_connections;
  const Client* candidate = nullptr;
  std::uint64_t number = 0;
  for (const auto& [other, client] : clients_) {
    auto unused = loop_.now() - client->last_used_at();
    if (client->has_sent_command() ? flood || unused < 1 : unused < eviction_retry_interval) continue;
    if ((!candidate || client->eviction_rank() < candidate->eviction_rank()) && client->can_be_closed())
      candidate = client.get(), number = other;
  }
  if (candidate) {
    record_close(CloseReason::evicted, number, 0);
    return remove(number);
  }
  listener_->set_paused(true);
  full_timer_.set(loop_.now() + eviction_retry_interval);
}

// Clients may open only a limited number of connections. If all of those were idle on this relay, no client
// could send a command to any other. So beyond a limit the connection that has been idle for longest is
// closed.
void Clients::evict_excess_idle() {
  std::size_t idle = 0;
  const Client* candidate = nullptr;
  std::uint64_t number = 0;
  for (const auto& [other, client] : clients_) {
    if (!client->is_between_commands()) continue;
    if (++idle == 1 || client->last_used_at() < candidate->last_used_at())
      candidate = client.get(), number = other;
  }
  if (idle <= limits_.max_idle || !candidate->can_be_closed()) return;
  record_close(CloseReason::too_many_idle, number, 0);
  remove(number);
}

void Clients::record_close(CloseReason reason, std::uint64_t number, std::size_t unanswered) {
  ++closed_counts_[static_cast<std::size_t>(reason)];
  log_line("event=client_closed client=%llu reason=%s unanswered=%zu connections=%zu", 0ULL + number,
           name_of(reason), unanswered, clients_.size());
}

void Clients::remove(std::uint64_t number) {
  auto found = clients_.find(number);
  if (found == clients_.end()) return;
  const ClientBytes counted = found->second->counted_bytes();
  held_.received -= counted.received;
  held_.unsent -= counted.unsent;
  found->second->remove();
  loop_.defer_delete(std::move(found->second));
  clients_.erase(found);
  if (listener_ && clients_.size() < limits_.max_connections)
    listener_->set_paused(false), full_timer_.clear();
}

void Clients::reply(ReplyTo to, const std::string& text) {
  if (auto found = clients_.find(to.client); found != clients_.end()) found->second->reply(to.command, text);
}

void Clients::stop_listening() { listener_.reset(); }

void Clients::close_after_replies() {
  closing_ = true;
  for_each([](Client& client) { client.close_if_idle(); });
}

// Those with the least to answer come first, so that a few with very much take the time of no other.
void Clients::close_now(Millis deadline) {
  std::vector<std::pair<std::size_t, std::uint64_t>> by_size;
  for (const auto& [number, client] : clients_) by_size.emplace_back(client->unread_bytes(), number);
  std::ranges::sort(by_size);
  for (const auto& [bytes, number] : by_size) {
    if (loop_.now() >= deadline) return;
    if (auto found = clients_.find(number); found != clients_.end()) found->second->close_now();
  }
}

}  // namespace rockcrank
