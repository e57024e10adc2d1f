// The messages that simulated clients, endpoints and agents read and write, and the options of scenes.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace rockcrank::trial {

using Options = std::map<std::string, std::string>;

std::string option(const Options& options, const std::string& name, const std::string& fallback);
double number(const Options& options, const std::string& name, double fallback);

// Returns a field of a document's body, which begins "key=K v=N ".
std::string body_field(const std::string& body, const std::string& name);
std::string header(const std::string& head, const std::string& name);
// A command as an array of bulk strings.
std::string command(const std::vector<std::string>& arguments);
// Takes one complete request from the front of the input. Returns false if it is incomplete.
bool take_request(std::string& in, std::string& head, std::string& body);
std::string http(const std::string& status, const std::string& headers, const std::string& body);

}  // namespace rockcrank::trial
