// One object a client's connection, kept in the order of its commands; clients.h says what it owns. Nothing
// here may wait for a client, nor let one hold up another.

#include "relay/clients.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <deque>
#include <utility>
#include <vector>

#include "relay/log.h"
#include "relay/resp.h"

namespace rockcrank {
namespace {

constexpr std::size_t command_most = 65536 + 4096;  // a body and the words before it
constexpr std::size_t words_most = 16;
constexpr std::size_t unsent_most = 65536;    // a client that does not read is not read from either
constexpr Millis look_again = 50;             // for a connection out of use, while all are taken
constexpr Millis whole_within = 2000;         // the platform's: so long may a connection owe a request
constexpr Millis linger = 1000;               // for the other side's end, after the last answer
constexpr std::size_t unanswered_most = 128;  // commands of one client awaiting their answers

bool is(std::string_view word, std::string_view name) {
  return word.size() == name.size() && std::equal(word.begin(), word.end(), name.begin(), [](char a, char b) {
           return std::toupper(static_cast<unsigned char>(a)) == b;
         });
}

}  // namespace

const char* name_of(CloseReason reason) {
  static constexpr std::array<const char*, close_reason_count> names = {
      "malformed_command", "incomplete_command", "never_asked", "not_reading", "made_room",
      "too_many_at_rest",  "descriptors_short",  "shutdown",    "client_gone"};
  return names[static_cast<std::size_t>(reason)];
}

class Clients::Client {
 public:
  Client(Clients& owner, std::uint64_t number, int fd)
      : owner_(owner), number_(number), stream_(owner.loop_, fd), due_(owner.loop_, [this] { late(); }) {
    used_at_ = owner_.loop_.now();
    due_.set(used_at_ + whole_within);
    hear();
  }

  Client(Clients& owner, std::uint64_t number, const ConnectionState& kept)
      : owner_(owner),
        number_(number),
        stream_(owner.loop_, kept.stream),
        due_(owner.loop_, [this] { late(); }) {
    hear();
    first_ = kept.has_sent_command, finishing_ = kept.closing, input_over_ = kept.input_ended,
    used_at_ = kept.last_used_at;
    due_.set(owner_.loop_.now() + (finishing_ ? linger : whole_within));
    if (input_over_) stream_.enable_reading(false);
  }
  ConnectionState keep() const {
    return {stream_.snapshot(), has_asked(), input_over_, finishing_, used_at_};
  }
  void give_way() {
    note_close(CloseReason::out_of_descriptors);
    stream_.close(), due_.clear();
    owner_.remove(number_);
  }
  void resume() {
    if (finishing_) stream_.close_gracefully();
    else read();
  }

  bool is_idle() const {
    return answers_.empty() && stream_.unsent_bytes() == 0 && (finishing_ || stream_.received().empty());
  }
  bool at_rest() const { return has_asked() && !finishing_ && is_idle(); }
  Millis used_at() const { return used_at_; }
  bool has_asked() const { return first_ > 0; }
  // Nothing is open, and no request has arrived that was not read yet.
  bool may_make_way() const { return is_idle() && (finishing_ || stream_.has_no_pending_input()); }
  // Who makes way first: those ended here, those that have not asked yet, the ones unused for longest.
  std::pair<int, Millis> merit() const { return {finishing_ ? 0 : has_asked() ? 2 : 1, used_at_}; }

  void answer(std::uint64_t command, const std::string& text) {
    if (command < first_ || command - first_ >= answers_.size()) return;
    answers_[command - first_] = text;
    pass_on();
    if (finishing_) return finish();
    go_on();
    if (input_over_) return close_if_idle();
    if (at_rest()) owner_.evict_excess_idle();
  }

  // Between requests only: one that has arrived in part is still answered, if the rest can come.
  void close_if_idle() {
    if (!answers_.empty()) return;
    if (input_over_) finish();
    else if (stream_.received().empty() && stream_.has_no_pending_input()) finish(CloseReason::shutdown);
  }

  // At the end of this process. What has come of a command never ran, so the client may hand it in elsewhere.
  void close_now() {
    if (finishing_) return;
    if (!stream_.received().empty()) answers_.emplace_back("-BUSY\r\n");
    finish(CloseReason::shutdown);
  }

