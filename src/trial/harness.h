// Test harness: runs the relay processes and their folders and simulates clients, endpoints and the
// platform's agent, with a proxy for each ordered pair of members. It records all it sees in a log and checks
// nothing (the auditor does); it knows the relay only from outside.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trial/event_loop.h"
#include "trial/log.h"
#include "trial/messages.h"

namespace rockcrank::trial {

struct Setup {
  std::string program;
  std::string fault_library;  // preloaded into each process, with faults drawn from the seed; empty: none
  int relays = 3;
  unsigned long seed = 1;
  bool verbose = false;
  bool fleet = true;  // whether relays are given a fleet file
  bool share = true, documents = false, warm = false, latest = false;
  Options fleet_keys;  // override the harness's defaults, such as "documents.lease_ms"
  nlohmann::json settings;
  double disk_mb = 64;
  std::map<std::string, std::vector<int>> streams;  // subscribers by document type
};
nlohmann::json default_settings();

// State of one direction between two members. cut: bytes are held back and delivered late, as on a broken
// network path; slow: each chunk is delayed by `delay`.
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

  // how: for=, hall=, rate= and kind= of a new endpoint; manner= a status, silent, reset, down or shut (503
  // during an outage); after= ms, wait= s, cut=1: closed before the body's end, times= N
  // calls before it answers 200 again, nth= N: only each Nth call is answered so.
  void set_endpoint(const std::string& name, const Options& how);
  // The endpoint writes answers twice. every= N: each Nth answer; after= ms behind it, or next= ms behind the
  // next call on its connection; times= further copies; pieces=1: one byte at a time; unique=1: each 200 has
  // a body of its own. Empty: it stops.
  void set_copies(const std::string& name, const Options& how) { endpoints_.at(name).copies = how; }
  // What happens to each Nth answer (every= N) on its way: it goes in pieces of piece= bytes, gap= ms apart;
  // after the share at= of its bytes comes fault=: stall (stall= ms, then the rest), close, reset or
  // half_close. Empty: nothing.
  void set_transport(const std::string& name, const Options& how) { endpoints_.at(name).transport = how; }
  // The agent writes each Nth acknowledgement of reports twice, and fails the request after it. 0: it stops.
  void set_agent_copies(int every) { agent_copies_every_ = every; }
  void set_listed_state(const std::string& name, const std::string& state);
  bool has_endpoint(const std::string& name) const { return endpoints_.count(name) > 0; }

  // Starts a relay and waits until it answers. Returns false if it does not. options: file_bytes= and others
  // of the scene.
  bool start(const std::string& relay_name, const Options& options);
  void start_without_waiting(const std::string& relay_name, const Options& options);
  bool answers_ping(const std::string& relay_name);  // sends a PING on a connection of its own
  void kill(const std::string& relay_name);
  void suspend(const std::string& relay_name);
  void resume(const std::string& relay_name);
  void terminate(const std::string& relay_name);
  void reload(const std::string& relay_name);  // rewrites its configuration, and SIGHUP
  void open_idle_clients(const std::string& relay_name, int count);
  bool is_running(const std::string& relay_name) const { return relays_.at(relay_name).pid > 0; }
  bool is_suspended(const std::string& relay_name) const { return relays_.at(relay_name).suspended; }
  void empty_folder(const std::string& relay_name);    // the relay must not be running
  void save_folder(const std::string& relay_name);     // keeps a copy, as in a machine image
  void restore_folder(const std::string& relay_name);  // the relay must not be running
  void set_disk_full(const std::string& relay_name, bool full);
  // Damages all files of a folder except the document store. how: cut, smear or foreign (content of another
  // relay).
  void damage_files(const std::string& relay_name, const std::string& how);
  // Runs or kills a second process under a relay's name, with the saved folder and ports of its own.
  void run_duplicate(const std::string& relay_name, bool starts);
  // Runs or kills a relay of another fleet that has our members' addresses.
  void run_foreign_relay(bool starts);

