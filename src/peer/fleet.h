// Owns the fleet part of one relay as a whole: membership, link and the parts, in the order in which they
// hear of things. The relay has one, or none where no fleet file is named. It must never decide, and never
// hold what a part owns.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "peer/component.h"

namespace rockcrank::peer {

class Fleet {
 public:
  // Reads no file but the life number in the folder. around lives longer.
  Fleet(RelayContext& around, FleetConfig config, const std::string& state_folder, std::uint64_t seed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void start();  // once the relay has told the decision module of its list
  void before_turn();
  void after_turn(const Actions& decided);
  void on_store_record(char kind, DocId doc, int transmission);
  void on_outcome(const Outcome& outcome);
  void set_offline(const std::string& endpoint, bool out);
  bool may_acknowledge(DocId doc);
  bool owns(DocId doc);
  bool may_send(DocId doc, int transmission);
  bool may_report_end(DocId doc);
  void leave();
  std::string summary() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

// Each part's own maker, in its own file under src/peer/: none where the fleet file leaves it off.
std::unique_ptr<FleetComponent> make_shared_state(
    const ComponentContext& place);                                           // registers, and the state file
std::unique_ptr<FleetComponent> make_custody(const ComponentContext& place);  // documents
std::unique_ptr<FleetComponent> make_warmup(const ComponentContext& place);
std::unique_ptr<FleetComponent> make_streams(const ComponentContext& place);

}  // namespace rockcrank::peer
