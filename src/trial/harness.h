// Owns the world around the processes under trial, on one thread: the processes and their folders, clients,
// endpoints and the platform's agent for each, a proxy on each ordered pair of members, and the log of all
// that was seen. It must never judge (the auditor does) nor know how the program works within.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "trial/event_loop.h"
#include "trial/log.h"

namespace rockcrank::trial {

using Options = std::map<std::string, std::string>;

struct Setup {
  std::string program;
  std::string fault_library;  // loaded into each process, with faults drawn from the seed; empty: none
  int relays = 3;
  unsigned long seed = 1;
  bool verbose = false;
  bool fleet = true;  // a fleet file is named at all
  bool share = true, documents = false, warm = false, latest = false;
  Options fleet_keys;  // "documents.lease_ms" and the like: instead of the rig's own figures
  nlohmann::json settings;
  double disk_mb = 64;
  std::map<std::string, std::vector<int>> streams;  // document type: subscribers
};
nlohmann::json default_settings();

// How bytes on their way from one member to another fare. hold: as on a link that is cut, nothing comes, and
// what is under way comes late; slow: each piece comes `delay` later.
enum class LinkState { open, cut, slow };

class Harness {
 public:
  explicit Harness(Setup setup);
  ~Harness();
  Harness(const Harness&) = delete;
  Harness& operator=(const Harness&) = delete;

  Setup& setup() { return setup_; }
  std::vector<std::string> relay_names() const;
  bool has_relay(const std::string& name) const { return relays_.count(name) > 0; }
  Millis now() const { return event_loop_.now(); }

  // how: for= hall= rate= kind= of a new one; manner= status, silent, reset, down, shut (503 as an outage);
  // after= ms, wait= s, times= N calls so, then 200 again.
  void set_endpoint(const std::string& name, const Options& how);
  void set_listed_state(const std::string& endpoint, const std::string& state);
  bool has_endpoint(const std::string& name) const { return endpoints_.count(name) > 0; }

  // file_bytes=, config words as a scene tells them. Waits until it answers; false: it does not.
  bool start(const std::string& relay, const Options& words);
  void start_without_waiting(const std::string& relay, const Options& words);  // without waiting
  bool answers_ping(const std::string& relay);  // a PING, on a connection of its own
  void kill(const std::string& relay);
  void suspend(const std::string& relay);
  void resume(const std::string& relay);
  void terminate(const std::string& relay);
  bool is_running(const std::string& relay) const { return relays_.at(relay).pid > 0; }
  bool is_suspended(const std::string& relay) const { return relays_.at(relay).suspended; }
  void empty_folder(const std::string& relay);    // of one that does not run
  void save_folder(const std::string& relay);     // a copy, as a machine image
  void restore_folder(const std::string& relay);  // of one that does not run
  void set_disk_full(const std::string& relay, bool full);
  // All files of a folder but the documents' store: cut off, smeared, or those of another relay.
  void damage_files(const std::string& relay, const std::string& how);
  // Another process under the name of a relay: from the saved folder, with its own ports.
  void run_duplicate(const std::string& relay, bool starts);
  // A process of another fleet that has our members' addresses.
  void run_foreign_relay(bool starts);

  void set_link(const std::string& from, const std::string& to, LinkState state, Millis delay = 0);
  void reset_connections(const std::string& from, const std::string& to);
  void truncate_next(const std::string& from, const std::string& to);  // a frame ends in its middle
  void corrupt_next(const std::string& from, const std::string& to);   // bytes of the next piece are others
  void flood(const std::string& to, const std::string& what);  // junk, large or half, by somebody unknown
  void heal_links();                                           // all links
  // Whether, since `from`, bytes have come through both ways on a connection that each running member dialled
  // to each other one: greetings or pings, and their answers.
  bool all_linked_since(Millis from) const;

  void submit(const std::string& relay, const std::string& id, const Options& words);
  // `times` documents, one `every` ms, while all else goes on.
  void schedule_load(const std::string& relay, const std::string& id, const Options& words, int times,
                     Millis every);
  void set_offline(const std::string& relay, const std::string& endpoint, bool offline);