  void set_link(const std::string& from, const std::string& to, LinkState state, Millis delay = 0);
  void reset_connections(const std::string& from, const std::string& to);
  // Cuts the next chunk in the middle of a frame.
  void truncate_next(const std::string& from, const std::string& to);
  void corrupt_next(const std::string& from, const std::string& to);  // inverts bytes of the next chunk
  void flood(const std::string& to, const std::string& what);  // junk, large or half, from an unknown sender
  void heal_links();
  // Whether, since `from`, bytes have passed in both directions on a connection that each running member
  // opened to each other one.
  bool all_linked_since(Millis from) const;

  void submit(const std::string& relay_name, const std::string& id, const Options& options);
  // Submits `times` documents, one every `every` ms, in the background.
  void schedule_load(const std::string& relay_name, const std::string& id, const Options& options, int times,
                     Millis every);
  void set_offline(const std::string& relay_name, const std::string& endpoint, bool offline);

  bool run_until(Millis within, const std::function<bool()>& holds);
  std::size_t count_entries(const std::string& kind, const Options& wanted, std::size_t from = 0) const;
  std::vector<std::string> documents_without_end() const;  // accepted documents without a final answer
  // Whether each subscriber has the latest version of each key.
  bool subscribers_converged() const;
  bool all_submissions_answered() const;  // whether each client has its answers
  bool process_has_logged(const std::string& relay_name, const std::string& text) const;  // in its own output
  std::string process_log(const std::string& relay_name) const;
  // For a load generator outside the harness and for measuring a process's CPU time.
  Address client_address(const std::string& relay_name) const {
    return {host_, relays_.at(relay_name).client_port};
  }
  pid_t pid_of(const std::string& relay_name) const { return relays_.at(relay_name).pid; }
  void record(const std::string& kind, std::vector<std::pair<std::string, std::string>> fields);
  Log& log() { return log_; }

 private:
  using Json = nlohmann::json;
  using Pair = std::pair<std::string, std::string>;
  struct Endpoint {
    std::string name, zone, state = "Ready";
    int dest = 0, kind = 0;
    double rate = 1;
    Options how, copies, transport;
    int times = -1;                                  // remaining calls that `how` applies to; negative: all
    std::map<std::string, std::uint64_t> listeners;  // by relay, which identifies the caller
    std::map<std::string, int> ports;
    bool failing = false;
    int calls = 0, answers = 0, transported = 0;
  };
  struct CalledDocument {
    std::string id, idempotency_key, body;
  };
  struct Answer {
    struct Document {
      std::string id, status;
    };
    std::string endpoint, relay;
    std::uint64_t socket_id = 0;
    std::vector<Document> documents;
    bool is_batch = false, lists_items = false;  // the state of each document of the batch
    Millis wait = 0;
    std::string bytes;
    Options how;
  };
  struct TransportedAnswer : Answer {
    TransportedAnswer(Answer answer, Options faults)
        : Answer(std::move(answer)), transport(std::move(faults)) {}
    Options transport;
    std::size_t written = 0;
    bool is_recorded = false, is_past_fault = false;
  };
  struct PendingCopy {  // of an answer, written while the next call of its connection is out
    std::string answer;
    Options how;
  };
  struct Relay {
    std::string name, zone;
    pid_t pid = -1;
    int incarnation = 0, client_port = 0, admin_port = 0, agent_port = 0, member_port = 0;
    bool suspended = false, asked_to_stop = false;
    std::map<int, std::uint64_t> watches;  // version polled from, by socket (negative: none)
    std::uint64_t file_bytes = 0;
  };
  struct Client {
    std::uint64_t socket_id = 0;
    std::deque<std::string> unanswered_ids;  // in the order of submission
  };
  struct Document {
    std::string relay;
    bool accepted = false, ended = false, awaiting_answer = true;
  };
  struct ProxiedDirection {
    Pair dialled;  // the proxy that the connection came through
    bool back = false;
    std::uint64_t in = 0, out = 0;
  };
  struct LinkSetting {
    LinkState state = LinkState::open;
    Millis delay = 0;
  };
  int next_port() { return port_++; }
  void write_files(Relay& relay);
  std::string folder(const std::string& relay_name) const { return folder_ + "/" + relay_name; }
  pid_t spawn(const std::string& folder, const Options& variables, std::uint64_t file_bytes);
  void reap();

