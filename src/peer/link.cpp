// TCP links between members. Each member dials every other one and sends messages only on the connections
// that it dialled, so a link that fails in one direction is down in that direction only. On accepted
// connections it sends only handshakes, pongs and superseded notices. Payloads are opaque to the link and are
// not stored.
//
// Wire format: a frame is a length (4 bytes, big-endian, counting what follows the checksum), a checksum (low
// 4 bytes of XXH3), a channel (1 byte) and a payload. Channel 0 carries control frames: a kind (1 byte) and a
// MessagePack value. The first frame in each direction is a handshake; its format is the same in all
// versions, and later versions add to `extensions`.

#include "peer/link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "peer/codec.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

using fleet::BadMessage;
using fleet::Incarnation;
using fleet::MemberId;

constexpr std::uint32_t wire_version = 1, min_wire_version = 1;
constexpr const char* magic = "rockcrank fleet";
constexpr std::uint8_t control_channel = 0, last_channel = static_cast<std::uint8_t>(Channel::latest);
constexpr std::size_t header_bytes = 8, max_control_frame_bytes = 1024;
constexpr std::size_t max_batch_bytes = 256 * 1024;  // written at the end of a loop iteration

// Per peer, and as many again at the end of the loop iteration; the rest waits.
constexpr int max_frames_per_turn = 256;
constexpr int max_frames_per_second = 200'000, max_control_frames_per_second = 50;  // rate limits per peer
// Connections without a handshake, in addition to one per member.
constexpr std::size_t max_unidentified_connections = 16;

constexpr Millis check_interval = 100;      // interval of the timeout checks
constexpr Millis handshake_timeout = 1000;  // from the dial, or from the accept
constexpr Millis pong_timeout = 1500;       // otherwise the connection is half-open or the peer is stalled
constexpr Millis min_ping_interval = 500;   // minimum between two pings to one peer
constexpr Millis idle_ping_interval = 250;  // average over all idle peers
// minimum; accepted connections are only read from, so this may be long
constexpr Millis min_accepted_idle_timeout = 10'000;
constexpr Millis min_redial_delay = 50, max_redial_delay = 1000;
constexpr Millis stable_uptime = 2000;    // a connection up for this long resets the backoff
constexpr Millis min_rtt_window = 5000;   // minimum; the smallest round trip is taken over two windows
constexpr Millis stall_threshold = 1000;  // a gap this long means that this process did not run
constexpr Millis min_log_interval = 250;  // minimum between two log lines about one peer
constexpr int failures_before_log = 6;    // consecutive failed dials before one is logged

enum class ControlKind : std::uint8_t { handshake = 1, ping, pong, superseded };

struct Handshake {
  std::string magic;
  std::uint32_t version = 0, min_version = 0;
  std::string fleet;
  MemberId member{};
  Incarnation incarnation;
  std::uint64_t max_frame_bytes = 0;              // largest frame that this side reads
  std::map<std::string, std::string> extensions;  // for later versions
  auto fields() {
    return std::tie(magic, version, min_version, fleet, member, incarnation, max_frame_bytes, extensions);
  }
};
struct PingNumber {
  std::uint64_t number = 0;
  auto fields() { return std::tie(number); }
};

std::uint32_t checksum(std::uint8_t channel, std::string_view payload) {
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(payload.data(), payload.size(), channel));
}

void append_number(std::string& out, std::uint32_t number) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(number >> shift & 0xff);
}
std::uint32_t read_number(std::string_view bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i) number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  return number;
}

void append_frame(std::string& out, std::uint8_t channel, std::string_view payload) {
  append_number(out, static_cast<std::uint32_t>(payload.size() + 1));
  append_number(out, checksum(channel, payload));
  out += static_cast<char>(channel);
  out += payload;
}

template <typename Value>
std::string control_frame(ControlKind kind, const Value& value) {
  std::string frame;
  append_frame(frame, control_channel, static_cast<char>(kind) + packed(value));
  return frame;
}

struct Frame {
  std::uint8_t channel = 0;
  std::string_view payload;
  std::size_t size = 0;
};

