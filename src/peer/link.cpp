// The connections between members; link.h says what it owns. Each member dials every other and sends on what
// it dialled only, so a link that is cut one way is cut one way here too; on what it accepted go greetings,
// pongs and nothing else. Nothing here may look into a payload or keep one for later.
//
// The wire: frames of a length (4 bytes, big-endian, of what follows the checksum), a checksum (XXH3, its low
// 4 bytes), a channel (1 byte) and a payload. Channel 0 is the link's own: a kind (1 byte) and a MessagePack
// value. The first frame each way is a greeting; it has the same form in all versions, and later ones add to
// `more`.

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

constexpr std::uint32_t wire_version = 1, least_version = 1;
constexpr const char* magic = "rockcrank fleet";
constexpr std::uint8_t own_channel = 0, last_channel = static_cast<std::uint8_t>(Channel::latest);
constexpr std::size_t head = 8, own_most = 1024;  // of a frame; most of one of the link's own
constexpr std::size_t batch_most = 256 * 1024;    // of what is written at the end of a round

constexpr int frames_a_turn = 256;  // of one peer, and as many again at a round's end; the rest waits
constexpr int frames_a_second = 200'000, own_a_second = 50;  // more than that is a flood
constexpr std::size_t strangers_more = 16;  // connections without a greeting, beyond one for each member

// Milliseconds.
constexpr Millis look_every = 100;           // at what is late
constexpr Millis greeting_within = 1000;     // from the dial; and from what is accepted
constexpr Millis pong_within = 1500;         // else the connection is silent: half-open, or the peer stalls
constexpr Millis ping_gap = 500;             // at least, between two pings to one peer
constexpr Millis idle_pings_apart = 250;     // on average, over all peers that nothing is sent to
constexpr Millis accepted_silence = 10'000;  // at least; what is accepted is only read, so it is in no hurry
constexpr Millis redial_first = 50, redial_most = 1000;
constexpr Millis lasted = 2000;       // a connection up for so long was a good one
constexpr Millis trip_window = 5000;  // at least; two of them make "the last seconds"
constexpr Millis stalled = 1000;      // this process did not run for so long
constexpr Millis line_gap = 250;      // between two log lines on one peer
constexpr int failures_named = 6;     // dials that failed one after another

enum class Own : std::uint8_t { greeting = 1, ping, pong, superseded };

struct Greeting {
  std::string magic;
  std::uint32_t version = 0, least = 0;
  std::string fleet;
  MemberId member{};
  Incarnation life;
  std::uint64_t frame_most = 0;             // of what this side reads
  std::map<std::string, std::string> more;  // of later versions
  auto fields() { return std::tie(magic, version, least, fleet, member, life, frame_most, more); }
};
struct Number {
  std::uint64_t number = 0;
  auto fields() { return std::tie(number); }
};

std::uint32_t checksum(std::uint8_t channel, std::string_view payload) {
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(payload.data(), payload.size(), channel));
}

void put_number(std::string& out, std::uint32_t number) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(number >> shift & 0xff);
}
std::uint32_t number_at(std::string_view bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i) number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  return number;
}

void put_frame(std::string& out, std::uint8_t channel, std::string_view payload) {
  put_number(out, static_cast<std::uint32_t>(payload.size() + 1));
  put_number(out, checksum(channel, payload));
  out += static_cast<char>(channel);
  out += payload;
}

template <typename Thing>
std::string own_frame(Own kind, const Thing& thing) {
  std::string frame;
  put_frame(frame, own_channel, static_cast<char>(kind) + packed(thing));
  return frame;
}

struct Frame {
  std::uint8_t channel = 0;
  std::string_view payload;
  std::size_t size = 0;
};

// Empty: more bytes are needed.
std::optional<Frame> next_frame(std::string_view bytes, std::size_t most, const std::string& where) {
  if (bytes.size() < head) return std::nullopt;
  std::size_t length = number_at(bytes, 0);
  if (length == 0 || length > most)
    throw BadMessage("a message of " + std::to_string(length) + " bytes, or no message", where,
                     "have frame_kb alike in all fleet files, and only members at this address");
  if (bytes.size() < head + length) return std::nullopt;
  Frame frame{static_cast<std::uint8_t>(bytes[head]), bytes.substr(head + 1, length - 1), head + length};
  if (checksum(frame.channel, frame.payload) != number_at(bytes, 4))
    throw BadMessage("a wrong checksum", where, "look for a proxy or a failing machine on the way");
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

// Frames so far in this second.
struct Rate {
  Millis second = 0;
  int count = 0;
  bool over(Millis now, int most) {
    if (now - second >= 1000) second = now, count = 0;
    return ++count > most;
  }
};

}  // namespace

