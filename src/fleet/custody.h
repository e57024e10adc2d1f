// The interface of custody: who owns a document that was taken on, so that it outlives its relay's machine.
// An owner and two copies hold each group of documents; ownership is a lease that the owner has from its
// holders (Gray, Cheriton, "Leases", 1989), and who owns is settled as in Raft (Ongaro, Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014): terms, one vote a term, a majority of three seats,
// nobody elected who lacks what a majority has noted. A holder votes for another only once the lease that it
// gave has surely ended, on monotonic clocks that run apart by no more than a stated share. Free of I/O. It
// must never decide whether, where or when a document goes: the decision module does, after a take-over as
// after a restart. docs/fleet-documents.md has the argument for "never two owners".
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

// The documents that one life of a relay took on. The number is of that life, or above it where a life had to
// begin a further group because its first was taken over.
struct GroupId {
  MemberId origin{};
  std::uint64_t number = 0;
  auto operator<=>(const GroupId&) const = default;
  auto fields() { return std::tie(origin, number); }
};

// A document by its first owner, its group and its number there, kept through all take-overs.
struct GlobalDocId {
  MemberId origin{};
  std::uint64_t group_number = 0, document_number = 0;  // first_life: the group's number
  auto operator<=>(const GlobalDocId&) const = default;
  GroupId group() const { return {origin, group_number}; }
  auto fields() { return std::tie(origin, group_number, document_number); }
};

// What a copy knows of a document; times as durations from the moment of sending.
struct DocumentState {
  struct InDoubtTransmission {
    int number = 0;
    Millis age = 0;
    ZoneId zone{};
    auto operator<=>(const InDoubtTransmission&) const = default;
    auto fields() { return std::tie(number, age, zone); }
  };
  GlobalDocId id;
  std::string record;    // opaque: what the owner's store needs to hold it, with its end once it has one
  Millis time_left = 0;  // to its expiry
  int transmission_count = 0;
  std::vector<InDoubtTransmission> in_doubt;  // transmissions that may have run, or are out
  bool replicate_before_send = true;  // binding or numbered: no transmission goes before a copy has its risk
  bool acceptance_confirmed = false;  // its client has surely not been told to come again
  bool ended = false;                 // rejected or abandoned, the notice maybe not yet taken
  auto fields() {
    return std::tie(id, record, time_left, transmission_count, in_doubt, replicate_before_send,
                    acceptance_confirmed, ended);
  }
};

struct CustodySettings {
  Millis lease_duration = 0;
  double max_clock_drift = 0;      // most by which two machines' clocks run apart, as a share
  Millis replication_timeout = 0;  // a document not yet with a copy by then is not taken on
  bool wait_for_replica = false;
};

// A place in a group: one life of a member. No life: vacant.
struct RelayInstance {
  MemberId member{};
  Incarnation incarnation;
  auto operator<=>(const RelayInstance&) const = default;
  bool is_valid() const { return incarnation.number > 0; }
  auto fields() { return std::tie(member, incarnation); }
};

// Who sits in a group: by term, which only a vote begins, and by its owner's changes within the term.
struct Configuration {
  Version term;
  std::uint64_t revision = 0;
  RelayInstance owner;
  std::vector<RelayInstance> replicas;  // filled ones only, two at most
  auto fields() { return std::tie(term, revision, owner, replicas); }
  bool newer_than(const Configuration& other) const {
    return term != other.term ? term > other.term : revision > other.revision;
  }
};

// How much of the owner's log a copy has: the later one has all that an earlier one has.
struct LogPosition {
  Version term;
  std::uint64_t index = 0;
  auto operator<=>(const LogPosition&) const = default;
  auto fields() { return std::tie(term, index); }
};

// What must outlast the process: written to the folder, and flushed, before any message of the same turn
// goes.
struct PersistentGroupState {
  GroupId group;
  Version voted_term;                         // no vote for a lower term, nor for another in this one
  std::vector<Configuration> configurations;  // of an owner: each that may count; one other: the newest known
  bool is_owner = false;
  std::uint64_t highest_document = 0;  // document known to it, of a group that was taken over
  bool deleted = false;                // nothing is left to say of it
  auto fields() { return std::tie(group, voted_term, configurations, is_owner, highest_document); }
};

// One entry of the owner's log, as it travels.
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
  std::uint64_t document_number = 0;     // number in the group
  std::vector<DocumentState> documents;  // of a paper: as it is when sent
  DocumentState::InDoubtTransmission transmission;
  auto fields() { return std::tie(kind, document_number, documents, transmission); }
};

// A range of deeds, from first up to the next range, and a sum over what is held of it.
struct DocumentRange {
  std::uint64_t first = 0, end = 0, digest = 0;
  auto fields() { return std::tie(first, end, digest); }
};

