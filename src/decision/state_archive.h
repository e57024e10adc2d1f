// Serializes the state of the decision module to CBOR for the process that replaces this one, and reads it
// back. Each type lists its members in fields(). Reading throws where the data does not fit; nothing gets a
// default.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

namespace rockcrank::state {

template <typename Type>
concept HasFields = requires(Type& thing) {
  thing.fields();
};

class StateArchive {
 public:
  StateArchive() : json_({{"form", format_version}}) {}
  explicit StateArchive(const std::string& text) : json_(Json::from_cbor(text)) {
    if (json_.at("form") != format_version) throw std::runtime_error("the state is of another form");
  }
  std::string text() const {
    std::string text;
    Json::to_cbor(json_, text);
    return text;
  }

  template <typename... Parts>
  void put_fields(std::tuple<Parts&...> parts) {
    json_["parts"] = to_json(parts);
  }
  template <typename... Parts>
  void get_fields(std::tuple<Parts&...> parts) const {
    from_json(json_.at("parts"), parts);
  }

  // Appends an item to a named list, with the key that says where it belongs.
  template <typename Where, typename Thing>
  void append(const char* list, Where where, Thing& thing) {
    json_[list].push_back(Json::array({to_json(where), to_json(thing)}));
  }
  template <typename Where, typename Thing, typename Taker>
  void for_each(const char* list, Taker take) const {
    if (!json_.contains(list)) return;
    for (const auto& one : json_.at(list)) {
      Where where;
      Thing thing;
      from_json(one.at(0), where), from_json(one.at(1), thing);
      take(where, thing);
    }
  }

 private:
  using Json = nlohmann::json;
  static constexpr int format_version = 5;  // changed with every change of a listed field

  template <typename Type>
  static Json to_json(Type&& thing) {
    using Plain = std::remove_cvref_t<Type>;
    if constexpr (std::is_enum_v<Plain>) return static_cast<std::uint64_t>(thing);
    else if constexpr (std::is_arithmetic_v<Plain>) return thing;
    else if constexpr (HasFields<Plain>) return to_json(thing.fields());
    else if constexpr (requires { thing.has_value(); }) return thing ? to_json(*thing) : Json();
    else {
      Json list = Json::array();
      if constexpr (requires { std::tuple_size<Plain>::value; })
        std::apply([&](auto&... part) { (list.push_back(to_json(part)), ...); }, thing);
      else
        for (auto& one : thing) list.push_back(to_json(one));
      return list;
    }
  }

  template <typename Type>
  static void from_json(const Json& from, Type& thing) {
    if constexpr (std::is_enum_v<Type>) thing = Type(from.get<std::uint64_t>());
    else if constexpr (std::is_arithmetic_v<Type>) thing = from.get<Type>();
    else if constexpr (HasFields<Type>) {
      auto parts = thing.fields();
      from_json(from, parts);
    } else from_json_array(from, thing);
  }
  template <typename... Parts>
  static void from_json_array(const Json& from, std::tuple<Parts...>& parts) {
    if (from.size() != sizeof...(Parts)) throw std::runtime_error("the state lacks fields, or has too many");
    std::size_t at = 0;
    std::apply([&](auto&... part) { (from_json(from.at(at++), part), ...); }, parts);
  }
  template <typename A, typename B>
  static void from_json_array(const Json& from, std::pair<A, B>& pair) {
    from_json(from.at(0), pair.first), from_json(from.at(1), pair.second);
  }
  template <typename Value>
  static void from_json_array(const Json& from, std::optional<Value>& value) {
    if (from.is_null()) return value.reset();
    from_json(from, value.emplace());
  }
  template <typename Key>
  static void from_json_array(const Json& from, std::set<Key>& keys) {
    keys.clear();
    for (const auto& one : from) {
      Key key;
      from_json(one, key), keys.insert(key);
    }
  }
  template <typename Key, typename Value>
  static void from_json_array(const Json& from, std::map<Key, Value>& map) {
    map.clear();
    for (const auto& one : from) {
      Key key;
      from_json(one.at(0), key), from_json(one.at(1), map[key]);
    }
  }

  Json json_;
};

}  // namespace rockcrank::state