// Returns nothing if more bytes are needed.
std::optional<Frame> next_frame(std::string_view bytes, std::size_t limit, const std::string& where) {
  if (bytes.size() < header_bytes) return std::nullopt;
  std::size_t length = read_number(bytes, 0);
  if (length == 0 || length > limit)
    throw BadMessage(
        "invalid frame length of " + std::to_string(length) + " bytes", where,
        "set the same frame_kb in all fleet files, and let only members connect to this address");
  if (bytes.size() < header_bytes + length) return std::nullopt;
  Frame frame{static_cast<std::uint8_t>(bytes[header_bytes]), bytes.substr(header_bytes + 1, length - 1),
              header_bytes + length};
  if (checksum(frame.channel, frame.payload) != read_number(bytes, 4))
    throw BadMessage("a wrong checksum", where, "check for a proxy or failing hardware between the members");
  return frame;
}

std::string remote_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  char host[INET_ADDRSTRLEN] = "?";
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0)
    inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string("peer at ") + host + ":" + std::to_string(ntohs(at.sin_port));
}

// Counts frames in the current second.
struct RateLimiter {
  Millis second = 0;
  int count = 0;
  bool exceeds(Millis now, int limit) {
    if (now - second >= 1000) second = now, count = 0;
    return ++count > limit;
  }
};

}  // namespace

struct Link::Impl {
  struct DialledPeer {
    MemberId id{};
    std::string name;
    Address at;
    std::unique_ptr<Stream> stream;
    bool established = false;
    Incarnation incarnation;
    std::string batch;  // frames of this loop iteration, not yet passed to the stream
    std::size_t max_frame_bytes = 0, unsent = 0;
    int failures = 0;
    Millis since = 0, next = 0, last_ping = 0;
    // Time of the unanswered ping, and time at which bytes were last written.
    Millis ping_sent_at = -1, last_progress = 0;
    bool sent_since_ping = false;
    std::uint64_t ping = 0;
    Millis min_rtt = -1, previous_min_rtt = -1, window = 0;
  };
  struct AcceptedPeer {
    std::unique_ptr<Stream> stream;
    std::string where;
    bool identified = false, rejected = false, closed = false;
    MemberId from{};
    Incarnation incarnation;
    std::uint32_t version = 0;
    Millis since = 0, last_received = 0;
    RateLimiter frames, control_frames;
  };
  struct LinkChange {
    MemberId peer{};
    Incarnation incarnation;
    bool up = false;
  };

  Impl(Link& link, EventLoop& loop, const FleetConfig& config, Incarnation own_incarnation,
       std::uint64_t seed)
      : link_(link),
        loop_(loop),
        fleet_(config.fleet_name),
        self_(config.self),
        listen_address_(config.addresses.at(config.self)),
        max_queue_bytes_(config.max_queue_bytes),
        max_frame_bytes_(config.max_frame_bytes),
        own_incarnation_(own_incarnation),
        random_(static_cast<std::minstd_rand::result_type>(seed ^ own_incarnation.nonce ^ (seed >> 32))),
        check_timer_(loop, [this] { check_timeouts(); }),
        flush_timer_(loop, [this] { flush(); }) {
    last_check_ = loop_.now();
    for (const auto& member : config.roster) {
      if (member.id == self_) continue;
      auto& peer = dialled_[member.id];
      peer.id = member.id, peer.name = member.name, peer.at = config.addresses.at(member.id);
    }
    // Spreads the first dials, so that a fleet that starts at once does not dial each relay at the same
    // moment.
    for (auto& [id, peer] : dialled_)
      peer.next = last_check_ + random_fraction() * static_cast<double>(dialled_.size());
    idle_ping_interval_ =
        std::max(min_ping_interval, idle_ping_interval * static_cast<double>(dialled_.size()));
    check_timer_.set(last_check_);
  }

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  // Limits the log rate for a peer that is rejected repeatedly.
  void log_limited(const std::string& about, const std::string& text) {
    auto [last, is_new] = last_logged_.try_emplace(about, 0);
    if (!is_new && loop_.now() - last->second < min_log_interval) return;
    last->second = loop_.now();
    log_line("%s", text.c_str());
  }

  // Adds the peer to errors from a component or the codec, which do not name it.
  void log_error(const std::string& about, const std::string& where, const fleet::FleetError& error) {
    std::string text = error.what();
    log_limited(about, text.find(where) == std::string::npos ? where + ": " + text : text);
  }

