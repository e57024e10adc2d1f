// Condition-action rules, and two ways to run an ordered list of them until none fires.
#pragma once

namespace rockcrank::fleet {

// A rule of a module; its condition and action take the subjects, if any.
template <typename Module, typename... Subject>
struct Rule {
  const char* name;
  bool (Module::*when)(Subject&...);
  void (Module::*then)(Subject&...);
};

// Starts again from the first rule after each one that fired, so an earlier rule takes precedence.
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

// Runs whole passes over the rules until none fires in a pass.
template <typename Module, typename Rules, typename... Subject>
void run_until_stable(Module& module, const Rules& rules, Subject&... subject) {
  for (bool fired = true; fired;) {
    fired = false;
    for (const auto& rule : rules)
      if ((module.*rule.when)(subject...)) (module.*rule.then)(subject...), fired = true;
  }
}

}  // namespace rockcrank::fleet
