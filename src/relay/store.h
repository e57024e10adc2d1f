// The documents that this relay holds and the journal file that preserves them across a kill or a restart. A
// journal belongs to the process that holds its lock; one whose owner has ended is recovered by the first
// process that locks it. The store doesn't decide what becomes of a document, and its files never exceed the
// size limit it was given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/decision.h"
#include "decision/ended_documents.h"

namespace rockcrank {

class RecordReader;

struct StoredDocument {
  struct Transmission {
    int number = 0;
    Millis sent_at = 0;  // Unix time
    ZoneId zone{};
  };
  std::string id, idempotency_key, body, order_key;
  std::string doc_type, tenant;  // by name: their numbers may change with the settings
  DocType type;                  // the document type when the document was accepted
  int max_transmissions = 0;     // 0: neither it nor the type is known, as in a file of version 0.2.0
  DestinationId destination{};
  Millis expiry = 0;  // Unix time
  int transmissions = 0;
  std::vector<Transmission> in_doubt;  // transmissions that are under way or may have run
  bool ended = false;                  // rejected or abandoned, and the notice is not acknowledged yet
  bool may_be_over = false;            // by an answer that is not proved to be that of its call
  bool rejected = false;
  Millis reject_retry_after = 0;
  std::string fleet_id;          // the fleet's id of the document, opaque here; empty: not known to the fleet
  std::size_t record_bytes = 0;  // size of its records, counted from the moment it is added
  bool journaled = false;        // its document record is written, or queued for the next flush
};

// Combines two values of one metadata name that two processes have written to their journals. To be
// commutative, associative and idempotent, since the order in which journals are read says nothing about
// their age.
using MergeMetadata =
    std::function<std::string(const std::string& name, const std::string& one, const std::string& other)>;
// For names that need no more: the greater of the two.
std::string greater_metadata(const std::string& name, const std::string& one, const std::string& other);

class Store {
 public:
  // The store as handed over to a successor process: the locked file and its contents.
  struct HandoverState {
    std::string path, snapshot;
    int descriptor = -1;
    std::uint64_t last_doc_number = 0;
    std::size_t file_bytes = 0;
    bool rewrite_needed = false;
  };
  static bool has_owner(const std::string& folder);  // by a running process

  Store(std::string folder, std::size_t max_bytes, MergeMetadata merge_metadata = greater_metadata);
  Store(std::string folder, std::size_t max_bytes, const HandoverState& state,
        MergeMetadata merge_metadata = greater_metadata);
  HandoverState handover_state() const;
  // Called for each record of a document as it is queued, with the record's kind: D accepted, S transmission,
  // N never ran, E ended, F removed. F is reported before the document is removed.
  std::function<void(char kind, DocId doc, int transmission)> on_record;
  // Whether no other running process owns a journal in the folder. If one does, adopt_orphaned_files()
  // recovers the journals whose owner has ended since and returns the documents found there.
  bool is_sole_process() const { return other_files_.empty(); }
  // Whether a journal of a process that has ended was recovered.
  bool has_recovered_file() const { return has_recovered_file_; }
  // A document that was accepted here while the other process still had it keeps what is known of it there.
  struct Adopted {
    bool any_file = false;
    std::map<std::string, bool> offline_orders;  // by endpoint: orders that the other process had last
    std::vector<DocId> found, merged;
    std::vector<std::pair<DocId, DocumentFate>> over;  // accepted here, and already ended there
  };
  Adopted adopt_orphaned_files();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::map<DocId, StoredDocument>& documents() { return documents_; }
  const std::map<DocId, StoredDocument>& documents() const { return documents_; }
  DocId add(StoredDocument document);  // in memory only; record_accepted() queues its record
  bool contains(std::string_view id) const { return by_id_.count(id) > 0; }
  // What became of a document that may not run again, if its time is not over.
  std::optional<DocumentFate> fate_of(std::string_view id) const;
  bool has_room(std::size_t bytes);  // for one more document of this size; may compact
  void record_accepted(DocId doc);
  void record_transmission(DocId doc, int transmission, Millis sent_at, ZoneId zone);
  void record_never_ran(DocId doc, int transmission);
  void record_ended(DocId doc, bool rejected, Millis wait);
  void record_may_be_over(DocId doc, bool may_be_over);
  void remove(DocId doc);  // the document is complete
  // Endpoints that staff have taken offline, by their names in the list. False: it could not be written, and
  // nothing has changed.
  bool set_offline(const std::string& endpoint, bool offline);
  std::set<std::string> offline_endpoints() const;
  // Named values kept across restarts for the fleet and the route state. An empty value removes the name. A
  // value that another process has written is combined with this process's own by MergeMetadata.
  void set_metadata(const std::string& name, const std::string& text);
  const std::map<std::string, std::string>& metadata() const { return metadata_; }
  void set_fleet_id(DocId doc, const std::string& fleet_id);
  // Identifies the current boot of the machine: monotonic clocks of different processes are comparable within
  // one boot. 0 if the system doesn't provide it.
  static std::uint64_t boot_id();
  // The highest number given to a document, over all restarts.
  std::uint64_t last_doc_number() const { return last_doc_number_; }
  // The record of a document, for a relay that keeps a copy. decode() throws if the record is invalid.
  static std::string encode(const StoredDocument& document);
  static StoredDocument decode(std::string_view record);
  // Memory for records that are queued, and for the records of the documents held.
  std::size_t pending_bytes() const { return pending_.size(); }
  std::size_t document_bytes() const { return live_bytes_; }
  bool flush();  // writes what is queued; false: it may be lost if the process ends

