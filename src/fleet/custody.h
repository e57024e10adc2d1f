// Custody decides which relay owns an accepted document, so that the document survives the loss of its
// relay's machine. Each group of documents has an owner and two replicas. Ownership is a lease that the
// replicas grant to the owner (Gray, Cheriton, "Leases", 1989). The owner is elected as in Raft (Ongaro,
// Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014): terms, one vote per term, a
// majority of the three members, and no candidate wins that lacks an entry which a majority has acknowledged.
// A replica votes for another candidate only after the lease that it granted has certainly expired, on
// monotonic clocks whose rates differ by at most a configured share. The module does no I/O and does not
// decide whether, where or when a document is sent: the decision module does, after a takeover as after a
// restart. docs/fleet-documents.md argues why a document never has two owners.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

// Identifies the group of documents accepted by one incarnation of a relay. The number is that of the
// incarnation, or a higher one if the incarnation had to start another group because its first one was taken
// over.
struct GroupId {
  MemberId origin{};
  std::uint64_t number = 0;
  auto operator<=>(const GroupId&) const = default;
  auto fields() { return std::tie(origin, number); }
};

// Identifies a document in the whole fleet: its first owner, its group and its number there. It stays
// the same through takeovers.
struct GlobalDocId {
  MemberId origin{};
  std::uint64_t group_number = 0, document_number = 0;
  auto operator<=>(const GlobalDocId&) const = default;
  GroupId group() const { return {origin, group_number}; }
  auto fields() { return std::tie(origin, group_number, document_number); }
};

// The replicated state of a document. Times are durations relative to the moment of sending.
struct DocumentState {
  struct InDoubtTransmission {
    int number = 0;
    Millis age = 0;
    ZoneId zone{};
    auto operator<=>(const InDoubtTransmission&) const = default;
    auto fields() { return std::tie(number, age, zone); }
  };
  GlobalDocId id;
  std::string
      record;  // opaque here: the record of the owner's store, with the document's end once it has one
  Millis time_left = 0;  // until its expiry
  int transmission_count = 0;
  std::vector<InDoubtTransmission> in_doubt;  // in flight, or ended without a known outcome
  // Not idempotent: nothing is sent before a replica knows of the transmission.
  bool replicate_before_send = true;
  bool acceptance_confirmed = false;  // its client has certainly not been told to retry
  bool ended = false;                 // rejected or abandoned; the end notice may still be undelivered
  auto fields() {
    return std::tie(id, record, time_left, transmission_count, in_doubt, replicate_before_send,
                    acceptance_confirmed, ended);
  }
};

struct CustodySettings {
  Millis lease_duration = 0;
  double max_clock_drift = 0;      // maximum difference between the rates of two machines' clocks, as a share
  Millis replication_timeout = 0;  // a document without a replica by then is not accepted
  bool wait_for_replica = false;
};

// One incarnation of a relay. Incarnation number 0 means none.
struct RelayInstance {
  MemberId member{};
  Incarnation incarnation;
  auto operator<=>(const RelayInstance&) const = default;
  bool is_valid() const { return incarnation.number > 0; }
  auto fields() { return std::tie(member, incarnation); }
};

// The members of a group. A new term begins only by an election; the owner changes the members within its
// term by a new revision.
struct Configuration {
  Version term;
  std::uint64_t revision = 0;
  RelayInstance owner;
  std::vector<RelayInstance> replicas;  // valid instances only, at most two
  auto fields() { return std::tie(term, revision, owner, replicas); }
  bool newer_than(const Configuration& other) const {
    return term != other.term ? term > other.term : revision > other.revision;
  }
};

// How much of the owner's log a replica has. A later position includes everything up to an earlier one.
struct LogPosition {
  Version term;
  std::uint64_t index = 0;
  auto operator<=>(const LogPosition&) const = default;
  auto fields() { return std::tie(term, index); }
};