  bool run_until(Millis within, const std::function<bool()>& holds);
  std::size_t count_entries(const std::string& kind, const Options& wanted, std::size_t from = 0) const;
  std::vector<std::string> documents_without_end() const;  // documents taken on that have no final answer
  bool subscribers_converged() const;                      // each subscriber has had the latest of each key
  bool all_submissions_answered() const;                   // each client that asked has its answer
  bool process_has_logged(const std::string& relay, const std::string& text) const;  // by the process
  std::string process_log(const std::string& relay) const;
  // For a load of its own beside this rig, and what the process costs.
  Address client_address(const std::string& relay) const { return {host_, relays_.at(relay).clients}; }
  pid_t pid_of(const std::string& relay) const { return relays_.at(relay).pid; }
  void record(const std::string& kind, std::vector<std::pair<std::string, std::string>> fields);
  Log& log() { return log_; }

 private:
  using Json = nlohmann::json;
  using Pair = std::pair<std::string, std::string>;
  struct Endpoint {
    std::string name, zone, state = "Ready";
    int dest = 0, kind = 0;
    double rate = 1;
    Options how;
    int times = -1;                                  // calls left that the manner holds for; negative: all
    std::map<std::string, std::uint64_t> listeners;  // by relay, so that a call tells who made it
    std::map<std::string, int> ports;
    bool failing = false;
  };
  struct Relay {
    std::string name, zone;
    pid_t pid = -1;
    int life = 0, clients = 0, admin = 0, agent = 0, members = 0;
    bool suspended = false, asked_to_stop = false;
    std::map<int, std::uint64_t> watches;  // socket: version watched from (as negative: none)
    std::uint64_t file_bytes = 0;
  };
  struct Client {
    std::uint64_t socket_id = 0;
    std::deque<std::string> asked;
  };
  struct Document {
    std::string relay;
    bool accepted = false, ended = false, awaiting_answer = true;
  };
  struct ProxiedDirection {  // one direction of one proxied connection
    Pair dialled;            // the proxy that it came through
    bool back = false;
    std::uint64_t in = 0, out = 0;
  };
  struct LinkSetting {
    LinkState state = LinkState::open;
    Millis delay = 0;
  };
  int next_port() { return port_++; }
  void write_files(Relay& relay);
  std::string folder(const std::string& relay) const { return folder_ + "/" + relay; }
  pid_t spawn(const std::string& folder, const Options& variables, std::uint64_t file_bytes);
  void reap();

  void accept_agent(const std::string& relay, Socket& sock);
  void handle_agent_request(const std::string& relay, std::uint64_t sock);
  void send_list(Relay& relay, std::uint64_t sock);
  Json list_for(const std::string& relay);
  void record_listed(const std::string& relay);
  void open_endpoint(Endpoint& endpoint);
  void close_endpoint(Endpoint& endpoint);
  void handle_call_data(const std::string& endpoint, const std::string& relay, std::uint64_t sock);
  void handle_call(Endpoint& endpoint, const std::string& relay, Socket& sock, const std::string& head,
                   const std::string& body, Millis began);
  void open_proxy(const std::string& from, const std::string& to);
  void forward(const Pair& dialled, bool back, std::uint64_t in, std::uint64_t out);
  void handle_client_data(const std::string& relay, const std::string& client);

  Setup setup_;
  EventLoop event_loop_;
  std::string host_, folder_;
  int port_ = 20000;
  std::map<std::string, Relay> relays_;
  std::map<std::string, Endpoint> endpoints_;
  std::int64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Client>> clients_;
  std::map<std::string, Document> documents_;
  std::map<Pair, int> proxy_ports_;  // its port
  std::map<Pair, LinkSetting> link_states_;
  std::map<Pair, std::vector<ProxiedDirection>> proxied_;  // by the direction of bytes
  std::set<Pair> truncated_next_, corrupted_next_;
  std::map<std::pair<Pair, bool>, Millis> last_passed_;  // when bytes last came through, by proxy and way
  std::map<std::string, std::set<std::uint64_t>> polling_agents_;
  std::map<std::uint64_t, std::int64_t> poll_versions_;
  std::map<std::uint64_t, std::set<std::string>> endpoint_sockets_;
  std::map<std::string, std::set<std::uint64_t>> connections_;  // at an endpoint
  std::vector<pid_t> duplicates_;
  pid_t foreign_relay_ = -1;
  Log log_;
};

}  // namespace rockcrank::trial
