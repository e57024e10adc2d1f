// The simulated clients and operators.

#include "trial/harness.h"
#include "trial/messages.h"

namespace rockcrank::trial {

void Harness::handle_client_data(const std::string& relay_name, const std::string& client_name) {
  Client& client = clients_[relay_name][client_name];
  Socket* sock = event_loop_.find(client.socket_id);
  if (!sock) return;
  for (auto end = sock->in.find("\r\n"); end != std::string::npos; end = sock->in.find("\r\n")) {
    auto line = sock->in.substr(0, end);
    sock->in.erase(0, end + 2);
    if (client.unanswered_ids.empty()) continue;
    auto id = client.unanswered_ids.front();
    client.unanswered_ids.pop_front();
    auto what = line == "+OK" ? "OK" : line.rfind("-BUSY", 0) == 0 ? "BUSY" : "ERR";
    record("said", {{"r", relay_name}, {"id", id}, {"what", what}});
    Document& doc = documents_[id];
    doc.accepted = line == "+OK", doc.awaiting_answer = false;
  }
}

void Harness::submit(const std::string& relay_name, const std::string& id, const Options& options) {
  auto name = option(options, "c", "c");
  auto type = option(options, "type", "plain"), key = option(options, "key", "0"),
       version = option(options, "v", "0");
  auto time_to_expiry = option(options, "left", "8000"), dest = option(options, "for", "1");
  auto idempotency_key = option(options, "mark", type == "numbered" ? "m-" + id : "");
  auto body = options.count("empty")
                  ? std::string()
                  : "key=" + key + " v=" + version + " " +
                        std::string(static_cast<std::size_t>(number(options, "fill", 0)), 'x');
  auto order_key = std::string(key.size() < 16 ? 16 - key.size() : 0, '0') + key;
  auto list = "c=" + type + ",d=" + time_to_expiry + ",dest=" + dest +
              (idempotency_key.empty() ? "" : ",k=" + idempotency_key);
  Client& client = clients_[relay_name][name];
  Socket* sock = event_loop_.find(client.socket_id);
  if (!sock) {
    sock = event_loop_.connect({host_, relays_.at(relay_name).client_port});
    client.socket_id = sock->id;
    sock->on_data = [this, relay_name, name] { handle_client_data(relay_name, name); };
    sock->on_closed = [this, relay_name, name] {
      for (const auto& unanswered_id : std::exchange(clients_[relay_name][name].unanswered_ids, {})) {
        record("unsaid", {{"r", relay_name}, {"id", unanswered_id}});
        documents_[unanswered_id].awaiting_answer = false;
      }
    };
  }
  documents_[id] = {relay_name};
  client.unanswered_ids.push_back(id);
  record("hand", {{"r", relay_name},
                  {"id", id},
                  {"type", type},
                  {"dest", dest},
                  {"key", key},
                  {"v", version},
                  {"left", time_to_expiry},
                  {"mark", idempotency_key},
                  {"c", name},
                  {"empty", options.count("empty") ? "1" : "0"}});
  event_loop_.send(*sock, command({"ENQUEUE", order_key, id, list, body}));
}

void Harness::schedule_load(const std::string& relay_name, const std::string& id, const Options& options,
                            int times, Millis every) {
  for (int i = 0; i < times; ++i)
    event_loop_.schedule(now() + i * every, [=, this] {
      if (is_running(relay_name) && !is_suspended(relay_name))
        submit(relay_name, id + std::to_string(i), options);
    });
}

void Harness::set_offline(const std::string& relay_name, const std::string& endpoint, bool offline) {
  Socket* sock = event_loop_.connect({host_, relays_.at(relay_name).admin_port});
  auto id = sock->id;
  sock->on_data = [this, id, relay_name, endpoint, offline] {
    Socket* open_socket = event_loop_.find(id);
    if (open_socket && open_socket->in.rfind("done", 0) == 0)
      record(offline ? "out" : "in", {{"r", relay_name}, {"e", endpoint}});
    if (open_socket) open_socket->in.clear();
  };
  event_loop_.send(*sock, (offline ? "OFFLINE " : "ONLINE ") + endpoint + "\n");
}

// ---- waiting

}  // namespace rockcrank::trial
