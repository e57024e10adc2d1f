// Keeps in the store which endpoints are listed at an address that another one's process has by now: the next
// process may start with an older list, and would call them there.
#pragma once

#include <string>
#include <vector>

#include "decision/endpoint_addresses.h"
#include "relay/store.h"

namespace rockcrank {

class AddressStore {
 public:
  explicit AddressStore(Store& store) : store_(store) {}

  // What is stored, by this process or one before it. Entries that cannot be read are logged and removed.
  std::vector<SupersededEndpoint> load();
  // Queues what differs from what is stored.
  void save(const std::vector<SupersededEndpoint>& superseded);

  static bool owns_name(const std::string& metadata_name);
  // Of two entries of one name, as two processes may have written: the one of the later process.
  static std::string merge(const std::string& one, const std::string& other);

 private:
  Store& store_;
};

}  // namespace rockcrank
