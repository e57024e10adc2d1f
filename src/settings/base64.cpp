#include "settings/base64.h"

extern "C" {
#include <b64/cdecode.h>
#include <b64/cencode.h>
}

namespace rockcrank {

std::string base64_encode(std::string_view bytes) {
  std::string text(bytes.size() * 2 + 8, '\0');
  base64_encodestate state;
  base64_init_encodestate(&state);
  int size = base64_encode_block(bytes.data(), static_cast<int>(bytes.size()), text.data(), &state);
  size += base64_encode_blockend(text.data() + size, &state);
  text.resize(static_cast<std::size_t>(size));
  std::erase(text, '\n');  // libb64 inserts line breaks
  return text;
}

std::string base64_decode(std::string_view text) {
  std::string bytes(text.size() + 1, '\0');
  base64_decodestate state;
  base64_init_decodestate(&state);
  int size = base64_decode_block(text.data(), static_cast<int>(text.size()), bytes.data(), &state);
  bytes.resize(static_cast<std::size_t>(size));
  return bytes;
}

}  // namespace rockcrank
