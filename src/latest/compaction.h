// Owns what is known of segments (bytes, bytes still live, age) and which one is compacted when. It must
// never copy, drop or name a record itself, have two compactions at once, or begin one that cannot end for
// want of room.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/rules.h"
#include "latest/latest.h"

namespace rockcrank::latest {

class Compaction {
 public:
  explicit Compaction(const LatestSettings& settings) : settings_(settings) {}

  void begin(Millis now, Millis wall) { now_ = now, wall_ = wall; }
  void segment(SegmentId id, StreamId stream, bool sealed);
  // Of frames: put there, at the wall time of the record; superseded or purged.
  void added(const LogLocation& place, bool live, std::uint64_t wall);
  void dead(SegmentId segment, std::uint32_t bytes);
  void revived(SegmentId segment, std::uint32_t bytes);
  void removed(SegmentId id) { segments_.erase(id); }
  void documents(int waiting) { waiting_ = waiting; }
  void ended(SegmentId id, bool done);
  std::optional<SegmentId> decide(std::vector<std::string>& log);
  Millis due() const { return due_; }

  std::size_t bytes() const;
  std::size_t live() const;
  std::size_t count() const { return segments_.size(); }

 private:
  enum class Stage { resting, copying, paused };
  struct Segment {
    StreamId stream{};
    std::uint64_t bytes = 0, live = 0, youngest = 0;
    Millis added_at = 0;
    bool sealed = false;
  };
  const StreamSettings* of(const Segment& segment) const;
  bool is_short() const;
  bool aged(const Segment& segment) const;
  double share(const Segment& segment) const;
  bool must_pause();
  void pause();
  bool may_go_on();
  void go_on();
  bool has_victim();
  void start();
  std::optional<SegmentId> victim() const;

  const LatestSettings settings_;
  std::map<SegmentId, Segment> segments_;
  Stage stage_ = Stage::resting;
  SegmentId chosen_{};
  Millis now_ = 0, wall_ = 0, rests_until_ = -1e18, due_ = 1e18;
  int waiting_ = 0, failures_ = 0;
  bool told_ = false;
  static const fleet::Rule<Compaction> rules_[];
};

}  // namespace rockcrank::latest
