// The relay's process is replaced while a client has sent many commands at once on one connection.
#include "../common/stand_in.h"

using namespace review;

namespace {

constexpr int commands = 600;
// When the batch is sent, in milliseconds after the start of the next process: it has to be under way when the two
// processes meet, and how long a process takes to start depends on the machine.
constexpr Ms batch_after_start[] = {-2, 1, -6, 4, 10, 20, 40, 80};
constexpr Ms time_of_document = 6000;  // each document's own time, in its command
constexpr Ms slack = 2000;             // beyond it; the pages give 300 ms, and 1.5 s after a restart

struct Document {
  Ms sent_at = 0;
  std::string answer;
  int calls = 0;
  bool delivered = false;
};

bool play(Loop& loop, Record& record, const std::string& folder, bool trouble) {
  Agent agent(loop, record, "n1");
  Endpoint endpoint(loop, record, "s-1");
  std::map<std::string, Document> documents;
  endpoint.on_call = [&](const Call& call) {
    auto found = documents.find(call.id);
    if (found == documents.end()) return endpoint.answer(call, "400 Bad Request");
    ++found->second.calls;
    loop.after(20, [&, call, found] {
      found->second.delivered |= loop.find(call.socket) != nullptr;
      endpoint.answer(call);
    });
  };
  agent.set_targets(Json::array({endpoint.listed(1, "hall-a", "large", "Ready", 2000)}));

  // Answers come in the order of the commands on a connection. A client that hears nothing for 400 ms closes it.
  int sent_batches = 0, closed_batches = 0;
  auto hand_in = [&](int port, int count, const char* who) {
    const int number = ++sent_batches;
    Socket& socket = loop.connect(port);
    const int id = socket.id;
    auto order = std::make_shared<std::vector<std::string>>();
    auto answered = std::make_shared<std::size_t>(0);
    std::string bytes;
    for (int i = 0; i < count; ++i) {
      char name[40];
      std::snprintf(name, sizeof name, "%08x%08x", number, i);
      documents[name].sent_at = clock_ms();
      order->push_back(name);
      bytes += enqueue("0000000000000000", name,
                       "c=boundary,d=" + std::to_string(static_cast<int>(time_of_document)) + ",k=" + name + ",dest=1",
                       std::string("boundary ") + name);
    }
    socket.on_data = [&, id, order, answered] {
      Socket* open = loop.find(id);
      for (std::size_t end; open && (end = open->in.find("\r\n")) != std::string::npos;) {
        documents.at(order->at((*answered)++)).answer = open->in.substr(0, end);
        open->in.erase(0, end + 2);
      }
    };
    record.line("client %s: sends %d commands (%08x00000000 and following)", who, count, number);
    loop.send(id, bytes);
    loop.after(400, [&, id, order, answered, who, number] {
      record.line("client %s: %zu answers to %zu commands (%08x...), closes", who, *answered, order->size(), number);
      ++closed_batches;
      loop.close(id);
    });
  };

  auto is_lost = [&](const std::string& id, const Document& document) {
    return document.answer.rfind("+", 0) == 0 && !document.delivered && agent.notices.count(id) == 0;
  };
  auto lost_documents = [&] {
    return std::count_if(documents.begin(), documents.end(),
                         [&](const auto& one) { return is_lost(one.first, one.second); });
  };
  int round = 0;
  for (const Ms offset : batch_after_start) {
    if (lost_documents() > 0) break;
    ++round;
    const std::string here = folder + "/round-" + std::to_string(round);
    std::filesystem::create_directories(here + "/state");
    int client_port = 0;
    const int passed = Loop::listening(0, client_port);
    Json settings = small_settings();
    settings["balancers"] = 1;
    settings["limits"]["openCap"] = 1000;
    Json config{{"name", "n1"},
                {"listen", at(client_port)},
                {"discovery", at(agent.port)},
                {"seed", std::to_string(round)},
                {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 384}, {"disk_mb", 3}}},
                {"known", agent.list()},
                {"settings", settings}};
    std::ofstream(here + "/config.json") << config.dump();
    auto launch = [&](Process& process, const std::string& which) {
      const int admin = free_port();
      start(process,
            {{"BALANCER_CONFIG", here + "/config.json"}, {"BALANCER_STATE", here + "/state"},
             {"BALANCER_ADMIN", at(admin)}, {"BALANCER_PASSED_SOCKET", "3"}},
            here + "/" + which + ".log", passed);
      return admin;
    };
    Process first, second;
    launch(first, "first");
    wait_ready(loop, first, client_port);
    record.line("round %d: the relay serves", round);
    loop.run(200);
    if (offset < 0) hand_in(client_port, commands, "A"), loop.run(-offset);
    int admin = 0;
    const Ms asked = clock_ms();
    if (trouble) {
      record.line("platform: starts the next process");
      admin = launch(second, "second");
    }
    if (offset >= 0) loop.run(offset), hand_in(client_port, commands, "A");
    if (trouble) {
      while (ask_admin(loop, admin, "HEALTH") != "done") {
        if (!second.running()) throw CannotRun("the new process ended");
        if (clock_ms() > asked + 6000) throw CannotRun("the new process was not ready within 6 s");
        loop.run(5);
      }
      record.line("platform: the new process says yes after %.0f ms, the old one gets SIGTERM", clock_ms() - asked);
      first.signal(SIGTERM);
      loop.run(3700, [&] { return !first.running(); });
      first.kill();
      record.line("platform: the old process has ended");
    }
    loop.run(10000, [&] { return closed_batches == sent_batches; });
    // A few more documents of another client, one at a time, while the endpoint is well. Not judged but by the rule.
    for (int i = 0; i < 3; ++i) hand_in(client_port, 1, "B"), loop.run(100);
    loop.run(time_of_document + slack);
    ::close(passed);
  }

  int taken = 0, lost = 0, unanswered = 0;
  for (const auto& [id, document] : documents) {
    const bool noticed = agent.notices.count(id) > 0, took = document.answer.rfind("+", 0) == 0;
    const bool is_gone = is_lost(id, document);
    record.line("document %s: heard '%s', %d calls, %s, %s%s", id.c_str(), document.answer.c_str(), document.calls,
                document.delivered ? "delivered" : "not delivered", noticed ? "a notice" : "no notice",
                is_gone ? ": LOST" : "");
    taken += took, lost += is_gone, unanswered += document.answer.empty();
  }
  record.line("documents %zu, taken on (+OK heard) %d, without an answer %d, lost %d", documents.size(), taken,
              unanswered, lost);
  std::printf("documents %zu, taken on %d, without an answer %d, lost %d\n", documents.size(), taken, unanswered, lost);
  return lost == 0;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
