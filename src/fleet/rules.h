// Owns the form of a rule, a condition and an effect, and the two ways in which the fleet's modules go
// through an ordered list of them until none fires. It must never know what a rule is about.
#pragma once

namespace rockcrank::fleet {

// Of a module, on a subject of its own or on none.
template <typename Module, typename... Subject>
struct Rule {
  const char* name;
  bool (Module::*when)(Subject&...);
  void (Module::*then)(Subject&...);
};

// From the first rule anew after each that fired: an earlier rule goes before any later one.
template <typename Module, typename Rules>
void run_by_priority(Module& module, const Rules& rules) {
  for (bool fired = true; fired;) {
    fired = false;
    for (const auto& rule : rules)
      if ((module.*rule.when)()) {
        (module.*rule.then)(), fired = true;
        break;
      }
  }
}

// Through all rules, and again while one of them fired.
template <typename Module, typename Rules, typename... Subject>
void run_until_stable(Module& module, const Rules& rules, Subject&... subject) {
  for (bool fired = true; fired;) {
    fired = false;
    for (const auto& rule : rules)
      if ((module.*rule.when)(subject...)) (module.*rule.then)(subject...), fired = true;
  }
}

}  // namespace rockcrank::fleet
