// What an answer does to the document of its call. Connections and the relay ask here and have no opinion of
// their own; docs/sockets.md has the table, with the protocol's sentence for each row.
#pragma once

#include <cstdint>
#include <string_view>

#include "decision/decision.h"

namespace rockcrank {

// How a call with an answer ended.
enum class CallEnd : std::uint8_t {
  proved_answer,    // the answer is surely that of this call
  accepted_answer,  // not proved, and no other answer came for as long as acceptance_delay() says
  timed_out,        // the others: an answer that is not proved had come, and was not accepted yet
  canceled,
  connection_lost,  // also where the endpoint closed it right behind the answer
  disputed          // answers to this call disagree, and none is proved
};

struct AnswerVerdict {
  TransmissionResult result = TransmissionResult::error;
  DocumentEnd end = DocumentEnd::none;
  bool accepted = false;  // its waits and load hints count, and its connection may carry a further call
};

AnswerKind kind_of_status(int status, bool slots_taken);
AnswerKind kind_of_item_state(std::string_view state);  // of a document in an answer to several

AnswerVerdict judge_answer(AnswerKind kind, CallEnd end);
// Another answer to this call came after one of this kind, and does not end the document: the result of the
// call.
AnswerVerdict judge_disputed_end(const AnswerVerdict& last);
// Whether an answer of this kind ends its document, so that no further call may follow while it is not
// disproved.
bool ends_document(AnswerKind kind);
// Whether that has to outlive this process at once, before the call ends: the answer says that the call never
// ran, so nothing else would keep the next process from calling again.
bool must_be_recorded(AnswerKind kind);

}  // namespace rockcrank
