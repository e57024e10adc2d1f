// One client connection: its commands, and their replies in the order of the commands. Nothing here blocks on
// a client.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/clients.h"

namespace rockcrank {

class Clients::Client {
 public:
  Client(Clients& owner, std::uint64_t number, int fd);
  Client(Clients& owner, std::uint64_t number, const ConnectionSnapshot& snapshot);
  ConnectionSnapshot snapshot() const;

  bool is_idle() const;
  bool is_between_commands() const { return has_sent_command() && !closing_ && is_idle(); }
  // No reply is pending, and no unread bytes have arrived.
  bool can_be_closed() const { return is_idle() && (closing_ || stream_.has_no_pending_input()); }
  bool has_sent_command() const { return first_command_ > 0; }
  Millis last_used_at() const { return last_used_at_; }
  std::size_t unanswered_commands() const { return replies_.size(); }
  std::size_t unread_bytes() const { return stream_.received().size(); }
  ClientBytes held_bytes() const { return {stream_.input_capacity(), stream_.output_capacity()}; }
  // What the owner has counted of it last.
  ClientBytes counted_bytes() const { return counted_bytes_; }
  void set_counted_bytes(const ClientBytes& bytes) { counted_bytes_ = bytes; }
  ClientUse use() const;
  // The owner no longer has it; it lives until the end of the loop's iteration.
  void remove();
  bool is_removed() const { return removed_; }
  // Lowest is evicted first: connections closed here, then those without a command yet, then those unused for
  // longest.
  std::pair<int, Millis> eviction_rank() const;

  void reply(std::uint64_t command, const std::string& text);
  // Goes on after a handover.
  void resume();
  // Reads on where replies made room since reading was paused.
  void resume_reading();
  // Closes only between commands: one that has arrived in part is still answered if the rest can come, and so
  // are those that arrived before reading was paused.
  void close_if_idle();
  // Called at the end of this process. Commands that have arrived and were not accepted yet, the last one
  // perhaps in part, never ran, so the client may send them to another relay.
  void close_now();
  void close_to_free_descriptor();
  // Gives up what it holds of this kind: commands that were not accepted are refused, unread replies dropped.
  void shed(ClientBuffer kind);

 private:
  enum class ReadEnd { out_of_commands, paused, turn_is_over };

  void set_callbacks();
  void record_close(CloseReason reason) { owner_.record_close(reason, number_, replies_.size()); }
  void leave();
  void finish(CloseReason reason);
  void finish();
  void on_timeout();
  bool can_resume() const { return !reading_ && !closing_ && !must_pause(); }
  bool has_unread_commands() const { return !reading_ && !stream_.received().empty(); }
  bool must_pause() const;
  void flush_replies();
  void read_arrived();
  void read_rest_of_command();
  void read();
  ReadEnd execute_received();
  void pause_reading();
  void refuse_received();
  bool has_whole_command() const;
  void execute(const std::vector<std::string_view>& arguments, std::uint64_t number);

  Clients& owner_;
  const std::uint64_t number_;
  Stream stream_;
  Timer timer_;
  std::deque<std::string> replies_;  // in command order; empty: not given yet
  std::uint64_t first_command_ = 0;  // command number of replies_.front()
  bool reading_ = true, closing_ = false, input_ended_ = false;
  bool removed_ = false;
  bool refusing_ = false;  // documents are no longer accepted
  std::size_t refused_commands_ = 0;
  std::size_t missing_bytes_ = 0;  // of the command received in part, at least
  Millis last_used_at_ = 0;
  Millis command_begun_at_ = 0;  // bytes that are not executed yet wait since then; 0: there are none
  Millis unsent_since_ = 0;
  ClientBytes counted_bytes_;
};

}  // namespace rockcrank
