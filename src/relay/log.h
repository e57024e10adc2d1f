// The relay's log: one line per call on standard error, rate-limited so that a burst cannot stall the event
// loop.
#pragma once

namespace rockcrank {

void log_line(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace rockcrank
