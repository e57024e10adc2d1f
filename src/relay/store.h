// Owns the documents that this relay holds, and the file that lets them outlive its process. A file belongs
// to the process that has its lock, and to nobody else: one whose owner has ended is taken up by whoever
// locks it first. It must never decide what becomes of a document, and never grow past the room it was given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {

struct StoredDocument {
  struct Transmission {
    int number = 0;
    Millis sent_at = 0;  // Unix time
    ZoneId zone{};
  };
  std::string id, idempotency_key, body, order_key;
  std::string doc_type, tenant;  // by name: their numbers may change with the settings
  DocType type;                  // as it was when the document was taken on, with the transmissions allowed
  int max_transmissions = 0;     // 0: neither is known, as in a file of version 0.2.0
  DestinationId destination{};
  Millis expiry = 0;  // Unix time
  int transmissions = 0;
  std::vector<Transmission> in_doubt;  // transmissions that may have run, or are out
  bool ended = false;                  // rejected or abandoned, the notice not yet taken
  bool rejected = false;
  Millis reject_wait = 0;
  std::string fleet_id;          // the fleet's name for it, opaque here; empty: none knows of it
  std::size_t record_bytes = 0;  // of its records; counted from the moment it is held
  bool journaled = false;        // its own record is written, or about to be
};

class Store {
 public:
  // A store as it goes to the process that takes this one's place: the file with its lock, and what it says.
  struct HandoverState {
    std::string path, snapshot;
    int descriptor = -1;
    std::uint64_t last_doc_number = 0;
    std::size_t file_bytes = 0;
    bool rewrite_needed = false;
  };
  static bool has_owner(const std::string& folder);  // a living process, that is

  Store(std::string folder, std::size_t bytes_most);
  Store(std::string folder, std::size_t bytes_most, const HandoverState& passed);
  HandoverState handover_state() const;
  // Told of each record of a document as it is noted, by its kind; F before the document goes.
  std::function<void(char kind, DocId doc, int transmission)> on_record;
  // Files of other processes that live: none; else adopt() takes up those whose owner has ended since, and
  // says which documents came.
  bool is_sole_process() const { return other_files_.empty(); }
  bool has_recovered_file() const { return has_recovered_file_; }  // a process that has ended left a file
  std::vector<DocId> adopt_orphaned_files();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::map<DocId, StoredDocument>& documents() { return documents_; }
  DocId add(StoredDocument document);  // held, but not yet written
  bool contains(std::string_view id) const { return by_id_.count(id) > 0; }
  bool has_room(std::size_t bytes);  // for one more document of this size; may compact
  void record_accepted(DocId doc);
  void record_transmission(DocId doc, int transmission, Millis at, ZoneId hall);
  void record_never_ran(DocId doc, int transmission);
  void record_ended(DocId doc, bool rejected, Millis wait);
  void remove(DocId doc);  // nothing more is owed
  // Endpoints taken out by staff, by their names in the list. False: not noted, and nothing has changed.
  bool set_offline(const std::string& endpoint, bool out);
  const std::set<std::string>& offline_endpoints() const { return offline_endpoints_; }
  // What the fleet must find again after a restart, by names of its own; empty: nothing of that name.
  void set_metadata(const std::string& name, const std::string& text);
  const std::map<std::string, std::string>& metadata() const { return metadata_; }
  void set_fleet_id(DocId doc, const std::string& deed);
  // Tells this start of the machine from every other: since the same one, monotonic clocks of different
  // processes go together. 0 where the system does not say.
  static std::uint64_t boot_id();
  std::uint64_t last_doc_number() const {
    return last_doc_number_;
  }  // number given to a document, over all restarts
  // A document as its record has it, for a relay that holds a copy; read throws where it is none.
  static std::string encode(const StoredDocument& document);
  static StoredDocument decode(std::string_view record);
  bool flush();  // what was noted outlives the process from here on; false: it may not

 private:
  void record_clock();
  void find_files();
  void recover_file(const std::string& path, int fd);
  void replay(std::string_view bytes, std::uint64_t base);  // base: added to the numbers of its documents
  std::string snapshot() const;
  std::size_t max_file_bytes() const;
  bool compact();
  bool write_failed(const char* step);  // notes why, from errno; false
  void append_and_apply(char kind, DocId doc, std::string_view rest,
                        int transmission = 0);  // notes and applies
  void apply(char kind, DocId doc, std::string_view rest);

  const std::string folder_;
  const std::size_t max_bytes_;
  std::map<DocId, StoredDocument> documents_;
  std::unordered_map<std::string_view, DocId> by_id_;  // slices of the held ids
  std::uint64_t last_doc_number_ = 0;
  std::string path_;
  std::vector<std::string> other_files_;                      // files whose owner lives
  std::vector<std::pair<std::string, int>> recovered_files_;  // files read, to go with the next compaction
  // The wall clock, told by the one that nobody sets, and since which start of the machine that one runs:
  // times of attempts are in its terms. 0: not known.
  Millis wall_offset_ = 0;
  std::uint64_t boot_id_ = 0;
  bool clock_recorded_ = false;  // the file says so
  std::set<std::string> offline_endpoints_;
  std::map<std::string, std::string> metadata_;
  std::size_t metadata_bytes_ = 0;
  std::string pending_;
  int fd_ = -1;
  bool has_recovered_file_ = false;
  bool rewrite_needed_ = false;  // a write failed: the file must be written anew before it is added to
  int write_error_ = 0;          // why the file could not be written anew the last time
  int write_failures_ = 0;       // in a row
  Millis retry_write_at_ = 0;    // by the clock that nobody sets; from the second failure on
  std::size_t file_bytes_ = 0, live_bytes_ = 0;
};

}  // namespace rockcrank
