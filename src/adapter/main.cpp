// rockcrank_adapter: the decision module behind the simulator's wire, on standard input and output.
#include <exception>
#include <iostream>

#include "adapter/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  rockcrank::wire::Host host(std::cin, std::cout);
  try {
    host.run();
  } catch (const std::exception& error) {
    std::cout.flush();
    std::cerr << "rockcrank_adapter: line " << host.line_number() << ": " << error.what() << '\n';
    return 1;
  }
  return 0;
}
