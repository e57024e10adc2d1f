// Datagrams in and out; whisper.h says what it owns. What comes is read as a peer's word: checked, bounded a
// turn.

#include "peer/route_gossip_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "peer/codec.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

constexpr std::size_t datagram_most = 256;  // the protocol's
constexpr int a_round = 256;                // read in one round of the loop

sockaddr_in place_of(const Address& address) {
  sockaddr_in place{};
  place.sin_family = AF_INET, place.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &place.sin_addr) != 1)
    throw std::runtime_error("no IPv4 address: " + address.host);
  return place;
}

}  // namespace

RouteGossipSocket::RouteGossipSocket(EventLoop& loop, Decision& decision, const Config& config,
                                     std::function<void()> begin)
    : loop_(loop),
      decision_(decision),
      begin_(std::move(begin)),
      notes_(fleet::RouteGossip::make(config.seed)),
      due_(loop, [this] { turn(); }),
      all_(place_of(config.peer_broadcast)) {
  auto place = place_of(config.peer_listen);
  fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<const sockaddr*>(&place), sizeof place) != 0) {
    if (fd_ >= 0) ::close(fd_);
    throw std::runtime_error("cannot listen for notes at " + config.peer_listen.host);
  }
  loop_.add(fd_, POLLIN, this);
}

RouteGossipSocket::~RouteGossipSocket() {
  loop_.remove(fd_);
  ::close(fd_);
}

void RouteGossipSocket::ready(short) {
  notes_->begin_turn(loop_.now());
  char bytes[datagram_most + 1];
  for (int i = 0; i < a_round; ++i) {
    auto count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) break;
    try {
      notes_->on_datagram(unpacked<fleet::RouteDatagram>({bytes, static_cast<std::size_t>(count)}));
    } catch (const fleet::FleetError& error) { log_line("notes: %s", error.what()); }
  }
  begin_();
}

void RouteGossipSocket::turn() {
  notes_->begin_turn(loop_.now());
  auto decided = notes_->decide();
  for (const auto& datagram : decided.datagrams) {
    auto bytes = packed(datagram);
    if (bytes.size() <= datagram_most)
      ::sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&all_), sizeof all_);
  }
  if (decided.wake_in >= 0) due_.set(loop_.now() + decided.wake_in);
}

void RouteGossipSocket::before_turn() {
  for (const auto& known : notes_->take_route_statuses()) decision_.apply_route_status(known);
}

void RouteGossipSocket::after_turn() {
  auto own = decision_.route_statuses(false);
  if (own.empty()) return;  // what waits has its timer
  notes_->begin_turn(loop_.now());
  for (const auto& known : own) notes_->publish(known);
  turn();
}

}  // namespace rockcrank::peer
