// Rules of compaction and their state. A segment that is still written to, or that holds a record younger
// than its stream's minimum compaction lag, is not chosen.

#include "latest/compaction.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rockcrank::latest {
namespace {

constexpr double min_dirty_ratio_when_low = 0.05;  // of a segment's bytes superseded, while disk space is low
constexpr double low_space_segments = 3;  // disk space is low if fewer further segments than this fit
constexpr Millis retry_delay = 5000;      // after a failed compaction; doubled each time
constexpr int max_doublings = 5;
// An open segment is sealed and compacted too if nothing was added for this long.
constexpr Millis seal_after_idle = 10000;

}  // namespace

void CompactionScheduler::add_segment(SegmentId id, StreamId stream, bool sealed) {
  Segment& segment = segments_[id];
  segment.stream = stream, segment.sealed = sealed;
}

void CompactionScheduler::on_frame_added(const LogLocation& location, bool live, std::uint64_t wall) {
  Segment& segment = segments_[location.segment];
  segment.bytes += location.bytes, segment.live += live ? location.bytes : 0;
  segment.newest_wall_time = std::max(segment.newest_wall_time, wall), segment.last_added_at = now_;
}

void CompactionScheduler::on_frame_dead(SegmentId id, std::uint32_t bytes) {
  if (auto found = segments_.find(id); found != segments_.end())
    found->second.live -= std::min<std::uint64_t>(found->second.live, bytes);
}

void CompactionScheduler::on_frame_revived(SegmentId id, std::uint32_t bytes) {
  if (auto found = segments_.find(id); found != segments_.end()) found->second.live += bytes;
}

void CompactionScheduler::on_compaction_ended(SegmentId id, bool done) {
  if (stage_ == Stage::idle || id != current_) return;
  stage_ = Stage::idle;
  failures_ = done ? 0 : std::min(failures_ + 1, max_doublings);
  retry_at_ = done ? now_ : now_ + retry_delay * std::exp2(failures_ - 1);
}

std::size_t CompactionScheduler::total_bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, segment] : segments_) sum += segment.bytes;
  return sum;
}
std::size_t CompactionScheduler::live_bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, segment] : segments_) sum += segment.live;
  return sum;
}

const StreamSettings* CompactionScheduler::settings_of(const Segment& segment) const {
  auto found = std::ranges::find(settings_.streams, segment.stream, &StreamSettings::id);
  return found == settings_.streams.end() ? nullptr : &*found;
}

bool CompactionScheduler::is_disk_space_low() const {
  return static_cast<double>(total_bytes()) +
             low_space_segments * static_cast<double>(settings_.segment_bytes) >
         static_cast<double>(settings_.max_disk_bytes);
}

bool CompactionScheduler::is_past_min_lag(const Segment& segment) const {
  auto stream = settings_of(segment);
  return stream && wall_ >= static_cast<double>(segment.newest_wall_time) + stream->min_compaction_lag;
}

double CompactionScheduler::superseded_share(const Segment& segment) const {
  return segment.bytes == 0 ? 1 : 1 - static_cast<double>(segment.live) / static_cast<double>(segment.bytes);
}

// The segment with the largest superseded share. While disk space is low, a share below the stream's minimum
// is enough.
std::optional<SegmentId> CompactionScheduler::best_candidate() const {
  std::optional<SegmentId> best;
  double best_share = 0;
  bool is_short = this->is_disk_space_low();
  for (const auto& [id, segment] : segments_) {
    auto stream = settings_of(segment);
    if (!stream || !is_past_min_lag(segment)) continue;
    if (!segment.sealed && now_ < segment.last_added_at + seal_after_idle) continue;
    double share = this->superseded_share(segment), min_share = stream->min_dirty_ratio;
    if (share >= (is_short ? std::min(min_share, min_dirty_ratio_when_low) : min_share) && share > best_share)
      best = id, best_share = share;
  }
  return best;
}

// Waiting documents take precedence over compaction, unless disk space is low.
bool CompactionScheduler::must_pause() {
  return stage_ == Stage::copying && waiting_documents_ > 0 && !is_disk_space_low();
}
void CompactionScheduler::pause() { stage_ = Stage::paused; }
bool CompactionScheduler::may_resume() {
  return stage_ == Stage::paused && (waiting_documents_ == 0 || is_disk_space_low());
}
void CompactionScheduler::resume() { stage_ = Stage::copying; }

// One compaction at a time.
bool CompactionScheduler::has_candidate() {
  return stage_ == Stage::idle && now_ >= retry_at_ && (waiting_documents_ == 0 || is_disk_space_low()) &&
         best_candidate().has_value();
}
void CompactionScheduler::start() { stage_ = Stage::copying, current_ = *best_candidate(); }

const fleet::Rule<CompactionScheduler> CompactionScheduler::rules_[] = {
    {"pause while documents wait", &CompactionScheduler::must_pause, &CompactionScheduler::pause},
    {"resume", &CompactionScheduler::may_resume, &CompactionScheduler::resume},
    {"a segment is worth compacting", &CompactionScheduler::has_candidate, &CompactionScheduler::start},
};

std::optional<SegmentId> CompactionScheduler::decide(std::vector<std::string>& log) {
  fleet::run_until_stable(*this, rules_);
  if (failures_ > 0 && stage_ == Stage::idle && retry_at_ > now_ && !std::exchange(failure_logged_, true))
    log.push_back("compaction failed, retrying in " + std::to_string(static_cast<long>(retry_at_ - now_)) +
                  " ms");
  if (failures_ == 0) failure_logged_ = false;
  wake_at_ = stage_ == Stage::copying ? now_ : now_ + 500;
  return stage_ == Stage::copying ? std::optional(current_) : std::nullopt;
}

}  // namespace rockcrank::latest
