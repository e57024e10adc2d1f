// Base64 on top of libb64: padded, without line breaks.
#pragma once

#include <string>
#include <string_view>

namespace rockcrank {

std::string base64_encode(std::string_view bytes);
std::string base64_decode(std::string_view text);  // invalid characters are not reported

}  // namespace rockcrank