  // ---- Dialled connections: everything that this member sends.

  std::string handshake() const {
    return control_frame(
        ControlKind::handshake,
        Handshake{
            magic, wire_version, min_wire_version, fleet_, self_, own_incarnation_, max_frame_bytes_, {}});
  }

  void dial(DialledPeer& peer) {
    peer.since = loop_.now(), peer.established = false, peer.batch.clear(), peer.ping_sent_at = -1;
    peer.stream = std::make_unique<Stream>(loop_, peer.at);
    if (peer.stream->state() == Stream::State::closed) return drop(peer, "connect failed");
    peer.stream->on_close = [this, &peer] {
      drop(peer,
           peer.established ? "closed by the peer" : "connection refused, or closed during the handshake");
    };
    peer.stream->on_data = [this, &peer] { read(peer); };
    peer.stream->on_connected = [this, &peer] { peer.stream->send(handshake()); };
  }

  void drop(DialledPeer& peer, const std::string& reason, bool immediately = false) {
    auto now = loop_.now();
    if (peer.stream) peer.stream->close(), loop_.defer_delete(std::move(peer.stream));
    peer.batch.clear(), peer.batch.shrink_to_fit();
    // A connection that closes soon after the handshake counts as a failure, so that a rejected peer backs
    // off.
    if (peer.established && now - peer.since >= stable_uptime) peer.failures = 0;
    auto wait = std::min(max_redial_delay, min_redial_delay * std::exp2(std::min(peer.failures++, 10)));
    peer.next = now + (immediately ? 0 : wait * (0.5 + random_fraction() / 2));
    if (std::exchange(peer.established, false)) {
      link_changes_.push_back({peer.id, peer.incarnation, false}), flush_timer_.set(now);
      log_limited(peer.name, "link to " + peer.name + " lost: " + reason);
    } else if (peer.failures == failures_before_log) {
      log_limited(peer.name, "link to " + peer.name + " at " + peer.at.host + ":" +
                                 std::to_string(peer.at.port) + " cannot be established: " + reason);
    }
  }

  void read(DialledPeer& peer) {
    auto* stream = peer.stream.get();
    auto where = peer.name + " at " + peer.at.host + ":" + std::to_string(peer.at.port);
    auto bytes = stream->received();
    std::size_t consumed = 0;
    try {
      // A correct peer sends far fewer control frames than one read holds; more than the limit is an error.
      for (int handled = 0;; ++handled) {
        auto frame = next_frame(bytes.substr(consumed), max_control_frame_bytes, where);
        if (!frame) break;
        if (handled >= max_frames_per_turn || frame->channel != control_channel || frame->payload.empty())
          throw BadMessage("unexpected frame on a dialled connection", where,
                           "make `at` point to the member itself");
        consumed += frame->size;
        handle_control_frame(peer, where, static_cast<ControlKind>(frame->payload[0]),
                             frame->payload.substr(1));
        if (stream->state() == Stream::State::closed) return;
      }
    } catch (const BadMessage& error) {
      log_error(peer.name, where, error);
      return drop(peer, "invalid message");
    }
    stream->consume(consumed);
  }

  void handle_control_frame(DialledPeer& peer, const std::string& where, ControlKind kind,
                            std::string_view value) {
    if (kind == ControlKind::handshake) return complete_handshake(peer, where, unpacked<Handshake>(value));
    if (kind == ControlKind::superseded) {
      report_duplicate(unpacked<Incarnation>(value));
      return drop(peer, "the peer knows a newer incarnation of this member");
    }
    if (kind != ControlKind::pong || peer.ping_sent_at < 0 || unpacked<PingNumber>(value).number != peer.ping)
      return;
    auto round_trip = EventLoop::monotonic_time() - std::exchange(peer.ping_sent_at, -1);
    peer.min_rtt = peer.min_rtt < 0 ? round_trip : std::min(peer.min_rtt, round_trip);
  }

