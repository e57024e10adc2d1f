// Owns Base64 as the wires want it, by libb64: padded, on one line. It must never judge what the bytes mean.
#pragma once

#include <string>
#include <string_view>

namespace rockcrank {

std::string base64_encode(std::string_view bytes);
std::string base64_decode(std::string_view text);  // up to what it cannot read

}  // namespace rockcrank
