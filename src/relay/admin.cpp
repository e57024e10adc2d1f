#include "relay/admin.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

#include "settings/settings.h"

namespace rockcrank {
namespace {

constexpr std::size_t max_line_bytes = 256;
constexpr Millis line_timeout = 5000;   // to receive the complete line
constexpr Millis close_timeout = 1000;  // for the peer to close after the answer
constexpr Millis answer_timeout = 2000;

}  // namespace

// One connection of the admin listener. Its line is answered as soon as it is complete.
class AdminServer::Connection {
 public:
  Connection(AdminServer& server, std::uint64_t id, int fd)
      : server_(server),
        id_(id),
        stream_(server.loop_, fd),
        timer_(server.loop_, [this] { handle_timeout(); }) {
    timer_.set(server_.loop_.now() + line_timeout);
    stream_.on_data = [this] { handle_data(); };
    stream_.on_close = [this] { server_.close(id_); };
    stream_.on_half_close = [this] { respond("error the line has no end"); };
  }
  void close() { stream_.close(), timer_.clear(); }

 private:
  void handle_timeout() {
    if (answered_ || stream_.received().empty()) return server_.close(id_);
    respond("error the line has no end");
  }
  void handle_data() {
    if (answered_) return;
    auto received = stream_.received();
    auto end = received.find('\n');
    // Half a line could name another endpoint, so only a terminated line is executed.
    if (std::min(end, received.size()) > max_line_bytes) return respond("error the line is too long");
    if (end != std::string_view::npos) respond(server_.answer(received.substr(0, end)));
  }
  void respond(const std::string& line) {
    if (std::exchange(answered_, true)) return;
    timer_.set(server_.loop_.now() + close_timeout);
    stream_.send(line + "\n");
    stream_.close_gracefully();
  }

  AdminServer& server_;
  const std::uint64_t id_;
  Stream stream_;
  Timer timer_;
  bool answered_ = false;
};

AdminServer::AdminServer(EventLoop& loop, const Address& address)
    : loop_(loop), listener_(loop, address, [this](int fd) { accept(fd); }) {}

AdminServer::~AdminServer() = default;

// At the limit the oldest connection is dropped: a caller that has not sent its line by now is idle or stuck.
void AdminServer::accept(int fd) {
  if (connections_.size() >= max_connections) close(connections_.begin()->first);
  auto id = ++last_connection_id_;
  connections_[id] = std::make_unique<Connection>(*this, id, fd);
}

void AdminServer::close(std::uint64_t id) {
  auto found = connections_.find(id);
  if (found == connections_.end()) return;
  found->second->close();
  loop_.defer_delete(std::move(found->second));
  connections_.erase(found);
}

std::string AdminServer::answer(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  std::vector<std::string> words;
  for (auto rest = line; !rest.empty();)
    if (auto word = next_token(rest, ' '); !word.empty()) words.emplace_back(word);
  if (words.empty()) return "error the line is empty";
  if (!std::all_of(words.begin(), words.end(), is_printable)) return "error the line cannot be read";
  bool offline = words[0] == "OFFLINE", health = words[0] == "HEALTH", metrics = words[0] == "METRICS";
  if (metrics && words.size() > 1) return "error METRICS takes no argument";
  if (metrics) return on_metrics ? "done " + on_metrics() : "error this process does not take clients yet";
  if (!health && !offline && words[0] != "ONLINE") return "error unknown command " + quote_excerpt(words[0]);
  if (health && words.size() > 1) return "error HEALTH takes no argument";
  if (!health && words.size() != 2) return "error " + words[0] + " takes one endpoint's id";
  if (!on_health) return "error this process does not take clients yet";
  auto error = health ? on_health() : on_set_offline(words[1], offline);
  return error.empty() ? "done" : "error " + error;
}

std::string send_admin_command(const Address& address, const std::string& line) {
  EventLoop loop;
  Stream stream(loop, address);
  std::string answer;
  Timer timeout(loop, [&] { loop.stop(); });
  stream.on_data = [&] { answer = std::string(stream.received()); };
  stream.on_close = [&] { loop.stop(); };
  bool failed = stream.state() == Stream::State::closed;
  if (!failed) {
    stream.send(line + "\n");
    timeout.set(loop.now() + answer_timeout);
    loop.run();
  }
  if (answer.empty() || answer.back() != '\n')
    throw std::runtime_error("no answer from " + address.host + ":" + std::to_string(address.port));
  answer.pop_back();
  return answer;
}

}  // namespace rockcrank
