// rockcrank_adapter: runs the decision module for the simulator, on standard input and output.
#include <exception>
#include <iostream>
#include <string_view>

#include "adapter/wire.h"

int main(int argc, char** argv) {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  bool gossip_enabled = argc > 1 && std::string_view(argv[1]) == "--notes";
  rockcrank::wire::Host host(std::cin, std::cout, gossip_enabled);
  try {
    host.run();
  } catch (const std::exception& error) {
    std::cout.flush();
    std::cerr << "rockcrank_adapter: line " << host.line_number() << ": " << error.what() << '\n';
    return 1;
  }
  return 0;
}