  void complete_handshake(DialledPeer& peer, const std::string& where, const Handshake& handshake) {
    check_handshake(handshake, where);
    if (handshake.member == self_ && handshake.incarnation != own_incarnation_)
      report_duplicate(handshake.incarnation);
    if (handshake.member != peer.id)
      throw BadMessage("another member answered", where, "correct `at` of the members in the fleet file");
    if (peer.established) return;
    std::vector<AcceptedPeer*> older;
    for (auto& other : accepted_) {
      if (!other->identified || other->from != peer.id) continue;
      if (other->incarnation > handshake.incarnation)
        return drop(peer, "an older incarnation of the peer answered");
      if (other->incarnation < handshake.incarnation) older.push_back(other.get());
    }
    for (auto* other : older) close(*other);
    peer.established = true, peer.incarnation = handshake.incarnation, peer.since = loop_.now();
    peer.max_frame_bytes = std::min<std::uint64_t>(handshake.max_frame_bytes, max_frame_bytes_);
    peer.min_rtt = peer.previous_min_rtt = -1, peer.window = loop_.now(), peer.unsent = 0;
    link_changes_.push_back({peer.id, peer.incarnation, true}), flush_timer_.set(loop_.now());
    log_limited(peer.name, "link to " + peer.name + " up");
    ping(peer);
  }

  void ping(DialledPeer& peer) {
    if (peer.ping_sent_at >= 0) return;
    peer.last_ping = loop_.now(), peer.ping_sent_at = EventLoop::monotonic_time(),
    peer.sent_since_ping = false;
    queue_frame(peer, control_frame(ControlKind::ping, PingNumber{++peer.ping}));
  }

  void queue_frame(DialledPeer& peer, std::string_view frame) {
    peer.batch += frame;
    if (peer.batch.size() >= max_batch_bytes) write(peer);
    else flush_timer_.set(loop_.now());
  }

  void write(DialledPeer& peer) {
    if (!peer.stream || peer.batch.empty()) return;
    peer.stream->send(peer.batch);
    peer.batch.clear();
    if (peer.batch.capacity() > max_batch_bytes) peer.batch.shrink_to_fit();
  }

  bool send(MemberId to, Channel channel, std::string_view payload) {
    auto found = dialled_.find(to);
    if (found == dialled_.end() || !found->second.established) return false;
    auto& peer = found->second;
    if (payload.size() + 1 > peer.max_frame_bytes) {
      log_limited(peer.name,
                  BadMessage("a message of " + std::to_string(payload.size()) + " bytes is too large to send",
                             "to " + peer.name, "raise frame_kb in all fleet files")
                      .what());
      return false;
    }
    auto frame_bytes = header_bytes + 1 + payload.size();
    if (peer.stream->unsent_bytes() + peer.batch.size() + frame_bytes > max_queue_bytes_) write(peer);
    // Bounds the memory used for a slow peer and avoids sending stale messages; the peer is brought up to
    // date after it reconnects.
    if (peer.stream->unsent_bytes() + frame_bytes > max_queue_bytes_) {
      drop(peer, "its send queue of " + std::to_string(max_queue_bytes_ / 1024) + " KB is full");
      return false;
    }
    append_frame(peer.batch, static_cast<std::uint8_t>(channel), payload);
    peer.sent_since_ping = true;
    if (loop_.now() - peer.last_ping >= min_ping_interval) ping(peer);
    if (peer.batch.size() >= max_batch_bytes) write(peer);
    else flush_timer_.set(loop_.now());
    return true;
  }

  // Runs at the end of a loop iteration: writes the batched frames and reports link changes outside of any
  // call made by a component.
  void flush() {
    for (auto& [id, peer] : dialled_) write(peer);
    auto changes = std::exchange(link_changes_, {});
    for (const auto& change : changes)
      if (link_.on_link_change) link_.on_link_change(change.peer, change.incarnation, change.up);
    auto unread = std::exchange(unread_, {});
    for (auto* waiting : unread) read(*waiting);
  }

  // ---- Accepted connections: everything that this member receives.

  void listen() {
    if (listener_ || loop_.now() < next_listen_) return;
    try {
      listener_ = std::make_unique<Listener>(loop_, listen_address_, [this](int fd) { accept(fd); });
    } catch (const std::exception& error) {
      // While a relay replaces another one, the address may still be in use for a moment.
      next_listen_ = loop_.now() + check_interval;
      if (loop_.now() - listen_error_logged_ < min_accepted_idle_timeout) return;
      listen_error_logged_ = loop_.now();
      log_line("%s", fleet::CannotListen(error.what(), "fleet file, `at` of this member",
                                         "free the address or correct it; the relay tries again")
                         .what());
    }
  }

