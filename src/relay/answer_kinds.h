// What an HTTP answer says of each document of its call, by the protocol's table.
#pragma once

#include <map>
#include <string>

#include "decision/answer_verdict.h"
#include "relay/http.h"

namespace rockcrank {

AnswerKind kind_of(const HttpResponse& answer);
// What an answer to several documents lists, by id.
std::map<std::string, AnswerKind> listed_kinds(const HttpResponse& answer);

// What an answer says of each document of its call.
class AnswerKinds {
 public:
  AnswerKinds(const HttpResponse& answer, bool is_batch);
  AnswerKind of(const std::string& id) const;

 private:
  AnswerKind kind_;
  bool has_list_;
  std::map<std::string, AnswerKind> listed_;
};

}  // namespace rockcrank
