// Owns the relay's log: one line a call on standard error, rate-limited so that a storm of lines cannot stall
// the loop. It must never be the way in which anything else learns what happened.
#pragma once

namespace rockcrank {

void log_line(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace rockcrank
