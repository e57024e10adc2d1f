// The proxies between members: links that are cut, slow, reset, truncated or corrupted.

#include <algorithm>

#include "trial/harness.h"
#include "trial/messages.h"

namespace rockcrank::trial {

bool Harness::all_linked_since(Millis from) const {
  for (const auto& [dialled, port] : proxy_ports_) {
    if (relays_.at(dialled.first).pid <= 0 || relays_.at(dialled.second).pid <= 0) continue;
    for (bool back : {false, true}) {
      auto passed = last_passed_.find({dialled, back});
      if (passed == last_passed_.end() || passed->second < from) return false;
    }
  }
  return true;
}

void Harness::open_proxy(const std::string& from, const std::string& to) {
  int port = proxy_ports_[{from, to}] = next_port();
  event_loop_.listen({host_, port})->on_accepted = [this, from, to](Socket& inbound) {
    Socket* outbound = event_loop_.connect({host_, relays_.at(to).member_port});
    auto inbound_id = inbound.id, outbound_id = outbound->id;
    inbound.on_data = [=, this] { forward({from, to}, false, inbound_id, outbound_id); };
    outbound->on_data = [=, this] { forward({from, to}, true, outbound_id, inbound_id); };
    auto close_other = [this](std::uint64_t other) {
      if (Socket* sock = event_loop_.find(other)) event_loop_.close(*sock);
    };
    inbound.on_closed = [=] { close_other(outbound_id); };
    outbound->on_closed = [=] { close_other(inbound_id); };
    proxied_[{from, to}].push_back({{from, to}, false, inbound_id, outbound_id});
    proxied_[{to, from}].push_back({{from, to}, true, outbound_id, inbound_id});
  };
}

void Harness::forward(const Pair& dialled, bool back, std::uint64_t in_id, std::uint64_t out_id) {
  auto direction = back ? Pair{dialled.second, dialled.first} : dialled;
  Socket *in = event_loop_.find(in_id), *out = event_loop_.find(out_id);
  if (!in || !out) return;
  auto setting = link_states_.find(direction);
  if (setting != link_states_.end() && setting->second.state == LinkState::cut)
    return void(in->paused = true);
  if (in->in.empty()) return;
  auto bytes = std::exchange(in->in, {});
  last_passed_[{dialled, back}] = now();
  if (corrupted_next_.erase(direction))
    for (std::size_t i = bytes.size() / 2; i < bytes.size(); ++i) bytes[i] = static_cast<char>(~bytes[i]);
  if (truncated_next_.erase(direction)) {
    event_loop_.send(*out, std::string_view(bytes).substr(0, bytes.size() / 2));
    out->closes_when_sent = true;
    event_loop_.close(*in, true);
    if (out->out.empty()) event_loop_.close(*out);
    return;
  }
  if (setting == link_states_.end() || setting->second.state != LinkState::slow)
    return event_loop_.send(*out, bytes);
  event_loop_.schedule(now() + setting->second.delay, [this, out_id, bytes] {
    if (Socket* target = event_loop_.find(out_id)) event_loop_.send(*target, bytes);
  });
}

void Harness::set_link(const std::string& from, const std::string& to, LinkState state, Millis delay) {
  Pair direction{from, to};
  record("link", {{"i", from},
                  {"j", to},
                  {"way", state == LinkState::open  ? "open"
                          : state == LinkState::cut ? "cut"
                                                    : "slow"}});
  if (state == LinkState::open) link_states_.erase(direction);
  else link_states_[direction] = {state, delay};
  auto directions = proxied_[direction];
  for (const auto& proxied : directions)
    if (Socket* in = event_loop_.find(proxied.in)) {
      in->paused = state == LinkState::cut;
      if (state != LinkState::cut) forward(proxied.dialled, proxied.back, proxied.in, proxied.out);
    }
}

void Harness::heal_links() {
  for (const auto& [direction, setting] : std::map<Pair, LinkSetting>(link_states_))
    this->set_link(direction.first, direction.second, LinkState::open);
}

void Harness::reset_connections(const std::string& from, const std::string& to) {
  record("reset", {{"i", from}, {"j", to}});
  for (const auto& proxied : std::exchange(proxied_[{from, to}], {}))
    for (auto id : {proxied.in, proxied.out})
      if (Socket* sock = event_loop_.find(id)) event_loop_.close(*sock, true);
}
void Harness::truncate_next(const std::string& from, const std::string& to) {
  record("tear", {{"i", from}, {"j", to}});
  truncated_next_.insert({from, to});
}
void Harness::corrupt_next(const std::string& from, const std::string& to) {
  record("corrupt", {{"i", from}, {"j", to}});
  corrupted_next_.insert({from, to});
}

void Harness::flood(const std::string& to, const std::string& what) {
  record("flood", {{"r", to}, {"what", what}});
  std::string bytes;
  if (what == "junk")
    for (unsigned i = 0; i < 200000; ++i) bytes += static_cast<char>((i + 77) * 2654435761u >> 13);
  else if (what == "large") bytes = std::string(8, '\xff') + std::string(1 << 20, 'x');
  else bytes = std::string(3, '\0');  // half of a length prefix and then nothing
  for (int i = 0; i < (what == "half" ? 40 : 3); ++i) {
    Socket* sock = event_loop_.connect({host_, relays_.at(to).member_port});
    sock->on_connected = [this, id = sock->id, bytes] {
      if (Socket* open_socket = event_loop_.find(id)) event_loop_.send(*open_socket, bytes);
    };
  }
}

// ---- clients and operators

}  // namespace rockcrank::trial
