// An in-memory disk for tests of the log: it can crash at any step, write partially, or be full.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "peer/segments.h"

namespace rockcrank::peer {

struct SimulatedCrash {};

struct InMemoryDisk {
  std::map<std::string, std::string> files;
  int step_count = 0, crash_at_step = 0;  // 0: never
  bool writes_partially = false;
  std::size_t capacity = SIZE_MAX;
  std::map<std::string, std::size_t> flushed;  // bytes of each file that survive a power failure
  void flush() {
    flushed.clear();
    for (const auto& [name, bytes] : files) flushed[name] = bytes.size();
  }
  void cut_power() {
    for (auto& [name, bytes] : files) bytes.resize(std::min(bytes.size(), flushed[name]));
  }
  std::size_t used_bytes() const {
    std::size_t sum = 0;
    for (const auto& [name, bytes] : files) sum += bytes.size();
    return sum;
  }
};

class InMemoryFiles final : public FileSystem {
 public:
  explicit InMemoryFiles(std::shared_ptr<InMemoryDisk> disk) : disk_(std::move(disk)) {}
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : disk_->files) names.push_back(name);
    return names;
  }
  std::optional<std::string> read(const std::string& name, std::size_t offset, std::size_t bytes) override {
    auto found = disk_->files.find(name);
    if (found == disk_->files.end()) return std::nullopt;
    return offset > found->second.size() ? std::string() : found->second.substr(offset, bytes);
  }
  std::optional<std::size_t> size(const std::string& name) override {
    auto found = disk_->files.find(name);
    return found == disk_->files.end() ? std::nullopt : std::optional(found->second.size());
  }
  std::size_t append(const std::string& name, std::string_view bytes) override {
    bool stops = step();
    auto fits = std::min(bytes.size(), disk_->capacity - std::min(disk_->capacity, disk_->used_bytes()));
    if (stops) fits = disk_->writes_partially ? std::min(fits, bytes.size() / 2) : 0;
    disk_->files[name].append(bytes.substr(0, fits));
    if (stops) throw SimulatedCrash();
    return fits;
  }
  bool truncate(const std::string& name, std::size_t size) override {
    if (step()) throw SimulatedCrash();
    disk_->files[name].resize(size);
    disk_->flushed[name] = std::min(disk_->flushed[name], size);
    return true;
  }
  bool sync(const std::string& name) override {
    if (step()) throw SimulatedCrash();
    disk_->flushed[name] = disk_->files[name].size();
    return true;
  }
  bool rename(const std::string& from, const std::string& to) override {
    if (step()) throw SimulatedCrash();
    disk_->files[to] = std::move(disk_->files[from]);
    disk_->files.erase(from);
    disk_->flushed[to] = std::exchange(disk_->flushed[from], 0);
    return true;
  }
  bool remove(const std::string& name) override {
    if (step()) throw SimulatedCrash();
    disk_->files.erase(name), disk_->flushed.erase(name);
    return true;
  }

 private:
  bool step() { return ++disk_->step_count == disk_->crash_at_step; }
  std::shared_ptr<InMemoryDisk> disk_;
};

}  // namespace rockcrank::peer