struct Link::Parts {
  struct Dialled {
    MemberId id{};
    std::string name;
    Address at;
    std::unique_ptr<Stream> stream;
    bool welcomed = false;
    Incarnation life;
    std::string batch;  // of this round, not given to the stream yet
    std::size_t frame_most = 0, unsent = 0;
    int failures = 0;
    Millis since = 0, next = 0, pinged = 0;
    Millis awaited = -1, moved = 0;  // when the ping went whose pong is owed; when bytes were last taken
    bool used = false;               // since the last ping
    std::uint64_t ping = 0;
    Millis least = -1, least_before = -1, window = 0;
  };
  struct Accepted {
    std::unique_ptr<Stream> stream;
    std::string where;
    bool greeted = false, refused = false, gone = false;
    MemberId from{};
    Incarnation life;
    std::uint32_t version = 0;
    Millis since = 0, heard = 0;
    Rate frames, own;
  };
  struct Notice {
    MemberId peer{};
    Incarnation life;
    bool up = false;
  };

  Parts(Link& link, EventLoop& loop, const FleetConfig& config, Incarnation own, std::uint64_t seed)
      : link_(link),
        loop_(loop),
        fleet_(config.fleet_name),
        self_(config.self),
        here_(config.addresses.at(config.self)),
        queue_most_(config.max_queue_bytes),
        frame_most_(config.max_frame_bytes),
        own_(own),
        chance_(static_cast<std::minstd_rand::result_type>(seed ^ own.nonce ^ (seed >> 32))),
        look_(loop, [this] { look(); }),
        flush_(loop, [this] { flush(); }) {
    looked_ = loop_.now();
    for (const auto& member : config.roster) {
      if (member.id == self_) continue;
      auto& peer = dialled_[member.id];
      peer.id = member.id, peer.name = member.name, peer.at = config.addresses.at(member.id);
    }
    // Guards against a whole fleet that starts together and dials each of its relays in the same moment.
    for (auto& [id, peer] : dialled_) peer.next = looked_ + share() * static_cast<double>(dialled_.size());
    idle_gap_ = std::max(ping_gap, idle_pings_apart * static_cast<double>(dialled_.size()));
    look_.set(looked_);
  }

  double share() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

  // Guards against a storm of lines: a peer that is refused over and over is named once in a while.
  void say(const std::string& about, const std::string& text) {
    auto [last, is_new] = said_.try_emplace(about, 0);
    if (!is_new && loop_.now() - last->second < line_gap) return;
    last->second = loop_.now();
    log_line("%s", text.c_str());
  }

  // What a part or the codec finds wrong does not say whose message it was.
  void named(const std::string& about, const std::string& where, const fleet::FleetError& error) {
    std::string text = error.what();
    say(about, text.find(where) == std::string::npos ? where + ": " + text : text);
  }

  // ---- what is dialled: all that this member sends

  std::string greeting() const {
    return own_frame(Own::greeting,
                     Greeting{magic, wire_version, least_version, fleet_, self_, own_, frame_most_, {}});
  }

  void dial(Dialled& peer) {
    peer.since = loop_.now(), peer.welcomed = false, peer.batch.clear(), peer.awaited = -1;
    peer.stream = std::make_unique<Stream>(loop_, peer.at);
    if (peer.stream->state() == Stream::State::closed) return drop(peer, "cannot be dialled");
    peer.stream->on_close = [this, &peer] { drop(peer, peer.welcomed ? "ended by the peer" : "not taken"); };
    peer.stream->on_data = [this, &peer] { read(peer); };
    peer.stream->on_connected = [this, &peer] { peer.stream->send(greeting()); };
  }