  void accept_agent(const std::string& relay_name, Socket& sock);
  void handle_agent_request(const std::string& relay_name, std::uint64_t socket_id);
  void send_list(Relay& relay, std::uint64_t socket_id);
  Json list_for(const std::string& relay_name);
  void record_listed(const std::string& relay_name);
  void open_endpoint(Endpoint& endpoint);
  void close_endpoint(Endpoint& endpoint);
  void handle_call_data(const std::string& name, const std::string& relay_name, std::uint64_t socket_id);
  void handle_call(Endpoint& endpoint, const std::string& relay_name, Socket& sock, const std::string& head,
                   const std::string& body, Millis started_at);
  static std::vector<CalledDocument> documents_of(const std::string& head, const std::string& body);
  void record_calls(const Endpoint& endpoint, const std::string& relay_name, const Socket& sock,
                    const std::vector<CalledDocument>& items, Millis started_at);
  Answer make_answer(Endpoint& endpoint, const std::vector<CalledDocument>& items, bool is_batch,
                     const Options& how);
  static bool needs_list(const Answer& answer);
  void record_answer(const Answer& answer);
  void record_broken(const Answer& answer);
  void write_answer(const Answer& answer);
  static std::size_t deciding_bytes(const Answer& answer);
  void write_piece(const std::shared_ptr<TransportedAnswer>& answer);
  void play_transport_fault(const std::shared_ptr<TransportedAnswer>& answer, Socket& sock);
  std::string status_for(const std::string& id, const std::string& behaviour, bool mixed);
  static const char* item_state(const std::string& status);
  void copy_answer(Endpoint& endpoint, std::uint64_t socket_id, const std::string& answer);
  void write_copy(std::uint64_t socket_id, const PendingCopy& copy, Millis delay);
  bool agent_fails_report(Socket& sock);
  void open_proxy(const std::string& from, const std::string& to);
  void forward(const Pair& dialled, bool back, std::uint64_t in_id, std::uint64_t out_id);
  void handle_client_data(const std::string& relay_name, const std::string& client_name);

  Setup setup_;
  EventLoop event_loop_;
  std::string host_, folder_;
  int port_ = 20000;
  std::map<std::string, Relay> relays_;
  std::map<std::string, Endpoint> endpoints_;
  std::int64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Client>> clients_;
  std::map<std::string, Document> documents_;
  // Documents that an endpoint has ended for good: each further call gets the same answer.
  std::set<std::string> withdrawn_, spent_;
  std::map<Pair, int> proxy_ports_;
  std::map<Pair, LinkSetting> link_states_;
  std::map<Pair, std::vector<ProxiedDirection>> proxied_;  // by the direction of the bytes
  std::set<Pair> truncated_next_, corrupted_next_;
  std::map<std::pair<Pair, bool>, Millis> last_passed_;  // when bytes last passed, by proxy and direction
  std::map<std::string, std::set<std::uint64_t>> polling_agents_;
  std::map<std::uint64_t, std::int64_t> poll_versions_;
  std::map<std::uint64_t, std::set<std::string>> endpoint_sockets_;
  std::map<std::string, std::set<std::uint64_t>> connections_;  // by endpoint
  std::map<std::uint64_t, PendingCopy> pending_copies_;         // by socket
  std::map<std::uint64_t, Millis> last_piece_at_;               // of a copy in pieces, by socket
  int agent_copies_every_ = 0, agent_acknowledgements_ = 0;
  bool agent_fails_next_ = false;
  std::vector<pid_t> duplicates_;
  pid_t foreign_relay_ = -1;
  Log log_;
};

}  // namespace rockcrank::trial