// The state of a group that must survive a restart. It is written and flushed to the state directory before
// any message of the same turn is sent.
struct PersistentGroupState {
  GroupId group;
  Version voted_term;  // never votes in a lower term, nor for another candidate in this one
  std::vector<Configuration> configurations;  // owner: all that may be in force; others: the newest known
  bool is_owner = false;
  std::uint64_t highest_document = 0;  // highest document number known, for a group that was taken over
  bool deleted = false;                // the stored state can be deleted
  auto fields() { return std::tie(group, voted_term, configurations, is_owner, highest_document); }
};

// An entry of the owner's log as sent to a replica.
struct WireLogEntry {
  enum class Kind : std::uint8_t {
    no_op,
    document,
    transmission_started,
    transmission_never_ran,
    acceptance_confirmed,
    removed
  };
  Kind kind{};
  std::uint64_t document_number = 0;
  std::vector<DocumentState> documents;  // of a document entry: its state when sent
  DocumentState::InDoubtTransmission transmission;
  auto fields() { return std::tie(kind, document_number, documents, transmission); }
};

// A range of document numbers from `first` up to, but excluding, `end`, with a digest of the documents held
// in
// it.
struct DocumentRange {
  std::uint64_t first = 0, end = 0, digest = 0;
  auto fields() { return std::tie(first, end, digest); }
};

struct CustodyMessage {
  // What `number`, `yes` and `position` mean depends on the kind.
  enum class Kind : std::uint8_t {
    propose_configuration,   // owner: announces the configuration; also renews the lease; yes: as renew_lease
    configuration_accepted,  // replica: confirms it, with its position in the log
    renew_lease,             // owner: asks to extend the lease; number: of the renewal; yes: the
                             // configuration of this revision is the only one in force
    lease_renewed,           // replica; yes: it is shutting down and should be replaced
    append_entries,          // owner: log entries from index `number` on
    entries_acknowledged,    // replica: has everything up to index `number` if in_sync, otherwise not
    range_digests,           // owner: digests per range, as of log index `number`
    request_ranges,          // replica: these ranges differ; yes: acknowledges range_documents
    range_documents,         // owner: all documents of one range
    request_vote,            // candidate: asks for a vote in `term`; pre_vote: asks whether it would get one;
                             // yes: its owner has told it so, as in renew_lease
    vote,                    // granted or denied; a denial has the voter's configuration; recovering: the
                             // voter's state directory does not know the incarnation that is asked
    inventory,               // voter to a recovering owner: its documents; number: of all entries
    refused,                 // not its replica, or voted in a later term; has what is known here
  };
  Kind kind{};
  GroupId group;
  Configuration configuration;
  Version term;
  std::uint64_t number = 0, highest_document = 0;
  LogPosition position;
  RelayInstance sender;
  bool yes = false, pre_vote = false, in_sync = false, recovering = false;
  std::vector<WireLogEntry> entries;
  std::vector<DocumentState> documents;
  std::vector<DocumentRange> ranges;
  auto fields() {
    return std::tie(kind, group, configuration, term, number, highest_document, position, sender, yes,
                    pre_vote, in_sync, recovering, entries, documents, ranges);
  }
};

class Custody {
 public:
  struct Actions {
    // To be written and flushed before `sends` go out; if that fails, nothing is sent.
    std::vector<PersistentGroupState> states_to_persist;
    OutgoingMessages<CustodyMessage> sends;
    // Replicated: the client may be answered +OK.
    std::vector<GlobalDocId> accepted;
    // Not replicated in time: the client is told to retry.
    std::vector<GlobalDocId> not_accepted;
    // Held-back transmissions that may be sent now.
    std::vector<std::pair<GlobalDocId, int>> cleared_transmissions;
    // Documents whose held-back ends may be reported now.
    std::vector<GlobalDocId> reportable_ends;
    // Owned by this relay from now on: to be stored, then given to the decision module.
    std::vector<DocumentState> taken_over;
    // Restored or suspended before, and not taken over by another relay; with all in-doubt transmissions.
    std::vector<DocumentState> resumed;
    // Without a lease for too long: not to be sent until resumed.
    std::vector<GlobalDocId> suspended;
    // Owned by another relay from now on: not to be sent, ended or reported any more.
    std::vector<GlobalDocId> relinquished;
    // Old and new id of documents that the new owner of their group never knew: they stay with this relay.
    std::vector<std::pair<GlobalDocId, GlobalDocId>> renumbered;
    std::vector<std::string> log_lines;
    Millis wake_in = -1;
  };
  static std::unique_ptr<Custody> make(const Roster& roster, MemberId self, Incarnation incarnation,
                                       const CustodySettings& settings, std::uint64_t seed);
  virtual ~Custody() = default;