  void drop(Dialled& peer, const std::string& why, bool at_once = false) {
    auto now = loop_.now();
    if (peer.stream) peer.stream->close(), loop_.defer_delete(std::move(peer.stream));
    peer.batch.clear(), peer.batch.shrink_to_fit();
    // A connection that was taken and soon ended counts as failed: a refused peer must not come in a storm.
    if (peer.welcomed && now - peer.since >= lasted) peer.failures = 0;
    auto wait = std::min(redial_most, redial_first * std::exp2(std::min(peer.failures++, 10)));
    peer.next = now + (at_once ? 0 : wait * (0.5 + share() / 2));
    if (std::exchange(peer.welcomed, false)) {
      notices_.push_back({peer.id, peer.life, false}), flush_.set(now);
      say(peer.name, "link to " + peer.name + " lost: " + why);
    } else if (peer.failures == failures_named) {
      say(peer.name, "link to " + peer.name + " at " + peer.at.host + ":" + std::to_string(peer.at.port) +
                         " does not come up: " + why);
    }
  }

  void read(Dialled& peer) {
    auto* stream = peer.stream.get();
    auto where = peer.name + " at " + peer.at.host + ":" + std::to_string(peer.at.port);
    auto bytes = stream->received();
    std::size_t used = 0;
    try {
      // The few that honest peers send back are far under what one read brings; the rest comes with the next.
      for (int handled = 0;; ++handled) {
        auto frame = next_frame(bytes.substr(used), own_most, where);
        if (!frame) break;
        if (handled >= frames_a_turn || frame->channel != own_channel || frame->payload.empty())
          throw BadMessage("what answers is no pong", where, "have `at` lead to the member itself");
        used += frame->size;
        answered(peer, where, static_cast<Own>(frame->payload[0]), frame->payload.substr(1));
        if (stream->state() == Stream::State::closed) return;
      }
    } catch (const BadMessage& error) {
      named(peer.name, where, error);
      return drop(peer, "refused here");
    }
    stream->consume(used);
  }

  void answered(Dialled& peer, const std::string& where, Own kind, std::string_view value) {
    if (kind == Own::greeting) return welcome(peer, where, unpacked<Greeting>(value));
    if (kind == Own::superseded) {
      twin(unpacked<Incarnation>(value));
      return drop(peer, "it knows a newer life of this member");
    }
    if (kind != Own::pong || peer.awaited < 0 || unpacked<Number>(value).number != peer.ping) return;
    auto trip = EventLoop::monotonic_time() - std::exchange(peer.awaited, -1);
    peer.least = peer.least < 0 ? trip : std::min(peer.least, trip);
  }

  void welcome(Dialled& peer, const std::string& where, const Greeting& greeting) {
    check(greeting, where);
    if (greeting.member == self_ && greeting.life != own_) twin(greeting.life);
    if (greeting.member != peer.id)
      throw BadMessage("another member answers", where, "correct `at` of the members in the fleet file");
    if (peer.welcomed) return;
    std::vector<Accepted*> older;
    for (auto& other : accepted_) {
      if (!other->greeted || other->from != peer.id) continue;
      if (other->life > greeting.life) return drop(peer, "an old life of it answers");
      if (other->life < greeting.life) older.push_back(other.get());
    }
    for (auto* other : older) shut(*other);
    peer.welcomed = true, peer.life = greeting.life, peer.since = loop_.now();
    peer.frame_most = std::min<std::uint64_t>(greeting.frame_most, frame_most_);
    peer.least = peer.least_before = -1, peer.window = loop_.now(), peer.unsent = 0;
    notices_.push_back({peer.id, peer.life, true}), flush_.set(loop_.now());
    say(peer.name, "link to " + peer.name + " up");
    ping(peer);
  }

  void ping(Dialled& peer) {
    if (peer.awaited >= 0) return;
    peer.pinged = loop_.now(), peer.awaited = EventLoop::monotonic_time(), peer.used = false;
    put(peer, own_frame(Own::ping, Number{++peer.ping}));
  }

  void put(Dialled& peer, std::string_view frame) {
    peer.batch += frame;
    if (peer.batch.size() >= batch_most) write(peer);
    else flush_.set(loop_.now());
  }

  void write(Dialled& peer) {
    if (!peer.stream || peer.batch.empty()) return;
    peer.stream->send(peer.batch);
    peer.batch.clear();
    if (peer.batch.capacity() > batch_most) peer.batch.shrink_to_fit();
  }

