#include "trial/messages.h"

#include <sstream>

namespace rockcrank::trial {

std::string option(const Options& options, const std::string& name, const std::string& fallback) {
  auto found = options.find(name);
  return found == options.end() ? fallback : found->second;
}
double number(const Options& options, const std::string& name, double fallback) {
  auto found = options.find(name);
  return found == options.end() ? fallback : std::stod(found->second);
}

std::string body_field(const std::string& body, const std::string& name) {
  auto from = body.find(name + "=");
  if (from != 0 && (from == std::string::npos || body[from - 1] != ' ')) return "";
  from += name.size() + 1;
  return body.substr(from, body.find(' ', from) - from);
}

std::string header(const std::string& head, const std::string& name) {
  auto from = head.find("\r\n" + name + ": ");
  if (from == std::string::npos) return "";
  from += name.size() + 4;
  return head.substr(from, head.find('\r', from) - from);
}

std::string command(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  out << '*' << arguments.size() << "\r\n";
  for (const auto& argument : arguments) out << '$' << argument.size() << "\r\n" << argument << "\r\n";
  return out.str();
}

bool take_request(std::string& in, std::string& head, std::string& body) {
  auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  head = in.substr(0, end + 2);
  auto length = header(head, "Content-Length");
  auto size = length.empty() ? std::size_t{0} : std::stoul(length);
  if (in.size() < end + 4 + size) return false;
  body = in.substr(end + 4, size);
  in.erase(0, end + 4 + size);
  return true;
}

std::string http(const std::string& status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace rockcrank::trial
