// Statuses of a whole answer, and the states that an answer to several documents lists.
#include "relay/answer_kinds.h"

#include <nlohmann/json.hpp>

namespace rockcrank {

AnswerKind kind_of(const HttpResponse& answer) {
  return kind_of_status(answer.status, answer.header("X-Line-Busy") == "1");
}

std::map<std::string, AnswerKind> listed_kinds(const HttpResponse& answer) {
  auto states = nlohmann::json::parse(answer.body(), nullptr, false);
  std::map<std::string, AnswerKind> kinds;
  for (const auto& state : states.is_array() ? states : nlohmann::json::array())
    if (state.is_object() && state.contains("id") && state["id"].is_string() && state.contains("state") &&
        state["state"].is_string())
      kinds[state["id"].get<std::string>()] = kind_of_item_state(state["state"].get<std::string>());
  return kinds;
}

AnswerKinds::AnswerKinds(const HttpResponse& answer, bool is_batch)
    : kind_(kind_of(answer)), has_list_(is_batch && answer.status == 200) {
  if (has_list_) listed_ = listed_kinds(answer);
}

AnswerKind AnswerKinds::of(const std::string& id) const {
  if (!has_list_) return kind_;
  auto found = listed_.find(id);
  return found == listed_.end() ? AnswerKind::failed : found->second;
}

}  // namespace rockcrank
