#include "relay/client_connection.h"

#include <algorithm>
#include <cctype>

#include "relay/resp.h"

namespace rockcrank {
namespace {

constexpr std::size_t max_command_bytes = 65536 + 4096;  // a body of 64 KiB and the other arguments
constexpr std::size_t max_command_arguments = 16;
constexpr Millis command_timeout = 2000;  // set by the platform: for a connection to send a whole command
constexpr Millis close_timeout = 1000;    // for the client to close, after the last reply
constexpr std::size_t max_pending_replies = 128;  // of one client
constexpr std::size_t max_read_bytes = 8192;      // of one event, but for the rest of a large command
constexpr const char* refusal = "-BUSY\r\n";

bool equals_ignoring_case(std::string_view word, std::string_view name) {
  return word.size() == name.size() && std::equal(word.begin(), word.end(), name.begin(), [](char a, char b) {
           return std::toupper(static_cast<unsigned char>(a)) == b;
         });
}

}  // namespace

Clients::Client::Client(Clients& owner, std::uint64_t number, int fd)
    : owner_(owner),
      number_(number),
      stream_(owner.loop_, fd),
      timer_(owner.loop_, [this] { on_timeout(); }) {
  last_used_at_ = owner_.loop_.now();
  timer_.set(last_used_at_ + command_timeout);
  set_callbacks();
}

Clients::Client::Client(Clients& owner, std::uint64_t number, const ConnectionSnapshot& snapshot)
    : owner_(owner),
      number_(number),
      stream_(owner.loop_, snapshot.stream),
      timer_(owner.loop_, [this] { on_timeout(); }) {
  set_callbacks();
  first_command_ = snapshot.has_sent_command, closing_ = snapshot.closing,
  input_ended_ = snapshot.input_ended, last_used_at_ = snapshot.last_used_at;
  timer_.set(owner_.loop_.now() + (closing_ ? close_timeout : command_timeout));
  if (input_ended_) stream_.enable_reading(false);
}

Clients::ConnectionSnapshot Clients::Client::snapshot() const {
  return {stream_.snapshot(), has_sent_command(), input_ended_, closing_, last_used_at_};
}

void Clients::Client::close_to_free_descriptor() {
  record_close(CloseReason::out_of_descriptors);
  owner_.remove(number_);
}

void Clients::Client::resume() {
  if (closing_) stream_.close_gracefully();
  else read();
}

bool Clients::Client::is_idle() const {
  return replies_.empty() && stream_.unsent_bytes() == 0 && (closing_ || stream_.received().empty());
}

std::pair<int, Millis> Clients::Client::eviction_rank() const {
  return {closing_ ? 0 : has_sent_command() ? 2 : 1, last_used_at_};
}

void Clients::Client::reply(std::uint64_t command, const std::string& text) {
  if (command < first_command_ || command - first_command_ >= replies_.size()) return;
  replies_[command - first_command_] = text;
  flush_replies();
  if (closing_) return finish();
  if (can_resume()) owner_.schedule_resume();
  if (input_ended_) return close_if_idle();
  if (is_between_commands()) owner_.evict_excess_idle();
}

void Clients::Client::close_if_idle() {
  if (!replies_.empty() || has_unread_commands()) return;
  if (input_ended_) finish();
  else if (stream_.received().empty() && stream_.has_no_pending_input()) finish(CloseReason::shutdown);
}

void Clients::Client::resume_reading() {
  if (!can_resume()) return;
  // A client that has reset its connection does not wait for what it left behind.
  if (stream_.is_reset()) return leave();
  reading_ = true;
  stream_.enable_reading(!input_ended_);
  read();
}

void Clients::Client::close_now() {
  if (closing_) return;
  refusing_ = true;
  read_arrived();
  if (closing_ || stream_.state() != Stream::State::connected) return;
  if (!stream_.received().empty()) replies_.emplace_back(refusal);
  finish(CloseReason::shutdown);
}

void Clients::Client::set_callbacks() {
  stream_.set_max_read(max_read_bytes);
  stream_.on_data = [this] { read(); };
  stream_.on_drain = [this] {
    owner_.update_use(*this);
    resume_reading();
  };
  stream_.on_close = [this] { leave(); };
  // A client that has closed its sending side still gets its replies.
  stream_.on_half_close = [this] {
    input_ended_ = true;
    close_if_idle();
  };
}

void Clients::Client::remove() {
  removed_ = true;
  stream_.close();
  timer_.clear();
}

void Clients::Client::leave() {
  if (!replies_.empty()) record_close(CloseReason::client_gone);
  owner_.remove(number_);
}

void Clients::Client::finish(CloseReason reason) {
  if (!closing_) record_close(reason);
  finish();
}

void Clients::Client::finish() {
  if (!std::exchange(closing_, true)) timer_.set(owner_.loop_.now() + close_timeout);
  // Nothing more is executed, so nothing more is kept.
  stream_.discard_input();
  stream_.enable_reading(false);
  flush_replies();
  if (replies_.empty()) stream_.close_gracefully();
  owner_.update_use(*this);
}

// Closes clients that stay silent, send half a command, do not read, or don't close a connection that was
// closed here: each would hold its descriptor for good. A client with pending replies is kept.
void Clients::Client::on_timeout() {
  if (replies_.empty() && (closing_ || stream_.unsent_bytes() > 0)) {
    if (stream_.unsent_bytes() > 0) record_close(CloseReason::not_reading);
    return owner_.remove(number_);
  }
  if (!replies_.empty()) return timer_.set(owner_.loop_.now() + close_timeout);
  if (can_resume()) {
    timer_.set(owner_.loop_.now() + command_timeout);
    return resume_reading();
  }
  if (has_sent_command() && stream_.received().empty()) return;  // idle: closed only by eviction
  if (stream_.received().empty()) return finish(CloseReason::no_command);
  replies_.emplace_back("-ERR incomplete command\r\n");
  finish(CloseReason::incomplete_command);
}

bool Clients::Client::must_pause() const {
  return replies_.size() >= max_pending_replies || stream_.unsent_bytes() >= max_unsent_reply_bytes;
}

void Clients::Client::flush_replies() {
  std::string out;
  while (!replies_.empty() && !replies_.front().empty()) {
    out += replies_.front();
    replies_.pop_front();
    ++first_command_;
  }
  if (out.empty()) return;
  const bool was_sent = stream_.unsent_bytes() == 0;
  stream_.send(out);
  if (was_sent && stream_.unsent_bytes() > 0) unsent_since_ = owner_.loop_.now();
  owner_.update_use(*this);
}

// Reads what has arrived, also where reading was paused. What a client sends meanwhile could go on for ever.
void Clients::Client::read_arrived() {
  constexpr std::size_t max_reads = 64;
  reading_ = true;
  stream_.enable_reading(!input_ended_);
  read();
  for (std::size_t reads = 0; reads < max_reads && refused_commands_ < max_commands_refused_at_end; ++reads) {
    if (closing_ || stream_.has_no_pending_input()) return;
    if (stream_.unsent_bytes() >= max_unsent_reply_bytes) return;  // the client does not read
    stream_.read_now();
  }
}

// A large command is read to its end at once: the memory for it is held no longer than needed. Only so many
// are in one turn of the loop, as the others wait meanwhile.
void Clients::Client::read_rest_of_command() {
  while (reading_ && !closing_ && missing_bytes_ > 0 && unread_bytes() >= max_read_bytes) {
    if (!owner_.take_bulk_bytes(missing_bytes_)) return;
    const std::size_t before = unread_bytes();
    stream_.reserve_input(before + missing_bytes_);
    stream_.set_max_read(std::min(missing_bytes_, Stream::default_max_read));
    missing_bytes_ = 0;  // set again by the read that follows
    stream_.read_now();
    stream_.set_max_read(max_read_bytes);
    if (unread_bytes() <= before) return;
  }
}

void Clients::Client::read() {
  const Millis started_at = last_used_at_ = owner_.loop_.now();
  const auto before = first_command_ + replies_.size();
  const ReadEnd end = execute_received();
  if (!stream_.received().empty() && command_begun_at_ == 0) command_begun_at_ = started_at;
  owner_.longest_read_ = std::max(owner_.longest_read_, owner_.loop_.now() - started_at);
  owner_.update_use(*this);
  if (closing_ || stream_.state() != Stream::State::connected) return;
  if (end == ReadEnd::turn_is_over) owner_.schedule_resume();
  if (end != ReadEnd::out_of_commands) return;
  if (before != first_command_ + replies_.size()) timer_.set(last_used_at_ + command_timeout);
  if (owner_.closing_ || input_ended_) return close_if_idle();
  if (is_between_commands()) return owner_.evict_excess_idle();
  read_rest_of_command();
}

// Each connection may execute a number of commands in a turn of the loop, then the others have theirs.
Clients::Client::ReadEnd Clients::Client::execute_received() {
  std::size_t executed = 0;
  missing_bytes_ = 0;
  while (stream_.state() == Stream::State::connected && !closing_) {
    if (replies_.size() >= max_pending_replies) flush_replies();
    if (must_pause() && !refusing_) return pause_reading(), ReadEnd::paused;
    if (executed == max_commands_per_turn && !refusing_) {
      pause_reading();
      return must_pause() ? ReadEnd::paused : ReadEnd::turn_is_over;
    }
    auto command = parse_command(stream_.received(), max_command_arguments, max_command_bytes);
    if (command.state == Command::State::partial) {
      missing_bytes_ = command.min_size > unread_bytes() ? command.min_size - unread_bytes() : 0;
      break;
    }
    replies_.emplace_back();
    auto number = first_command_ + replies_.size() - 1;
    if (command.state == Command::State::malformed) {
      replies_.back() = "-ERR malformed command\r\n";
      finish(CloseReason::malformed_command);
      return ReadEnd::out_of_commands;
    }
    owner_.executing_ = true;
    execute(command.arguments, number);
    owner_.executing_ = false;
    stream_.consume(command.size);
    command_begun_at_ = 0;
    ++executed;
    refused_commands_ += refusing_ ? 1 : 0;
  }
  flush_replies();
  return ReadEnd::out_of_commands;
}

void Clients::Client::pause_reading() {
  flush_replies();
  reading_ = false;
  timer_.set(last_used_at_ + command_timeout);
  stream_.enable_reading(false);
}

bool Clients::Client::has_whole_command() const {
  const auto command = parse_command(stream_.received(), max_command_arguments, max_command_bytes);
  return command.state == Command::State::complete;
}

ClientUse Clients::Client::use() const {
  ClientUse use;
  use.client = number_;
  if (!stream_.received().empty()) use.received_bytes = stream_.input_capacity();
  if (stream_.unsent_bytes() > 0) use.unsent_bytes = stream_.output_capacity();
  use.has_completed_command = has_sent_command();
  use.has_whole_command = has_unread_commands() && has_whole_command();
  use.waiting_since = use.unsent_bytes > 0 ? unsent_since_ : command_begun_at_;
  return use;
}

// A client that does not read cannot be answered. One that has sent a part of a command can send it again.
void Clients::Client::shed(ClientBuffer kind) {
  if (kind == ClientBuffer::unsent || stream_.unsent_bytes() >= max_unsent_reply_bytes) {
    record_close(CloseReason::memory_exceeded);
    return owner_.remove(number_);
  }
  refuse_received();
  if (stream_.received().empty()) return owner_.update_use(*this);
  replies_.emplace_back(refusal);
  finish(CloseReason::memory_exceeded);
}

// None of these commands was executed.
void Clients::Client::refuse_received() {
  while (true) {
    auto command = parse_command(stream_.received(), max_command_arguments, max_command_bytes);
    if (command.state != Command::State::complete) break;
    replies_.emplace_back(refusal);
    stream_.consume(command.size);
  }
  flush_replies();
}

void Clients::Client::execute(const std::vector<std::string_view>& arguments, std::uint64_t number) {
  auto reply = [&](const char* text) { replies_[number - first_command_] = text; };
  if (arguments.empty()) return reply("-ERR empty command\r\n");
  if (equals_ignoring_case(arguments[0], "PING")) return reply("+PONG\r\n");
  if (!equals_ignoring_case(arguments[0], "ENQUEUE")) return reply("-ERR unknown command\r\n");
  if (arguments.size() != 5) return reply("-ERR ENQUEUE takes key, id, list and body\r\n");
  if (refusing_) return reply(refusal);
  owner_.on_enqueue({arguments[1], arguments[2], arguments[3], arguments[4]}, {number_, number});
}

}  // namespace rockcrank