  void accept(int fd) {
    auto peer = std::make_unique<AcceptedPeer>();
    auto* at = peer.get();
    peer->where = remote_of(fd), peer->since = peer->last_received = loop_.now();
    peer->stream = std::make_unique<Stream>(loop_, fd);
    peer->stream->on_data = [this, at] { read(*at); };
    peer->stream->on_close = [this, at] { read(*at, true), close(*at); };
    accepted_.push_back(std::move(peer));
    // Bounds the descriptors used by unidentified connections: the oldest of them is closed.
    std::size_t unidentified = 0;
    AcceptedPeer* oldest = nullptr;
    for (auto& other : accepted_)
      if (!other->identified || other->rejected) ++unidentified, oldest = oldest ? oldest : other.get();
    if (unidentified > dialled_.size() + max_unidentified_connections)
      reject(*oldest, "too many connections without a handshake", "find out who connects to this address");
  }

  void close(AcceptedPeer& peer) {
    if (std::exchange(peer.closed, true)) return;
    peer.stream->close();
    unread_.erase(&peer);
    for (auto at = accepted_.begin(); at != accepted_.end(); ++at)
      if (at->get() == &peer) {
        loop_.defer_delete(std::move(*at));
        accepted_.erase(at);
        return;
      }
  }

  void reject(AcceptedPeer& peer, const std::string& what, const std::string& remedy) {
    log_limited(peer.identified ? peer.where : "unidentified peers",
                BadMessage(what, peer.where, remedy).what());
    close(peer);
  }

  // ended: the peer closed the connection. What is left is at most one read, so the frame limit does not
  // apply and nothing is lost.
  void read(AcceptedPeer& peer, bool ended = false) {
    if (peer.closed) return;  // the object exists until the end of the loop iteration
    auto* stream = peer.stream.get();
    if (peer.rejected) return stream->consume(stream->received().size());
    auto bytes = stream->received();
    std::size_t consumed = 0;
    int handled = 0;
    peer.last_received = loop_.now();
    try {
      while (ended || handled < max_frames_per_turn) {
        auto frame = next_frame(bytes.substr(consumed),
                                peer.identified ? max_frame_bytes_ : max_control_frame_bytes, peer.where);
        if (!frame) break;
        consumed += frame->size, ++handled;
        handle_frame(peer, *frame);
        if (peer.closed) return;
      }
    } catch (const fleet::FleetError& error) {
      log_error(peer.identified ? peer.where : "unidentified peers", peer.where, error);
      return close(peer);
    }
    stream->consume(consumed);
    // Frames beyond the limit wait, so that one peer cannot take up a whole loop iteration.
    if (ended || handled < max_frames_per_turn) return stream->enable_reading(true);
    stream->enable_reading(false);
    unread_.insert(&peer), flush_timer_.set(loop_.now());
  }

  void handle_frame(AcceptedPeer& peer, const Frame& frame) {
    auto check_rate = [&](bool exceeds) {
      if (exceeds)
        throw BadMessage("message rate limit exceeded", peer.where, "check that relay; it may reconnect");
    };
    check_rate(peer.frames.exceeds(loop_.now(), max_frames_per_second));
    if (frame.channel == control_channel) {
      check_rate(peer.control_frames.exceeds(loop_.now(), max_control_frames_per_second));
      if (frame.payload.empty())
        throw BadMessage("an empty control frame", peer.where, "run compatible versions on all members");
      auto kind = static_cast<ControlKind>(frame.payload[0]);
      if (!peer.identified) {
        if (kind != ControlKind::handshake)
          throw BadMessage("no handshake", peer.where, "let only members connect to this address");
        return accept_handshake(peer, unpacked<Handshake>(frame.payload.substr(1)));
      }
      if (kind == ControlKind::ping)
        peer.stream->send(control_frame(ControlKind::pong, unpacked<PingNumber>(frame.payload.substr(1))));
      return;  // unknown kinds of later versions are skipped
    }
    if (!peer.identified)
      throw BadMessage("no handshake", peer.where, "let only members connect to this address");
    if (frame.channel > last_channel) {
      if (peer.version > wire_version) return;  // a newer peer may use channels that are unknown here
      throw BadMessage("an unknown channel", peer.where, "run compatible versions on all members");
    }
    if (link_.on_message) link_.on_message(peer.from, static_cast<Channel>(frame.channel), frame.payload);
  }

