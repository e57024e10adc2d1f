// Which endpoint's process is at an address. A process that ends may be followed at its address by that of
// another endpoint, while the list still has the first one: a call to the first would reach the second. Free
// of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {

// An endpoint as it is listed, with its address.
struct AddressClaim {
  EndpointId endpoint{};
  EndpointStatus status = EndpointStatus::ready;
  std::string address;    // empty: listed by its id alone
  Millis started_at = 0;  // Unix time at which its process started; 0: long ago, or not known
};

// An endpoint that is listed at an address at which another one's process has started since. True for good: a
// process that started before that one has ended. Where the times are alike, it is known by the order of
// listing only, and counts against the other one alone.
struct SupersededEndpoint {
  EndpointId endpoint{};
  std::string address;
  Millis successor_started_at = 0;  // Unix time
  bool operator==(const SupersededEndpoint&) const = default;
};

class EndpointAddresses {
 public:
  // Takes an update of the list. Returns the endpoints that are listed as ready or were before, and whose
  // address is now another endpoint's: they are gone, whatever the list says. full: endpoints that it leaves
  // out have no address any more.
  std::vector<EndpointId> update(const std::vector<AddressClaim>& listed, bool full);
  void forget(EndpointId endpoint);                       // but for what the list still has
  std::size_t size() const { return occupants_.size(); }  // addresses whose endpoint is known

  // What the next process has to know after a restart, as its first list may be older: endpoints that the
  // list still has. restore() returns those that were taken for ready until now.
  std::vector<SupersededEndpoint> superseded() const;
  std::vector<EndpointId> restore(const std::vector<SupersededEndpoint>& superseded);

  // All of this, for the process that replaces this one. import_state() throws where it cannot be read.
  std::string export_state();
  void import_state(const std::string& state);

 private:
  struct Occupant {
    Millis started_at = 0;
    std::uint64_t listed_in = 0;  // the update in which it came to this address
    auto fields() { return std::tie(started_at, listed_in); }
  };
  // More than one only while nothing tells which of them is there.
  using Occupants = std::map<EndpointId, Occupant>;
  using ClaimsByEndpoint = std::map<EndpointId, const AddressClaim*>;
  struct Supersession {
    Millis successor_started_at = 0;
    bool listed = true;  // the list still has the endpoint at this address
    auto fields() { return std::tie(successor_started_at, listed); }
  };

  void remove_departed(const ClaimsByEndpoint& claims, bool full);
  bool is_outdated(const AddressClaim& claim);
  void add_occupant(const AddressClaim& claim);
  std::vector<EndpointId> remove_superseded(const std::string& address);
  bool is_superseded(EndpointId endpoint, const std::string& address) const;
  auto fields() { return std::tie(updates_, occupants_, superseded_); }

  std::uint64_t updates_ = 0;
  std::map<std::string, Occupants> occupants_;
  std::map<std::pair<EndpointId, std::string>, Supersession> superseded_;
};

}  // namespace rockcrank
