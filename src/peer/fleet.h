// The fleet side of one relay: membership, link and the optional components, to which it dispatches the
// relay's events. A relay without a fleet file has none. It takes no decisions and holds no state of a
// component.
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
  // Reads only the incarnation number from the folder. relay must outlive this object.
  Fleet(RelayContext& relay, FleetConfig config, const std::string& state_folder, std::uint64_t seed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void start();  // called once the decision module has the endpoint list
  // The journal of the process that this one replaces was recovered. Called before its documents are resumed.
  void on_previous_process_ended();
  void before_turn();
  void after_turn(const Actions& actions);
  void on_store_record(char kind, DocId doc, int transmission);
  void on_outcome(const Outcome& outcome);
  void set_offline(const std::string& endpoint, bool offline);
  bool may_acknowledge(DocId doc);
  bool owns(DocId doc);
  bool may_send(DocId doc, int transmission);
  bool may_report_end(DocId doc);
  void leave();
  std::string summary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Combines two values of a metadata name of the fleet, as Store's MergeMetadata.
std::string merge_metadata(const std::string& name, const std::string& one, const std::string& other);

// Factories of the components; nullptr if the fleet file does not enable the component.
// replicated registers and the state file
std::unique_ptr<FleetComponent> make_shared_state(const ComponentContext& context);
std::unique_ptr<FleetComponent> make_custody(const ComponentContext& context);  // replication of documents
std::unique_ptr<FleetComponent> make_warmup(const ComponentContext& context);
std::unique_ptr<FleetComponent> make_streams(const ComponentContext& context);

}  // namespace rockcrank::peer