 private:
  void record_clock();
  // An order of staff, numbered above all that were known when it was given (a Lamport clock), so that of two
  // processes' orders on one endpoint the later one counts, whichever journal is read last.
  struct OfflineOrder {
    std::uint64_t number = 0;
    bool offline = false;
    auto operator<=>(const OfflineOrder&) const = default;
  };
  using OfflineOrders = std::map<std::string, OfflineOrder>;
  void record_offline_order(const std::string& endpoint, const OfflineOrder& order);
  // Returns the orders that were changed by this.
  OfflineOrders combine_offline_orders(const OfflineOrders& earlier);
  void assign_metadata(const std::string& name, const std::string& text);
  void combine_metadata(const std::map<std::string, std::string>& found);
  Adopted find_files();
  void end_elsewhere(DocId doc, DocumentFate fate);
  void recover_file(const std::string& path, int fd, Adopted& adopted);
  void replay(std::string_view bytes, std::uint64_t base);  // base: added to the numbers of its documents
  std::string snapshot() const;
  void remember_end(const StoredDocument& document);
  void apply_clock(RecordReader& reader);
  void merge_documents(std::uint64_t first_found, Adopted& adopted);
  void find_ended_elsewhere(std::uint64_t first_found, const std::set<std::string>& ended_before,
                            Adopted& adopted) const;
  // Whether a document that was accepted here is merged with the one found in another process's file.
  bool merge(StoredDocument& accepted, const StoredDocument& found) const;
  std::size_t max_file_bytes() const;
  bool compact();
  bool write_failed(const char* step);  // logs the reason from errno; returns false
  // Queues the record and applies it.
  void append_and_apply(char kind, DocId doc, std::string_view payload, int transmission = 0);
  void apply(char kind, DocId doc, std::string_view payload);

  const std::string folder_;
  const std::size_t max_bytes_;
  const MergeMetadata merge_metadata_;
  std::map<DocId, StoredDocument> documents_;
  std::unordered_map<std::string_view, DocId> by_id_;  // views of the ids in documents_
  std::uint64_t last_doc_number_ = 0;
  std::string path_;
  std::vector<std::string> other_files_;                      // files owned by other running processes
  std::vector<std::pair<std::string, int>> recovered_files_;  // deleted by the next compaction
  // Wall clock minus monotonic clock, and the boot that this holds for. Times of transmissions are by this
  // wall clock. 0: not known.
  Millis wall_offset_ = 0;
  std::uint64_t boot_id_ = 0;
  bool clock_recorded_ = false;  // the file has a clock record with these values
  EndedDocuments ended_;
  OfflineOrders offline_orders_;
  std::map<std::string, std::string> metadata_;
  std::size_t metadata_bytes_ = 0;
  std::string pending_;
  int fd_ = -1;
  bool has_recovered_file_ = false;
  bool rewrite_needed_ = false;  // a write failed: the file must be rewritten before anything is appended
  int write_error_ = 0;          // errno of the last failed rewrite
  int write_failures_ = 0;       // in a row
  Millis retry_write_at_ = 0;    // monotonic; applies from the second failure on
  std::size_t file_bytes_ = 0, live_bytes_ = 0;
};

}  // namespace rockcrank
