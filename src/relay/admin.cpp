// One object a caller at the second address; admin.h says what it owns. Every answer is given in the round of
// the loop in which its line came.

#include "relay/admin.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

#include "settings/settings.h"

namespace rockcrank {
namespace {

constexpr std::size_t line_most = 256;
constexpr Millis line_within = 5000;  // for the whole of its line
constexpr Millis linger = 1000;       // for the caller's end, after the answer
constexpr Millis asked_within = 2000;

}  // namespace

class AdminServer::Caller {
 public:
  Caller(AdminServer& owner, std::uint64_t number, int fd)
      : owner_(owner), number_(number), stream_(owner.loop_, fd), due_(owner.loop_, [this] { late(); }) {
    due_.set(owner_.loop_.now() + line_within);
    stream_.on_data = [this] { read(); };
    stream_.on_close = [this] { owner_.ended(number_); };
    stream_.on_half_close = [this] { say("error the line has no end"); };
  }
  void shut() { stream_.close(), due_.clear(); }

 private:
  void late() {
    if (answered_ || stream_.received().empty()) return owner_.ended(number_);
    say("error the line has no end");
  }
  void read() {
    if (answered_) return;
    auto got = stream_.received();
    auto end = got.find('\n');
    // Guards against half a line that names another endpoint than the whole would: only an ended one counts.
    if (std::min(end, got.size()) > line_most) return say("error the line is too long");
    if (end != std::string_view::npos) say(owner_.answer(got.substr(0, end)));
  }
  void say(const std::string& line) {
    if (std::exchange(answered_, true)) return;
    due_.set(owner_.loop_.now() + linger);
    stream_.send(line + "\n");
    stream_.close_gracefully();
  }

  AdminServer& owner_;
  const std::uint64_t number_;
  Stream stream_;
  Timer due_;
  bool answered_ = false;
};

AdminServer::AdminServer(EventLoop& loop, const Address& at)
    : loop_(loop), listener_(loop, at, [this](int fd) { taken(fd); }) {}

AdminServer::~AdminServer() = default;

// Guards against callers that send nothing and stay: the eldest makes way, as a whole line would long have
// been answered.
void AdminServer::taken(int fd) {
  if (callers_.size() >= max_connections) ended(callers_.begin()->first);
  auto number = ++last_;
  callers_[number] = std::make_unique<Caller>(*this, number, fd);
}

void AdminServer::ended(std::uint64_t number) {
  auto found = callers_.find(number);
  if (found == callers_.end()) return;
  found->second->shut();
  loop_.defer_delete(std::move(found->second));
  callers_.erase(found);
}

std::string AdminServer::answer(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  std::vector<std::string> words;
  for (auto rest = line; !rest.empty();)
    if (auto word = next_token(rest, ' '); !word.empty()) words.emplace_back(word);
  if (words.empty()) return "error the line is empty";
  if (!std::all_of(words.begin(), words.end(), is_printable)) return "error the line cannot be read";
  bool out = words[0] == "OFFLINE", health = words[0] == "HEALTH", metrics = words[0] == "METRICS";
  if (metrics && words.size() > 1) return "error METRICS takes no argument";
  if (metrics) return on_metrics ? "done " + on_metrics() : "error this process does not take clients yet";
  if (!health && !out && words[0] != "ONLINE") return "error unknown command " + quote_excerpt(words[0]);
  if (health && words.size() > 1) return "error HEALTH takes no argument";
  if (!health && words.size() != 2) return "error " + words[0] + " takes one endpoint's id";
  if (!on_health) return "error this process does not take clients yet";
  auto why = health ? on_health() : on_set_offline(words[1], out);
  return why.empty() ? "done" : "error " + why;
}

std::string send_admin_command(const Address& at, const std::string& line) {
  EventLoop loop;
  Stream stream(loop, at);
  std::string answer;
  Timer late(loop, [&] { loop.stop(); });
  stream.on_data = [&] { answer = std::string(stream.received()); };
  stream.on_close = [&] { loop.stop(); };
  bool refused = stream.state() == Stream::State::closed;
  if (!refused) {
    stream.send(line + "\n");
    late.set(loop.now() + asked_within);
    loop.run();
  }
  if (answer.empty() || answer.back() != '\n')
    throw std::runtime_error("nobody answers at " + at.host + ":" + std::to_string(at.port));
  answer.pop_back();
  return answer;
}

}  // namespace rockcrank