  bool send(MemberId to, Channel channel, std::string_view payload) {
    auto found = dialled_.find(to);
    if (found == dialled_.end() || !found->second.welcomed) return false;
    auto& peer = found->second;
    if (payload.size() + 1 > peer.frame_most) {
      say(peer.name,
          BadMessage("a message of " + std::to_string(payload.size()) + " bytes is too large to send",
                     "to " + peer.name, "raise frame_kb in all fleet files")
              .what());
      return false;
    }
    auto more = head + 1 + payload.size();
    if (peer.stream->unsent_bytes() + peer.batch.size() + more > queue_most_) write(peer);
    // Guards against memory that a slow peer would hold, and against news grown old: it is caught up later.
    if (peer.stream->unsent_bytes() + more > queue_most_) {
      drop(peer, "slower than its queue of " + std::to_string(queue_most_ / 1024) + " KB");
      return false;
    }
    put_frame(peer.batch, static_cast<std::uint8_t>(channel), payload);
    peer.used = true;
    if (loop_.now() - peer.pinged >= ping_gap) ping(peer);
    if (peer.batch.size() >= batch_most) write(peer);
    else flush_.set(loop_.now());
    return true;
  }

  // The end of a round: what was sent in it goes in one write, and what changed is told, outside of any call
  // that the parts made.
  void flush() {
    for (auto& [id, peer] : dialled_) write(peer);
    auto notices = std::exchange(notices_, {});
    for (const auto& notice : notices)
      if (link_.on_link_change) link_.on_link_change(notice.peer, notice.life, notice.up);
    auto again = std::exchange(again_, {});
    for (auto* waiting : again) read(*waiting);
  }

  // ---- what is accepted: all that this member hears

  void listen() {
    if (listener_ || loop_.now() < listen_next_) return;
    try {
      listener_ = std::make_unique<Listener>(loop_, here_, [this](int fd) { accept(fd); });
    } catch (const std::exception& error) {
      // A relay that takes another's place finds the address still held for a moment.
      listen_next_ = loop_.now() + look_every;
      if (loop_.now() - listen_said_ < accepted_silence) return;
      listen_said_ = loop_.now();
      log_line("%s", fleet::CannotListen(error.what(), "fleet file, `at` of this member",
                                         "free the address or correct it; it is tried again")
                         .what());
    }
  }

  void accept(int fd) {
    auto peer = std::make_unique<Accepted>();
    auto* at = peer.get();
    peer->where = remote_of(fd), peer->since = peer->heard = loop_.now();
    peer->stream = std::make_unique<Stream>(loop_, fd);
    peer->stream->on_data = [this, at] { read(*at); };
    peer->stream->on_close = [this, at] { read(*at, true), shut(*at); };
    accepted_.push_back(std::move(peer));
    // Guards against strangers that hold descriptors: the oldest of those that said nothing gives way.
    std::size_t strangers = 0;
    Accepted* oldest = nullptr;
    for (auto& other : accepted_)
      if (!other->greeted || other->refused) ++strangers, oldest = oldest ? oldest : other.get();
    if (strangers > dialled_.size() + strangers_more)
      refuse(*oldest, "too many connections without a greeting", "find out who dials this address");
  }

  void shut(Accepted& peer) {
    if (std::exchange(peer.gone, true)) return;
    peer.stream->close();
    again_.erase(&peer);
    for (auto at = accepted_.begin(); at != accepted_.end(); ++at)
      if (at->get() == &peer) {
        loop_.defer_delete(std::move(*at));
        accepted_.erase(at);
        return;
      }
  }

  void refuse(Accepted& peer, const std::string& what, const std::string& remedy) {
    say(peer.greeted ? peer.where : "strangers", BadMessage(what, peer.where, remedy).what());
    shut(peer);
  }

  // ended: the last words of one that left; no more than one read brings, so none are lost to the bound.
  void read(Accepted& peer, bool ended = false) {
    if (peer.gone) return;  // it lives on until the end of the round
    auto* stream = peer.stream.get();
    if (peer.refused) return stream->consume(stream->received().size());
    auto bytes = stream->received();
    std::size_t used = 0;
    int handled = 0;
    peer.heard = loop_.now();
    try {
      while (ended || handled < frames_a_turn) {
        auto frame = next_frame(bytes.substr(used), peer.greeted ? frame_most_ : own_most, peer.where);
        if (!frame) break;
        used += frame->size, ++handled;
        take(peer, *frame);
        if (peer.gone) return;
      }
    } catch (const fleet::FleetError& error) {
      named(peer.greeted ? peer.where : "strangers", peer.where, error);
      return shut(peer);
    }
    stream->consume(used);
    // Guards against a peer that fills a turn with its messages: the others have their part of each round.
    if (ended || handled < frames_a_turn) return stream->enable_reading(true);
    stream->enable_reading(false);
    again_.insert(&peer), flush_.set(loop_.now());
  }

