// The rules of compaction, with their state; compaction.h says what is owned. A segment that is being added
// to, or holds a record younger than its stream allows to go, may never be chosen.

#include "latest/compaction.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rockcrank::latest {
namespace {

constexpr double worth_when_short = 0.05;  // of a segment's bytes superseded, while room is short
constexpr double short_segments = 3;       // room for so many more: less is short
constexpr Millis again_after = 5000;       // after one that failed; doubled each time
constexpr int doublings_most = 5;
constexpr Millis quiet_after =
    10000;  // one that is added to is closed and compacted too, once that is so long ago

}  // namespace

void Compaction::segment(SegmentId id, StreamId stream, bool sealed) {
  Segment& segment = segments_[id];
  segment.stream = stream, segment.sealed = sealed;
}

void Compaction::added(const LogLocation& place, bool live, std::uint64_t wall) {
  Segment& segment = segments_[place.segment];
  segment.bytes += place.bytes, segment.live += live ? place.bytes : 0;
  segment.youngest = std::max(segment.youngest, wall), segment.added_at = now_;
}

void Compaction::dead(SegmentId id, std::uint32_t bytes) {
  if (auto found = segments_.find(id); found != segments_.end())
    found->second.live -= std::min<std::uint64_t>(found->second.live, bytes);
}

void Compaction::revived(SegmentId id, std::uint32_t bytes) {
  if (auto found = segments_.find(id); found != segments_.end()) found->second.live += bytes;
}

void Compaction::ended(SegmentId id, bool done) {
  if (stage_ == Stage::resting || id != chosen_) return;
  stage_ = Stage::resting;
  failures_ = done ? 0 : std::min(failures_ + 1, doublings_most);
  rests_until_ = done ? now_ : now_ + again_after * std::exp2(failures_ - 1);
}

std::size_t Compaction::bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, segment] : segments_) sum += segment.bytes;
  return sum;
}
std::size_t Compaction::live() const {
  std::size_t sum = 0;
  for (const auto& [id, segment] : segments_) sum += segment.live;
  return sum;
}

const StreamSettings* Compaction::of(const Segment& segment) const {
  auto found = std::ranges::find(settings_.streams, segment.stream, &StreamSettings::id);
  return found == settings_.streams.end() ? nullptr : &*found;
}

bool Compaction::is_short() const {
  return static_cast<double>(bytes()) + short_segments * static_cast<double>(settings_.segment_bytes) >
         static_cast<double>(settings_.max_disk_bytes);
}

bool Compaction::aged(const Segment& segment) const {
  auto stream = of(segment);
  return stream && wall_ >= static_cast<double>(segment.youngest) + stream->min_compaction_lag;
}

double Compaction::share(const Segment& segment) const {
  return segment.bytes == 0 ? 1 : 1 - static_cast<double>(segment.live) / static_cast<double>(segment.bytes);
}

// The one of which most can go; while room is short, also one of which less than its stream's share can.
std::optional<SegmentId> Compaction::victim() const {
  std::optional<SegmentId> best;
  double most = 0;
  bool is_short = this->is_short();
  for (const auto& [id, segment] : segments_) {
    auto stream = of(segment);
    if (!stream || !aged(segment)) continue;
    if (!segment.sealed && now_ < segment.added_at + quiet_after) continue;
    double share = this->share(segment), worth = stream->min_dirty_ratio;
    if (share >= (is_short ? std::min(worth, worth_when_short) : worth) && share > most)
      best = id, most = share;
  }
  return best;
}

// Documents go before compaction, but not before the room that they need.
bool Compaction::must_pause() { return stage_ == Stage::copying && waiting_ > 0 && !is_short(); }
void Compaction::pause() { stage_ = Stage::paused; }
bool Compaction::may_go_on() { return stage_ == Stage::paused && (waiting_ == 0 || is_short()); }
void Compaction::go_on() { stage_ = Stage::copying; }

// One at a time.
bool Compaction::has_victim() {
  return stage_ == Stage::resting && now_ >= rests_until_ && (waiting_ == 0 || is_short()) &&
         victim().has_value();
}
void Compaction::start() { stage_ = Stage::copying, chosen_ = *victim(); }

const fleet::Rule<Compaction> Compaction::rules_[] = {
    {"paused while documents wait", &Compaction::must_pause, &Compaction::pause},
    {"goes on", &Compaction::may_go_on, &Compaction::go_on},
    {"a segment is worth it", &Compaction::has_victim, &Compaction::start},
};

std::optional<SegmentId> Compaction::decide(std::vector<std::string>& log) {
  fleet::run_until_stable(*this, rules_);
  if (failures_ > 0 && stage_ == Stage::resting && rests_until_ > now_ && !std::exchange(told_, true))
    log.push_back("a compaction failed, tried again in " +
                  std::to_string(static_cast<long>(rests_until_ - now_)) + " ms");
  if (failures_ == 0) told_ = false;
  due_ = stage_ == Stage::copying ? now_ : now_ + 500;
  return stage_ == Stage::copying ? std::optional(chosen_) : std::nullopt;
}

}  // namespace rockcrank::latest
