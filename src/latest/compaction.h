// Tracks the segments (bytes, live bytes, age) and decides which one is compacted when. At most one
// compaction runs at a time, and none is begun that lacks the disk space to finish. Copying and dropping
// records is the host's job.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/rules.h"
#include "latest/latest.h"

namespace rockcrank::latest {

class CompactionScheduler {
 public:
  explicit CompactionScheduler(const LatestSettings& settings) : settings_(settings) {}

  void begin_turn(Millis now, Millis wall) { now_ = now, wall_ = wall; }
  void add_segment(SegmentId id, StreamId stream, bool sealed);
  // Frames: written at this location, with the wall time of the record; superseded or purged; live again.
  void on_frame_added(const LogLocation& location, bool live, std::uint64_t wall);
  void on_frame_dead(SegmentId id, std::uint32_t bytes);
  void on_frame_revived(SegmentId id, std::uint32_t bytes);
  void remove_segment(SegmentId id) { segments_.erase(id); }
  void set_waiting_documents(int waiting) { waiting_documents_ = waiting; }
  void on_compaction_ended(SegmentId id, bool done);
  std::optional<SegmentId> decide(std::vector<std::string>& log);
  Millis wake_at() const { return wake_at_; }

  std::size_t total_bytes() const;
  std::size_t live_bytes() const;
  std::size_t segment_count() const { return segments_.size(); }

 private:
  enum class Stage { idle, copying, paused };
  struct Segment {
    StreamId stream{};
    std::uint64_t bytes = 0, live = 0, newest_wall_time = 0;
    Millis last_added_at = 0;
    bool sealed = false;
  };
  const StreamSettings* settings_of(const Segment& segment) const;
  bool is_disk_space_low() const;
  bool is_past_min_lag(const Segment& segment) const;
  double superseded_share(const Segment& segment) const;
  bool must_pause();
  void pause();
  bool may_resume();
  void resume();
  bool has_candidate();
  void start();
  std::optional<SegmentId> best_candidate() const;

  const LatestSettings settings_;
  std::map<SegmentId, Segment> segments_;
  Stage stage_ = Stage::idle;
  SegmentId current_{};
  Millis now_ = 0, wall_ = 0, retry_at_ = -1e18, wake_at_ = 1e18;
  int waiting_documents_ = 0, failures_ = 0;
  bool failure_logged_ = false;
  static const fleet::Rule<CompactionScheduler> rules_[];
};

}  // namespace rockcrank::latest