  void take(Accepted& peer, const Frame& frame) {
    auto flood = [&](bool over) {
      if (over) throw BadMessage("a flood of messages", peer.where, "look at that relay; it is let in again");
    };
    flood(peer.frames.over(loop_.now(), frames_a_second));
    if (frame.channel == own_channel) {
      flood(peer.own.over(loop_.now(), own_a_second));
      if (frame.payload.empty())
        throw BadMessage("an empty message", peer.where, "have all run known versions");
      auto kind = static_cast<Own>(frame.payload[0]);
      if (!peer.greeted) {
        if (kind != Own::greeting) throw BadMessage("no greeting", peer.where, "have only members dial here");
        return greet(peer, unpacked<Greeting>(frame.payload.substr(1)));
      }
      if (kind == Own::ping)
        peer.stream->send(own_frame(Own::pong, unpacked<Number>(frame.payload.substr(1))));
      return;  // kinds of later versions are skipped
    }
    if (!peer.greeted) throw BadMessage("no greeting", peer.where, "have only members dial here");
    if (frame.channel > last_channel) {
      if (peer.version > wire_version) return;  // a newer peer may say more than this one knows
      throw BadMessage("an unknown channel", peer.where,
                       "have all members run versions that know each other");
    }
    if (link_.on_message) link_.on_message(peer.from, static_cast<Channel>(frame.channel), frame.payload);
  }

  static std::string quoted(const std::string& text) {
    std::string out;
    for (char c : text.substr(0, 40)) out += c > ' ' && c < 127 ? c : '?';
    return "'" + out + "'";
  }

  void check(const Greeting& greeting, const std::string& where) const {
    if (greeting.magic != magic) throw BadMessage("no greeting", where, "have only members dial each other");
    if (greeting.fleet != fleet_)
      throw BadMessage("a greeting of the fleet " + quoted(greeting.fleet), where,
                       "give each fleet addresses of its own");
    if (greeting.version < least_version || greeting.least > wire_version)
      throw BadMessage("wire version " + std::to_string(greeting.version) + ", at least " +
                           std::to_string(greeting.least) + "; here " + std::to_string(wire_version),
                       where, "replace the older relay first");
  }

  void greet(Accepted& peer, const Greeting& greeting) {
    check(greeting, peer.where);
    if (greeting.member == self_) {
      if (greeting.life == own_)
        throw BadMessage("this relay dialled itself", peer.where, "correct `at` of the members");
      twin(greeting.life);
      throw fleet::DuplicateMember("another process says it is this member", peer.where,
                                   "end one of them; give each relay a name and a state folder of its own");
    }
    auto found = dialled_.find(greeting.member);
    if (found == dialled_.end())
      throw BadMessage("a member that is not in the fleet file", peer.where,
                       "give all relays the same members");
    auto& back = found->second;
    peer.where = back.name + ", " + peer.where;
    // An old life that still runs, or a restored image of it: told so, and not heard. One with a lower number
    // is taken where the newer life is gone, as after a clock set back and an emptied folder.
    std::optional<Incarnation> newer;
    if (back.welcomed && back.life > greeting.life) newer = back.life;
    std::vector<Accepted*> older;
    for (auto& other : accepted_) {
      if (!other->greeted || other->from != greeting.member) continue;
      if (other->life > greeting.life) newer = other->life;
      else older.push_back(other.get());
    }
    if (newer) {
      say(back.name, fleet::DuplicateMember("an older life of a member is still there", peer.where,
                                            "end the older process, or the one from a restored image")
                         .what());
      peer.refused = true, peer.since = loop_.now();
      peer.stream->send(own_frame(Own::superseded, *newer));
      return peer.stream->close_gracefully();
    }
    for (auto* other : older) shut(*other);  // of one peer the newest connection counts
    if (back.welcomed && back.life < greeting.life) drop(back, "a newer life of it dialled", true);
    peer.greeted = true, peer.from = greeting.member, peer.life = greeting.life,
    peer.version = greeting.version;
    peer.stream->send(this->greeting());
    // It is there: no use in waiting for the next dial, unless the last one has just failed.
    if (!back.stream && loop_.now() - back.since >= redial_first)
      back.next = loop_.now(), look_.set(loop_.now());
  }

  void twin(Incarnation life) {
    if (twins_.size() < 64 && twins_.insert(life).second && link_.on_duplicate_self)
      link_.on_duplicate_self(life);
  }