  static std::string quoted(const std::string& text) {
    std::string out;
    for (char c : text.substr(0, 40)) out += c > ' ' && c < 127 ? c : '?';
    return "'" + out + "'";
  }

  void check_handshake(const Handshake& handshake, const std::string& where) const {
    if (handshake.magic != magic)
      throw BadMessage("no handshake", where, "let only members connect to each other");
    if (handshake.fleet != fleet_)
      throw BadMessage("a handshake from the fleet " + quoted(handshake.fleet), where,
                       "give each fleet its own addresses");
    if (handshake.version < min_wire_version || handshake.min_version > wire_version)
      throw BadMessage("wire version " + std::to_string(handshake.version) + ", minimum " +
                           std::to_string(handshake.min_version) + "; this relay has version " +
                           std::to_string(wire_version),
                       where, "replace the older relay first");
  }

  void accept_handshake(AcceptedPeer& peer, const Handshake& handshake) {
    check_handshake(handshake, peer.where);
    if (handshake.member == self_) {
      if (handshake.incarnation == own_incarnation_)
        throw BadMessage("this relay dialled itself", peer.where, "correct `at` of the members");
      report_duplicate(handshake.incarnation);
      throw fleet::DuplicateMember("another process uses the name of this member", peer.where,
                                   "stop one of them; give each relay its own name and state folder");
    }
    auto found = dialled_.find(handshake.member);
    if (found == dialled_.end())
      throw BadMessage("the member is not in the fleet file", peer.where,
                       "list the same members in all fleet files");
    auto& back = found->second;
    peer.where = back.name + ", " + peer.where;
    // An older incarnation that still runs, or a restored machine image: it is notified and rejected. A lower
    // incarnation number is accepted if the newer incarnation is gone, as after a clock that was set back and
    // an emptied folder.
    std::optional<Incarnation> newer;
    if (back.established && back.incarnation > handshake.incarnation) newer = back.incarnation;
    std::vector<AcceptedPeer*> older;
    for (auto& other : accepted_) {
      if (!other->identified || other->from != handshake.member) continue;
      if (other->incarnation > handshake.incarnation) newer = other->incarnation;
      else older.push_back(other.get());
    }
    if (newer) {
      log_limited(back.name,
                  fleet::DuplicateMember("an older incarnation of a member is still running", peer.where,
                                         "stop the older process, or the one from a restored machine image")
                      .what());
      peer.rejected = true, peer.since = loop_.now();
      peer.stream->send(control_frame(ControlKind::superseded, *newer));
      return peer.stream->close_gracefully();
    }
    for (auto* other : older) close(*other);  // only the newest connection of a peer is used
    if (back.established && back.incarnation < handshake.incarnation)
      drop(back, "a newer incarnation of the peer connected", true);
    peer.identified = true, peer.from = handshake.member, peer.incarnation = handshake.incarnation,
    peer.version = handshake.version;
    peer.stream->send(this->handshake());
    // The peer is reachable: dial it now, unless the last dial has just failed.
    if (!back.stream && loop_.now() - back.since >= min_redial_delay)
      back.next = loop_.now(), check_timer_.set(loop_.now());
  }

  void report_duplicate(Incarnation incarnation) {
    if (reported_duplicates_.size() < 64 && reported_duplicates_.insert(incarnation).second &&
        link_.on_duplicate_self)
      link_.on_duplicate_self(incarnation);
  }

  // ---- Timeouts.

