// What a state directory holds of custody, and how the states of two processes that used one directory at the
// same time are combined, as while a process is replaced. The functions are commutative, associative and
// idempotent: the result does not depend on the order in which the files of the processes are read, nor on
// how often.
#pragma once

#include <vector>

#include "fleet/custody.h"

namespace rockcrank::fleet {

// Safety: the result votes in no term in which either has voted, and has the newer configuration of the two.
PersistentGroupState merge_group_states(const PersistentGroupState& one, const PersistentGroupState& other);

// The incarnations whose votes the directory holds, oldest first; of more than can be kept, the newest ones.
std::vector<Incarnation> merge_incarnations(const std::vector<Incarnation>& one,
                                            const std::vector<Incarnation>& other);

}  // namespace rockcrank::fleet