 private:
  void hear() {
    stream_.on_data = [this] { read(); };
    stream_.on_drain = [this] { go_on(); };
    stream_.on_close = [this] {
      if (!answers_.empty()) note_close(CloseReason::client_gone);
      owner_.remove(number_);
    };
    // Whoever has ended its sending still gets its answers.
    stream_.on_half_close = [this] {
      input_over_ = true;
      close_if_idle();
    };
  }

  void note_close(CloseReason reason) { owner_.record_close(reason, number_, answers_.size()); }

  void finish(CloseReason reason) {
    if (!finishing_) note_close(reason);
    finish();
  }

  void finish() {
    if (!std::exchange(finishing_, true)) due_.set(owner_.loop_.now() + linger);
    pass_on();
    if (answers_.empty()) stream_.close_gracefully();
  }

  // Guards against clients that stay silent, send half a command, do not read, or never end a connection that
  // was ended here: each would hold its descriptor for good. One with an open request is waited for.
  void late() {
    if (answers_.empty() && (finishing_ || stream_.unsent_bytes() > 0)) {
      if (stream_.unsent_bytes() > 0) note_close(CloseReason::not_reading);
      return owner_.remove(number_);
    }
    if (!answers_.empty()) return due_.set(owner_.loop_.now() + linger);
    if (has_asked() && stream_.received().empty()) return;  // at rest: closed only to make room
    if (stream_.received().empty()) return finish(CloseReason::no_command);
    answers_.emplace_back("-ERR incomplete command\r\n");
    finish(CloseReason::incomplete_command);
  }

  void go_on() {
    if (reading_ || finishing_ || paused()) return;
    reading_ = true;
    stream_.enable_reading(!input_over_);
    read();
  }

  bool paused() const { return answers_.size() >= unanswered_most || stream_.unsent_bytes() >= unsent_most; }

  void pass_on() {
    std::string out;
    while (!answers_.empty() && !answers_.front().empty()) {
      out += answers_.front();
      answers_.pop_front();
      ++first_;
    }
    if (!out.empty()) stream_.send(out);
  }

  void read() {
    used_at_ = owner_.loop_.now();
    auto before = first_ + answers_.size();
    while (stream_.state() == Stream::State::connected && !finishing_) {
      // Guards against hundreds of commands at once whose answers are all there: they go before any pause.
      pass_on();
      if (paused()) {
        reading_ = false;
        due_.set(used_at_ + whole_within);
        return stream_.enable_reading(false);
      }
      auto command = parse_command(stream_.received(), words_most, command_most);
      if (command.state == Command::State::partial) break;
      answers_.emplace_back();
      auto number = first_ + answers_.size() - 1;
      if (command.state == Command::State::malformed) {
        answers_.back() = "-ERR malformed command\r\n";
        return finish(CloseReason::malformed_command);
      }
      carry_out(command.arguments, number);
      stream_.consume(command.size);
    }
    pass_on();
    if (!finishing_ && before != first_ + answers_.size()) due_.set(used_at_ + whole_within);
    if (owner_.closing_) return close_if_idle();
    if (at_rest()) owner_.evict_excess_idle();
  }

  void carry_out(const std::vector<std::string_view>& words, std::uint64_t number) {
    auto say = [&](const char* text) { answers_[number - first_] = text; };
    if (words.empty()) return say("-ERR empty command\r\n");
    if (is(words[0], "PING")) return say("+PONG\r\n");
    if (!is(words[0], "ENQUEUE")) return say("-ERR unknown command\r\n");
    if (words.size() != 5) return say("-ERR ENQUEUE takes key, id, list and body\r\n");
    owner_.on_enqueue({words[1], words[2], words[3], words[4]}, {number_, number});
  }

