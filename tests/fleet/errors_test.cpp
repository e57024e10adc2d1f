// Compares docs/errors.md with src/fleet/errors.h: the page lists every error with what, where and remedy,
// and no error that does not exist.
#include "fleet/errors.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace rockcrank::fleet {
namespace {

std::string read(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), {}};
}

std::set<std::string> matching_names(const std::string& text, const char* pattern) {
  std::set<std::string> names;
  std::regex regex(pattern);
  for (std::sregex_iterator at(text.begin(), text.end(), regex), end; at != end; ++at)
    EXPECT_TRUE(names.insert((*at)[1]).second) << (*at)[1] << " twice";
  return names;
}

TEST(Errors, PageAndCodeNameTheSame) {
  auto page = read(DOCS "/errors.md"), code = read(DOCS "/../src/fleet/errors.h");
  auto in_code = matching_names(code, "class (\\w+) : public FleetError");
  EXPECT_GE(in_code.size(), 8u);
  EXPECT_EQ(matching_names(page, "(?:^|\\n)## (\\w+)"), in_code);
  for (const auto& name : in_code) {
    auto begin = page.find("## " + name + "\n"), end = page.find("\n## ", begin);
    auto section = page.substr(begin, end - begin);
    for (const char* label : {"- What: ", "- Where: ", "- Remedy: "})
      EXPECT_NE(section.find(label), std::string::npos) << name << " lacks " << label;
  }
}

TEST(Errors, MessageHasWhatWhereAndRemedy) {
  BadStateFile error("the file is cut off", "state.log, byte 40", "look at the disk");
  EXPECT_STREQ(error.what(), "the file is cut off (state.log, byte 40): look at the disk");
  EXPECT_TRUE(dynamic_cast<const FleetError*>(static_cast<std::runtime_error*>(&error)));
}

}  // namespace
}  // namespace rockcrank::fleet
