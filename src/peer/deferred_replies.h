// Replies that could not be sent because the link to their receiver is not up yet. Members dial each other
// independently, so a request can arrive shortly before the link for its reply exists.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::peer {

class DeferredReplies {
 public:
  // max_age: after that the receiver has stopped waiting for the reply.
  explicit DeferredReplies(Millis max_age) : max_age_(max_age) {}

  void add(fleet::MemberId receiver, fleet::Incarnation incarnation, Millis now, std::string payload) {
    auto& replies = replies_[receiver];
    if (replies.size() >= max_replies) replies.pop_front();
    replies.push_back({incarnation, now, std::move(payload)});
  }

  // Removes all replies to this member. Returns those that this incarnation of it still waits for, in order.
  std::vector<std::string> take(fleet::MemberId receiver, fleet::Incarnation incarnation, Millis now) {
    std::vector<std::string> payloads;
    for (auto& reply : std::exchange(replies_[receiver], {}))
      if (reply.incarnation == incarnation && now < reply.added_at + max_age_)
        payloads.push_back(std::move(reply.payload));
    return payloads;
  }

 private:
  static constexpr std::size_t max_replies = 64;  // to one member; the oldest is dropped
  struct Reply {
    fleet::Incarnation incarnation;
    Millis added_at = 0;
    std::string payload;
  };

  const Millis max_age_;
  std::map<fleet::MemberId, std::deque<Reply>> replies_;
};

}  // namespace rockcrank::peer
