// The division of the process's memory. What is left for clients, after the program itself and its store, is
// divided so that about a third stays free for the allocator.

#include "decision/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace rockcrank {
namespace {

constexpr std::size_t program_bytes = 8'000'000;  // code, libraries, endpoint list, calls, and their answers
// Of the folder's limit: its files, the documents in memory, queued records, and a rewrite of the file.
constexpr std::size_t store_copies = 4;
constexpr std::size_t min_client_bytes = 2'000'000;  // enough for a few dozen requests of the largest size
constexpr std::size_t received_divisor = 2, unsent_divisor = 8;

std::size_t held(ClientBuffer kind, const ClientUse& use) {
  return kind == ClientBuffer::received ? use.received_bytes : use.unsent_bytes;
}

// The lowest gives way first.
std::tuple<bool, bool, Millis, std::uint64_t> shed_rank(ClientBuffer kind, const ClientUse& use) {
  const bool is_received = kind == ClientBuffer::received;
  return {is_received && use.has_whole_command, is_received && use.has_completed_command, use.waiting_since,
          use.client};
}

}  // namespace

MemoryBudget::MemoryBudget(const ProcessLimits& limits) {
  if (limits.memory_bytes == 0) return;
  const std::size_t reserved = program_bytes + store_copies * limits.disk_bytes;
  const std::size_t left = limits.memory_bytes - std::min(limits.memory_bytes, reserved);
  const std::size_t for_clients = std::max(left, min_client_bytes);
  received_ = for_clients / received_divisor;
  unsent_ = for_clients / unsent_divisor;
}

std::optional<std::uint64_t> MemoryBudget::choose_to_shed(ClientBuffer kind,
                                                          const std::vector<ClientUse>& uses) {
  const ClientUse* chosen = nullptr;
  for (const ClientUse& use : uses) {
    if (held(kind, use) == 0) continue;
    if (!chosen || shed_rank(kind, use) < shed_rank(kind, *chosen)) chosen = &use;
  }
  if (!chosen) return std::nullopt;
  return chosen->client;
}

}  // namespace rockcrank