struct CustodyMessage {
  enum class Kind : std::uint8_t {
    propose_configuration,   // owner: this is the view; also extends the lease, as renew does
    configuration_accepted,  // holder: it is, and so far I am
    renew_lease,             // owner: extend my lease; number: which renewal
    lease_renewed,           // holder; yes: it leaves, another should sit here
    append_entries,          // owner: events from `number` on
    entries_acknowledged,    // holder: has all up to `number`, where whole; else not
    range_digests,           // owner: sums by range, at the log's `number`
    request_ranges,          // holder: these ranges differ
    range_documents,         // owner: all of one range
    request_vote,            // one that wants to own: vote for me in `term`; trial: would you?
    vote,                    // yes or no; with the voter's view
    inventory,  // voter to an owner that returned: what it holds; number: how many entries in all
    refused,    // not its holder, or voted for a later term: with the view and term known here
  };
  Kind kind{};
  GroupId group;
  Configuration configuration;
  Version term;
  std::uint64_t number = 0, highest_document = 0;
  LogPosition position;
  RelayInstance sender;  // of the sender
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
    std::vector<PersistentGroupState>
        states_to_persist;  // to the folder, flushed, before the sends; where that fails, no sends
    OutgoingMessages<CustodyMessage> sends;
    std::vector<GlobalDocId> accepted;      // a copy has it: the client may hear +OK
    std::vector<GlobalDocId> not_accepted;  // no copy in time: the client is told to come again
    std::vector<std::pair<GlobalDocId, int>>
        cleared_transmissions;                 // transmissions held back that may go now
    std::vector<GlobalDocId> reportable_ends;  // ends held back that may be told now
    std::vector<DocumentState> taken_over;     // this relay's from now on: store, then Decision::take
    std::vector<DocumentState>
        resumed;  // recovered or suspended, and nobody took them over; with all risks known
    std::vector<GlobalDocId> suspended;     // without a lease for long: not to be sent until regained
    std::vector<GlobalDocId> relinquished;  // another's from now on: nothing more is sent, ended or told
    std::vector<std::pair<GlobalDocId, GlobalDocId>>
        renumbered;  // never known to who took over: this relay's under a new deed
    std::vector<std::string> log_lines;
    Millis wake_in = -1;
  };
  static std::unique_ptr<Custody> make(const Roster& roster, MemberId self, Incarnation own,
                                       const CustodySettings& settings, std::uint64_t seed);
  virtual ~Custody() = default;

  virtual void begin_turn(Millis now) = 0;  // never earlier than before
  // Found in the folder at a start, before any document: its notes, and the lives that wrote there.
  virtual void restore_group(const PersistentGroupState& note) = 0;
  virtual void add_past_incarnation(Incarnation life) = 0;

  virtual void on_member_change(MemberId member, Incarnation life, MemberState condition) = 0;
  virtual void on_link_change(MemberId peer, bool up) = 0;
  virtual void on_message(MemberId from, const CustodyMessage& message) = 0;
  virtual void leave() = 0;                     // a planned end has begun: owners choose other holders
  virtual void set_has_capacity(bool any) = 0;  // without any, another holder takes over first, if it can

  // Of this relay's own documents. A fresh one gets its deed by next_deed.
  virtual GlobalDocId next_document_id(
      std::uint64_t number) = 0;  // number: grows with each, also over restarts
  // recovered: found in the folder at a start, with the highest number ever given there; may not be sent or
  // ended until it is known that nobody took it over (Decided::regained).
  virtual void accept(const DocumentState& papers) = 0;
  virtual void restore_document(const DocumentState& papers, std::uint64_t highest) = 0;
  virtual void record_transmission(const GlobalDocId& deed, int transmission,
                                   ZoneId hall) = 0;  // about to go
  virtual void record_never_ran(const GlobalDocId& deed, int transmission) = 0;
  virtual void record_ended(const GlobalDocId& deed,
                            const std::string& record) = 0;  // rejected or abandoned, not yet told
  virtual void remove(const GlobalDocId& deed) = 0;          // nothing more is owed
  virtual Actions decide() = 0;

  // Whether its lease holds as of begin(): it may send and end the document.
  virtual bool owns(const GlobalDocId& deed) const = 0;
  virtual bool is_accepted(const GlobalDocId& deed) const = 0;  // else told later by answerable
  virtual bool may_send(const GlobalDocId& deed, int transmission) const = 0;  // else told later by may_go
  virtual bool may_report_end(const GlobalDocId& deed) const = 0;  // its end; else told later by may_tell
  virtual bool holds_lease() const = 0;                            // for what it takes on now
  // What is held: groups, documents of its own and copies of others', bytes of these; for figures and checks.
  struct Statistics {
    std::size_t groups = 0, owned_documents = 0, replicated_documents = 0, replicated_bytes = 0,
                takeovers = 0, configuration_changes = 0;
  };
  virtual Statistics statistics() const = 0;
};

}  // namespace rockcrank::fleet