  // `now` is monotonic time and never goes back.
  virtual void begin_turn(Millis now) = 0;
  // Restore what the state directory holds, before any document: the state of each group, and the
  // incarnations that have written there. At startup, and again when an earlier process of the directory has
  // ended that was still running then; what is known here is not replaced by anything older.
  virtual void restore_group(const PersistentGroupState& state) = 0;
  virtual void add_past_incarnation(Incarnation incarnation) = 0;
  // An earlier process of the directory was running until now. It may have granted leases until then.
  virtual void on_previous_process_ended() = 0;

  virtual void on_member_change(MemberId member, Incarnation incarnation, MemberState state) = 0;
  virtual void on_link_change(MemberId peer, bool up) = 0;
  virtual void on_message(MemberId from, const CustodyMessage& message) = 0;
  // Shutdown has begun: owners choose other replicas.
  virtual void leave() = 0;
  // Without capacity, this relay lets the other replica take over first.
  virtual void set_has_capacity(bool has_capacity) = 0;

  // The methods from here to remove() are for this relay's own documents.
  // Returns the id of a new document. The number increases with each call, also across restarts.
  virtual GlobalDocId next_document_id(std::uint64_t number) = 0;
  virtual void accept(const DocumentState& document) = 0;
  // Restores a document found in the state directory, after its group. `highest_number` is the highest one
  // ever assigned there. The document must not be sent or ended until it is known that nobody took it over
  // (Actions::resumed).
  virtual void restore_document(const DocumentState& document, std::uint64_t highest_number) = 0;
  // To be called before the transmission is sent.
  virtual void record_transmission(const GlobalDocId& id, int transmission, ZoneId zone) = 0;
  virtual void record_never_ran(const GlobalDocId& id, int transmission) = 0;
  // The owner's record of the document has changed in a way that a relay which takes it over must know.
  virtual void record_changed(const GlobalDocId& id, const std::string& record) = 0;
  // The document was rejected or abandoned, and its end is not yet reported.
  virtual void record_ended(const GlobalDocId& id, const std::string& record) = 0;
  // The document needs no further work.
  virtual void remove(const GlobalDocId& id) = 0;
  virtual Actions decide() = 0;

  // Whether this relay owns the document and its lease is valid as of begin_turn(): it may then send and end
  // the document.
  virtual bool owns(const GlobalDocId& id) const = 0;
  // If not, Actions::accepted reports it later.
  virtual bool is_accepted(const GlobalDocId& id) const = 0;
  // If not, Actions::cleared_transmissions reports it later.
  virtual bool may_send(const GlobalDocId& id, int transmission) const = 0;
  // If not, Actions::reportable_ends reports it later.
  virtual bool may_report_end(const GlobalDocId& id) const = 0;
  // Whether newly accepted documents are covered by a valid lease.
  virtual bool holds_lease() const = 0;
  // Counts of groups, of owned documents, and of documents replicated for others with their bytes; for
  // metrics and tests.
  struct Statistics {
    std::size_t groups = 0, owned_documents = 0, replicated_documents = 0, replicated_bytes = 0,
                takeovers = 0, configuration_changes = 0;
  };
  virtual Statistics statistics() const = 0;
};

}  // namespace rockcrank::fleet