  void check_timeouts() {
    auto now = loop_.now();
    // Extends the deadlines by the time in which this process did not run, so that peers are not blamed for
    // it.
    bool stalled = now - last_check_ > stall_threshold;
    auto gap = now - std::exchange(last_check_, now);
    listen();
    for (auto& [id, peer] : dialled_) {
      if (stalled && peer.ping_sent_at >= 0) peer.ping_sent_at += gap;
      if (stalled) peer.since += peer.established ? 0 : gap;
      if (!peer.stream) {
        if (now >= peer.next) dial(peer);
      } else if (!peer.established) {
        if (now - peer.since > handshake_timeout) drop(peer, "no handshake in time");
      } else {
        check_liveness(peer);
      }
    }
    auto silence = std::max(min_accepted_idle_timeout, 4 * idle_ping_interval_);
    std::vector<AcceptedPeer*> late;
    for (auto& peer : accepted_) {
      if (stalled) peer->last_received = peer->since = now;
      if (peer->identified ? now - peer->last_received > silence : now - peer->since > handshake_timeout)
        late.push_back(peer.get());
    }
    for (auto* peer : late) {
      if (peer->identified || peer->rejected) close(*peer);
      else reject(*peer, "no handshake in time", "let only members connect to this address");
    }
    if (last_logged_.size() > 2 * dialled_.size() + 64) last_logged_.clear();
    check_timer_.set(now + check_interval);
  }

  // Detects half-open connections: a ping without a pong while no bytes are written either.
  void check_liveness(DialledPeer& peer) {
    auto now = loop_.now();
    auto unsent = peer.stream->unsent_bytes();
    if (unsent < peer.unsent) peer.last_progress = now;
    peer.unsent = unsent;
    if (peer.ping_sent_at >= 0 && now - std::max(peer.ping_sent_at, peer.last_progress) > pong_timeout)
      return drop(peer, "no pong in time");
    if (now - peer.window > std::max(min_rtt_window, 2 * idle_ping_interval_))
      peer.window = now, peer.previous_min_rtt = std::exchange(peer.min_rtt, -1);
    if (now - peer.last_ping >= (peer.sent_since_ping ? min_ping_interval : idle_ping_interval_)) ping(peer);
  }

  Millis one_way_delay(MemberId peer) const {
    auto found = dialled_.find(peer);
    if (found == dialled_.end()) return -1;
    auto min_rtt = found->second.min_rtt, previous = found->second.previous_min_rtt;
    if (min_rtt < 0 || (previous >= 0 && previous < min_rtt)) min_rtt = previous;
    return min_rtt < 0 ? -1 : min_rtt / 2;
  }

  void reject(MemberId peer, const std::string& reason) {
    for (auto& other : accepted_)
      if (other->identified && other->from == peer)
        return reject(*other, reason, "run compatible versions on all members");
  }

  std::size_t connection_count() const {
    auto dialled = std::count_if(dialled_.begin(), dialled_.end(),
                                 [](const auto& entry) { return entry.second.stream != nullptr; });
    return accepted_.size() + static_cast<std::size_t>(dialled);
  }

 private:
  friend class Link;

  Link& link_;
  EventLoop& loop_;
  const std::string fleet_;
  const MemberId self_;
  const Address listen_address_;
  const std::size_t max_queue_bytes_, max_frame_bytes_;
  const Incarnation own_incarnation_;
  std::minstd_rand random_;
  std::map<MemberId, DialledPeer> dialled_;
  std::list<std::unique_ptr<AcceptedPeer>> accepted_;  // in order of arrival
  std::set<AcceptedPeer*> unread_;                     // with frames left for the next loop iteration
  std::vector<LinkChange> link_changes_;
  std::set<Incarnation> reported_duplicates_;
  std::map<std::string, Millis> last_logged_;
  std::unique_ptr<Listener> listener_;
  Millis next_listen_ = 0, listen_error_logged_ = -min_accepted_idle_timeout, last_check_ = 0,
         idle_ping_interval_ = min_ping_interval;
  Timer check_timer_, flush_timer_;
};

Link::Link(EventLoop& loop, const FleetConfig& config, Incarnation own_incarnation, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(*this, loop, config, own_incarnation, seed)) {}

Link::~Link() = default;

bool Link::send(MemberId to, Channel channel, std::string_view payload) {
  return impl_->send(to, channel, payload);
}

bool Link::is_up(MemberId peer) const {
  auto found = impl_->dialled_.find(peer);
  return found != impl_->dialled_.end() && found->second.established;
}

Millis Link::one_way_delay(MemberId peer) const { return impl_->one_way_delay(peer); }

void Link::reject_peer(MemberId peer, const std::string& reason) { impl_->reject(peer, reason); }

std::size_t Link::connection_count() const { return impl_->connection_count(); }

}  // namespace rockcrank::peer
