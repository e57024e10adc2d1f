// The simulated endpoints: their listeners, and how they answer calls.

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "settings/base64.h"
#include "settings/settings.h"
#include "trial/harness.h"
#include "trial/messages.h"

namespace rockcrank::trial {

namespace {
constexpr Millis piece_interval = 0.2;
constexpr const char* batch_request_line = "POST /v1/messages:batch ";
}  // namespace

void Harness::open_endpoint(Endpoint& endpoint) {
  for (auto& [id, relay] : relays_) {
    if (id[0] == 'x' || endpoint.listeners.count(id)) continue;
    if (!endpoint.ports.count(id)) endpoint.ports[id] = next_port();
    Socket* listener = event_loop_.listen({host_, endpoint.ports[id]});
    endpoint.listeners[id] = listener->id;
    listener->on_accepted = [this, name = endpoint.name, id = id](Socket& sock) {
      connections_[name].insert(sock.id);
      record("conn", {{"e", name},
                      {"dest", std::to_string(endpoints_.at(name).dest)},
                      {"r", id},
                      {"conn", std::to_string(sock.id)}});
      sock.on_data = [this, name, id, socket_id = sock.id] { handle_call_data(name, id, socket_id); };
      sock.on_closed = [this, name, socket_id = sock.id] { connections_[name].erase(socket_id); };
    };
  }
}
void Harness::close_endpoint(Endpoint& endpoint) {
  for (auto& [id, socket_id] : std::exchange(endpoint.listeners, {}))
    if (Socket* sock = event_loop_.find(socket_id)) event_loop_.close(*sock);
  for (auto socket_id : std::exchange(connections_[endpoint.name], {}))
    if (Socket* sock = event_loop_.find(socket_id)) event_loop_.close(*sock, true);
}

void Harness::set_endpoint(const std::string& name, const Options& how) {
  bool is_new = !endpoints_.count(name);
  Endpoint& endpoint = endpoints_[name];
  if (is_new) {
    endpoint.name = name, endpoint.zone = option(how, "hall", "h0");
    endpoint.dest = static_cast<int>(number(how, "for", 1)), endpoint.rate = number(how, "rate", 200);
    endpoint.kind = option(how, "kind", "m0") == "m1";
    record("endpoint", {{"e", name},
                        {"dest", std::to_string(endpoint.dest)},
                        {"hall", endpoint.zone},
                        {"rate", option(how, "rate", "200")}});
    ++revision_;
  }
  endpoint.how = how;
  auto behaviour = endpoint.how["manner"] = option(how, "manner", "200");
  endpoint.times = static_cast<int>(number(how, "times", -1));
  bool failing = behaviour == "down" || behaviour == "silent" || behaviour == "reset" || behaviour == "500" ||
                 behaviour == "shut";
  if (behaviour == "down") {
    close_endpoint(endpoint);
    if (is_new) open_endpoint(endpoint), close_endpoint(endpoint);  // reserves its ports
  } else {
    open_endpoint(endpoint);
  }
  if (failing != endpoint.failing) record(failing ? "fails" : "works", {{"e", name}, {"how", behaviour}});
  else if (!is_new) record("manner", {{"e", name}, {"how", behaviour}});
  endpoint.failing = failing;
  if (is_new) set_listed_state(name, option(how, "state", "Ready"));
}

void Harness::set_listed_state(const std::string& name, const std::string& state) {
  endpoints_.at(name).state = state;
  ++revision_;
  record("list", {{"e", name}, {"state", state}});
  for (auto& [id, relay] : relays_)
    for (auto socket_id : std::set<std::uint64_t>(polling_agents_[id])) send_list(relay, socket_id);
}

void Harness::handle_call_data(const std::string& name, const std::string& relay_name,
                               std::uint64_t socket_id) {
  std::string head, body;
  while (Socket* sock = event_loop_.find(socket_id)) {
    auto started_at = sock->first_byte_at;
    if (!take_request(sock->in, head, body)) return;
    sock->first_byte_at = event_loop_.now();
    handle_call(endpoints_.at(name), relay_name, *sock, head, body, started_at);
  }
}

std::vector<Harness::CalledDocument> Harness::documents_of(const std::string& head, const std::string& body) {
  if (head.rfind(batch_request_line, 0) != 0)
    return {{header(head, "Request-Id"), header(head, "Idempotency-Key"), body}};
  std::vector<CalledDocument> items;
  auto list = Json::parse(body, nullptr, false);
  for (const auto& item : list.is_array() ? list : Json::array())
    items.push_back({item.value("id", ""), item.value("key", ""), base64_decode(item.value("body", ""))});
  return items;
}

void Harness::record_calls(const Endpoint& endpoint, const std::string& relay_name, const Socket& sock,
                           const std::vector<CalledDocument>& items, Millis started_at) {
  char time[32], quiet[32];
  std::snprintf(time, sizeof time, "%.3f", started_at);
  std::snprintf(quiet, sizeof quiet, "%.3f", sock.quiet_until);
  for (const auto& item : items)
    record("call", {{"e", endpoint.name},
                    {"dest", std::to_string(endpoint.dest)},
                    {"r", relay_name},
                    {"conn", std::to_string(sock.id)},
                    {"began", time},
                    {"quiet", quiet},
                    {"id", item.id},
                    {"mark", item.idempotency_key},
                    {"key", body_field(item.body, "key")},
                    {"v", body_field(item.body, "v")},
                    {"items", std::to_string(items.size())}});
}

void Harness::handle_call(Endpoint& endpoint, const std::string& relay_name, Socket& sock,
                          const std::string& head, const std::string& body, Millis started_at) {
  const auto items = documents_of(head, body);
  if (auto copy = pending_copies_.extract(sock.id))
    write_copy(sock.id, copy.mapped(), number(copy.mapped().how, "next", 0));
  record_calls(endpoint, relay_name, sock, items, started_at);
  auto how = endpoint.how;
  if (endpoint.times == 0) how = {{"manner", "200"}, {"after", option(how, "after", "0")}};
  if (endpoint.times > 0) --endpoint.times;
  const int nth = static_cast<int>(number(how, "nth", 1));
  if (++endpoint.calls % nth != 0) how = {{"manner", "200"}};
  Answer answer = make_answer(endpoint, items, head.rfind(batch_request_line, 0) == 0, how);
  answer.relay = relay_name, answer.socket_id = sock.id;
  if (how["manner"] == "silent") return;
  if (how["manner"] == "reset") {
    record_broken(answer);
    connections_[endpoint.name].erase(sock.id);
    return event_loop_.close(sock, true);
  }
  auto answer_at = now() + number(how, "after", 0);
  if (auto last_piece = last_piece_at_.extract(sock.id))
    answer_at = std::max(answer_at, last_piece.mapped() + 1);
  event_loop_.schedule(answer_at, [this, answer] {
    event_loop_.update_clock();  // a wait counts from the write
    write_answer(answer);
  });
}

Harness::Answer Harness::make_answer(Endpoint& endpoint, const std::vector<CalledDocument>& items,
                                     bool is_batch, const Options& how) {
  Answer answer;
  answer.endpoint = endpoint.name, answer.how = how;
  const std::string behaviour = option(how, "manner", "200");
  if (behaviour == "silent" || behaviour == "reset") {
    for (const auto& item : items) answer.documents.push_back({item.id, ""});
    return answer;
  }
  const bool cut = how.count("cut") > 0;
  for (const auto& item : items) {
    const bool is_whole = !is_batch || !cut;  // a list that is cut says nothing of its documents
    answer.documents.push_back(
        {item.id, is_whole ? status_for(item.id, behaviour, how.count("states") > 0) : behaviour});
  }
  answer.is_batch = is_batch, answer.lists_items = is_batch && !cut && needs_list(answer);
  std::string answer_body, headers;
  if (answer.lists_items) {
    auto states = Json::array();
    for (const auto& document : answer.documents)
      states.push_back({{"id", document.id}, {"state", item_state(document.status)}});
    answer_body = states.dump();
  }
  if (endpoint.copies.count("unique") && !is_batch && behaviour == "200")
    answer_body = "answer to " + items[0].id;
  const auto status = answer.lists_items ? std::string("200") : answer.documents[0].status;
  // "410" and "504" tell no wait, whatever the endpoint would have answered to another document.
  const bool tells_wait = how.count("wait") && status != "410" && status != "504";
  if (tells_wait) {
    headers = "Retry-After: " + option(how, "wait", "") + "\r\n";
    answer.wait = number(how, "wait", 0) * 1000;
  }
  if (how.count("busy")) headers = "X-Line-Busy: 1\r\n";
  answer.bytes = http(status + " Said", headers, cut ? "not sent whole" : answer_body);
  if (cut) answer.bytes.resize(answer.bytes.size() - 5);
  return answer;
}

// An answer to several documents has one status for all where they fare alike and the protocol names it.
bool Harness::needs_list(const Answer& answer) {
  const std::string& first = answer.documents[0].status;
  const bool are_alike = std::all_of(answer.documents.begin(), answer.documents.end(),
                                     [&](const auto& document) { return document.status == first; });
  return !are_alike || first == "200" || first == "410" || first == "504";
}

// The caller has disconnected, or gets no whole answer.
void Harness::record_broken(const Answer& answer) {
  for (const auto& document : answer.documents)
    record("broke", {{"e", answer.endpoint}, {"r", answer.relay}, {"id", document.id}});
}

void Harness::record_answer(const Answer& answer) {
  for (const auto& document : answer.documents) {
    std::vector<std::pair<std::string, std::string>> fields{
        {"e", answer.endpoint}, {"dest", std::to_string(endpoints_.at(answer.endpoint).dest)},
        {"r", answer.relay},    {"conn", std::to_string(answer.socket_id)},
        {"id", document.id},    {"status", document.status}};
    if (answer.wait > 0) fields.emplace_back("wait", std::to_string(static_cast<long>(answer.wait)));
    if (answer.how.count("cut")) fields.emplace_back("cut", "1");
    record("answer", std::move(fields));
    if (auto found = documents_.find(document.id);
        found != documents_.end() && (document.status == "200" || document.status == "410"))
      found->second.ended = true;
  }
}

void Harness::write_answer(const Answer& answer) {
  Socket* sock = event_loop_.find(answer.socket_id);
  if (!sock) return record_broken(answer);
  Endpoint& endpoint = endpoints_.at(answer.endpoint);
  const int every = static_cast<int>(number(endpoint.transport, "every", 0));
  const bool cut = answer.how.count("cut") > 0;
  if (every > 0 && ++endpoint.transported % every == 0)
    return write_piece(std::make_shared<TransportedAnswer>(answer, endpoint.transport));
  record_answer(answer);
  event_loop_.send(*sock, answer.bytes);
  if (!cut) copy_answer(endpoint, answer.socket_id, answer.bytes);
  const bool resets = answer.how.count("reset") > 0;
  if (cut || resets || answer.how.count("close")) event_loop_.close(*sock, resets);
}

// The answer to a call of a single document counts from its first line where that ends the document, any
// other one once it is whole.
std::size_t Harness::deciding_bytes(const Answer& answer) {
  const std::string& status = answer.documents[0].status;
  const bool is_final = !answer.is_batch && (status == "200" || status == "410");
  return is_final ? answer.bytes.find("\r\n") + 2 : answer.bytes.size();
}

void Harness::write_piece(const std::shared_ptr<TransportedAnswer>& answer) {
  Socket* sock = event_loop_.find(answer->socket_id);
  if (!sock) {
    if (!answer->is_recorded) record_broken(*answer);
    return;
  }
  const auto fault_at = static_cast<std::size_t>(number(answer->transport, "at", 1) *
                                                 static_cast<double>(answer->bytes.size()));
  const bool reaches_fault = !answer->is_past_fault && answer->written >= fault_at;
  if (reaches_fault && answer->written < answer->bytes.size()) return play_transport_fault(answer, *sock);
  const auto piece_size = static_cast<std::size_t>(number(answer->transport, "piece", 1000));
  const std::size_t end = answer->is_past_fault ? answer->bytes.size() : fault_at;
  const std::string piece =
      answer->bytes.substr(answer->written, std::min(piece_size, end - answer->written));
  event_loop_.update_clock();
  if (!answer->is_recorded && answer->written + piece.size() >= deciding_bytes(*answer)) {
    answer->is_recorded = true;
    record_answer(*answer);
  }
  answer->written += piece.size();
  event_loop_.send(*sock, piece);
  if (answer->written < answer->bytes.size())
    event_loop_.schedule(now() + number(answer->transport, "gap", 0), [=, this] { write_piece(answer); });
}

void Harness::play_transport_fault(const std::shared_ptr<TransportedAnswer>& answer, Socket& sock) {
  const std::string fault = option(answer->transport, "fault", "stall");
  answer->is_past_fault = true;
  if (fault == "stall")
    return event_loop_.schedule(now() + number(answer->transport, "stall", 0),
                                [=, this] { write_piece(answer); });
  if (!answer->is_recorded) record_broken(*answer);
  if (fault == "half_close") return event_loop_.finish_sending(sock);
  connections_[answer->endpoint].erase(answer->socket_id);
  event_loop_.close(sock, fault == "reset");
}

// The status for one document of a call; with mixed: each of those that an answer to several can list.
std::string Harness::status_for(const std::string& id, const std::string& behaviour, bool mixed) {
  static const char* const statuses[] = {"200", "200", "500", "503", "410", "504"};
  std::string status = behaviour == "shut" ? "503" : behaviour;
  if (mixed && behaviour == "200") status = statuses[fnv1a_hash(id) % std::size(statuses)];
  if (withdrawn_.count(id)) return "410";
  if (spent_.count(id)) return "504";
  if (status == "410") withdrawn_.insert(id);
  if (status == "504") spent_.insert(id);
  return status;
}

const char* Harness::item_state(const std::string& status) {
  if (status == "200") return "ok";
  if (status == "410") return "gone";
  if (status == "504") return "exhausted";
  const bool never_ran = status == "503" || status == "429" || status == "400" || status == "413";
  return never_ran ? "later" : "error";
}

void Harness::copy_answer(Endpoint& endpoint, std::uint64_t socket_id, const std::string& answer) {
  const int every = static_cast<int>(number(endpoint.copies, "every", 0));
  if (every == 0 || ++endpoint.answers % every != 0) return;
  const PendingCopy copy{answer, endpoint.copies};
  if (copy.how.count("next")) pending_copies_[socket_id] = copy;
  else write_copy(socket_id, copy, number(copy.how, "after", 0));
}

void Harness::write_copy(std::uint64_t socket_id, const PendingCopy& copy, Millis delay) {
  std::string bytes;
  for (int i = 0; i <= number(copy.how, "times", 0); ++i) bytes += copy.answer;
  const std::size_t piece = copy.how.count("pieces") ? 1 : bytes.size();
  // The call's own answer waits for the last piece, as an endpoint writes one answer at a time.
  if (piece < bytes.size())
    last_piece_at_[socket_id] = now() + delay + piece_interval * static_cast<double>(bytes.size());
  for (std::size_t at = 0; at < bytes.size(); at += piece)
    event_loop_.schedule(now() + delay + piece_interval * static_cast<double>(at / piece),
                         [this, socket_id, part = bytes.substr(at, piece)] {
                           if (Socket* open = event_loop_.find(socket_id)) event_loop_.send(*open, part);
                         });
  record("copied",
         {{"conn", std::to_string(socket_id)}, {"delay", std::to_string(static_cast<long>(delay))}});
}

// A copy of the acknowledgement before comes first, where the request came on the same connection.
bool Harness::agent_fails_report(Socket& sock) {
  if (!std::exchange(agent_fails_next_, false)) return false;
  if (auto copy = pending_copies_.extract(sock.id)) event_loop_.send(sock, copy.mapped().answer);
  event_loop_.send(sock, http("503 Busy", "", ""));
  return true;
}

// ---- links

}  // namespace rockcrank::trial