  // ---- what is late

  void look() {
    auto now = loop_.now();
    // Guards against blaming the peers for a time in which this process did not run.
    bool was_stalled = now - looked_ > stalled;
    auto gap = now - std::exchange(looked_, now);
    listen();
    for (auto& [id, peer] : dialled_) {
      if (was_stalled && peer.awaited >= 0) peer.awaited += gap;
      if (was_stalled) peer.since += peer.welcomed ? 0 : gap;
      if (!peer.stream) {
        if (now >= peer.next) dial(peer);
      } else if (!peer.welcomed) {
        if (now - peer.since > greeting_within) drop(peer, "no greeting in time");
      } else {
        keep(peer);
      }
    }
    auto silence = std::max(accepted_silence, 4 * idle_gap_);
    std::vector<Accepted*> late;
    for (auto& peer : accepted_) {
      if (was_stalled) peer->heard = peer->since = now;
      if (peer->greeted ? now - peer->heard > silence : now - peer->since > greeting_within)
        late.push_back(peer.get());
    }
    for (auto* peer : late) {
      if (peer->greeted || peer->refused) shut(*peer);
      else refuse(*peer, "no greeting in time", "have only members dial here");
    }
    if (said_.size() > 2 * dialled_.size() + 64) said_.clear();
    look_.set(now + look_every);
  }

  // Guards against a connection that is up on one side only: a ping whose pong does not come while nothing
  // is taken either.
  void keep(Dialled& peer) {
    auto now = loop_.now();
    auto unsent = peer.stream->unsent_bytes();
    if (unsent < peer.unsent) peer.moved = now;
    peer.unsent = unsent;
    if (peer.awaited >= 0 && now - std::max(peer.awaited, peer.moved) > pong_within)
      return drop(peer, "silent");
    if (now - peer.window > std::max(trip_window, 2 * idle_gap_))
      peer.window = now, peer.least_before = std::exchange(peer.least, -1);
    if (now - peer.pinged >= (peer.used ? ping_gap : idle_gap_)) ping(peer);
  }

  Millis crossing(MemberId peer) const {
    auto found = dialled_.find(peer);
    if (found == dialled_.end()) return -1;
    auto least = found->second.least, before = found->second.least_before;
    if (least < 0 || (before >= 0 && before < least)) least = before;
    return least < 0 ? -1 : least / 2;
  }

  void refuse(MemberId peer, const std::string& why) {
    for (auto& other : accepted_)
      if (other->greeted && other->from == peer)
        return refuse(*other, why, "have all members run versions that know each other");
  }

  std::size_t connections() const {
    auto dialled = std::count_if(dialled_.begin(), dialled_.end(),
                                 [](const auto& entry) { return entry.second.stream != nullptr; });
    return accepted_.size() + static_cast<std::size_t>(dialled);
  }

  Link& link_;
  EventLoop& loop_;
  const std::string fleet_;
  const MemberId self_;
  const Address here_;
  const std::size_t queue_most_, frame_most_;
  const Incarnation own_;
  std::minstd_rand chance_;
  std::map<MemberId, Dialled> dialled_;
  std::list<std::unique_ptr<Accepted>> accepted_;  // in the order in which they came
  std::set<Accepted*> again_;                      // with messages left for the next round
  std::vector<Notice> notices_;
  std::set<Incarnation> twins_;
  std::map<std::string, Millis> said_;
  std::unique_ptr<Listener> listener_;
  Millis listen_next_ = 0, listen_said_ = -accepted_silence, looked_ = 0, idle_gap_ = ping_gap;
  Timer look_, flush_;
};

Link::Link(EventLoop& loop, const FleetConfig& config, Incarnation own, std::uint64_t seed)
    : parts_(std::make_unique<Parts>(*this, loop, config, own, seed)) {}

Link::~Link() = default;

bool Link::send(MemberId to, Channel channel, std::string_view payload) {
  return parts_->send(to, channel, payload);
}

bool Link::is_up(MemberId peer) const {
  auto found = parts_->dialled_.find(peer);
  return found != parts_->dialled_.end() && found->second.welcomed;
}

Millis Link::one_way_delay(MemberId peer) const { return parts_->crossing(peer); }

void Link::reject_peer(MemberId peer, const std::string& why) { parts_->refuse(peer, why); }

std::size_t Link::connection_count() const { return parts_->connections(); }

}  // namespace rockcrank::peer