  Clients& owner_;
  const std::uint64_t number_;
  Stream stream_;
  Timer due_;
  std::deque<std::string> answers_;  // empty: not yet given
  std::uint64_t first_ = 0;          // the number of the first of them
  bool reading_ = true, finishing_ = false, input_over_ = false;
  Millis used_at_ = 0;
};

Clients::Clients(EventLoop& loop, const Address& at, int passed_socket, const Limits& limits)
    : loop_(loop), limits_(limits), full_timer_(loop, [this] { evict_or_pause(); }) {
  auto take_one = [this](int fd) { on_accept(fd); };
  listener_ = passed_socket >= 0 ? std::make_unique<Listener>(loop_, passed_socket, take_one)
                                 : std::make_unique<Listener>(loop_, at, take_one);
}

std::vector<Clients::ConnectionState> Clients::export_connections() const {
  std::vector<ConnectionState> all;
  for (const auto& [number, client] : clients_) all.push_back(client->keep());
  return all;
}

void Clients::import_connections(const std::vector<ConnectionState>& kept) {
  for (const auto& one : kept) {
    auto number = ++last_client_;
    clients_[number] = std::make_unique<Client>(*this, number, one);
  }
}

// Each may end, and go, meanwhile.
template <typename Taker>
void Clients::for_each(Taker take) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, client] : clients_) numbers.push_back(number);
  for (auto number : numbers)
    if (auto found = clients_.find(number); found != clients_.end()) take(*found->second);
}

void Clients::resume_reading() {
  for_each([](Client& client) { client.resume(); });
}

void Clients::close_idle() {
  for_each([](Client& client) {
    if (client.has_asked() && client.may_make_way()) client.give_way();
  });
}

Clients::~Clients() = default;

void Clients::on_accept(int fd) {
  auto number = ++last_client_;
  clients_[number] = std::make_unique<Client>(*this, number, fd);
  if (clients_.size() >= limits_.max_connections) evict_or_pause();
}

// Guards against connections that are kept open unused until no other client gets in: one ended here, one
// that has not asked in a while, or the one unused for longest is closed between two requests. One just come
// may have its first request on the way; only while such fill half of the places do those that have asked
// stay. With none to close, further ones wait in the queue.
void Clients::evict_or_pause() {
  if (!listener_ || clients_.size() < limits_.max_connections) return;
  auto fresh =
      std::count_if(clients_.begin(), clients_.end(), [](const auto& at) { return !at.second->has_asked(); });
  bool flood = 2 * static_cast<std::size_t>(fresh) > limits_.max_connections;
  const Client* oldest = nullptr;
  std::uint64_t number = 0;
  for (const auto& [other, client] : clients_) {
    auto unused = loop_.now() - client->used_at();
    if (client->has_asked() ? flood || unused < 1 : unused < look_again) continue;
    if ((!oldest || client->merit() < oldest->merit()) && client->may_make_way())
      oldest = client.get(), number = other;
  }
  if (oldest) {
    record_close(CloseReason::evicted, number, 0);
    return remove(number);
  }
  listener_->set_paused(true);
  full_timer_.set(loop_.now() + look_again);
}

// Guards against clients that ask once and hold their connection: they may hold only so many, and once all of
// those rest here, nobody asks any more. Beyond the bound the one at rest for longest is closed.
void Clients::evict_excess_idle() {
  std::size_t at_rest = 0;
  const Client* oldest = nullptr;
  std::uint64_t number = 0;
  for (const auto& [other, client] : clients_) {
    if (!client->at_rest()) continue;
    if (++at_rest == 1 || client->used_at() < oldest->used_at()) oldest = client.get(), number = other;
  }
  if (at_rest <= limits_.max_idle || !oldest->may_make_way()) return;
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
  loop_.defer_delete(std::move(found->second));
  clients_.erase(found);
  if (listener_ && clients_.size() < limits_.max_connections)
    listener_->set_paused(false), full_timer_.clear();
}

void Clients::reply(ReplyTo to, const std::string& text) {
  if (auto found = clients_.find(to.client); found != clients_.end()) found->second->answer(to.command, text);
}

void Clients::stop_listening() { listener_.reset(); }

void Clients::close_after_replies() {
  closing_ = true;
  for_each([](Client& client) { client.close_if_idle(); });
}

void Clients::close_now() {
  for_each([](Client& client) { client.close_now(); });
}

}  // namespace rockcrank
