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
concept HasFields = requires(Type& item) {
  item.fields();
};

class StateArchive {
 public:
  StateArchive() : json_({{"form", format_version}}) {}
  explicit StateArchive(const std::string& text) : json_(Json::from_cbor(text)) {
    if (json_.at("form") != format_version)
      throw std::runtime_error("unsupported format version of the state");
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
  template <typename Key, typename Item>
  void append(const char* list, Key key, Item& item) {
    json_[list].push_back(Json::array({to_json(key), to_json(item)}));
  }
  template <typename Key, typename Item, typename Visitor>
  void for_each(const char* list, Visitor visit) const {
    if (!json_.contains(list)) return;
    for (const auto& entry : json_.at(list)) {
      Key key;
      Item item;
      from_json(entry.at(0), key), from_json(entry.at(1), item);
      visit(key, item);
    }
  }

 private:
  using Json = nlohmann::json;
  static constexpr int format_version = 7;  // changed with every change of a listed field

  template <typename Type>
  static Json to_json(Type&& item) {
    using Plain = std::remove_cvref_t<Type>;
    if constexpr (std::is_enum_v<Plain>) return static_cast<std::uint64_t>(item);
    else if constexpr (std::is_arithmetic_v<Plain> || std::is_same_v<Plain, std::string>) return item;
    else if constexpr (HasFields<Plain>) return to_json(item.fields());
    else if constexpr (requires { item.has_value(); }) return item ? to_json(*item) : Json();
    else {
      Json list = Json::array();
      if constexpr (requires { std::tuple_size<Plain>::value; })
        std::apply([&](auto&... part) { (list.push_back(to_json(part)), ...); }, item);
      else
        for (auto& entry : item) list.push_back(to_json(entry));
      return list;
    }
  }

  template <typename Type>
  static void from_json(const Json& from, Type& item) {
    if constexpr (std::is_enum_v<Type>) item = Type(from.get<std::uint64_t>());
    else if constexpr (std::is_arithmetic_v<Type> || std::is_same_v<Type, std::string>)
      item = from.get<Type>();
    else if constexpr (HasFields<Type>) {
      auto parts = item.fields();
      from_json(from, parts);
    } else from_json_array(from, item);
  }
  template <typename... Parts>
  static void from_json_array(const Json& from, std::tuple<Parts...>& parts) {
    if (from.size() != sizeof...(Parts)) throw std::runtime_error("wrong number of fields in the state");
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
    for (const auto& entry : from) {
      Key key;
      from_json(entry, key), keys.insert(key);
    }
  }
  template <typename Key, typename Value>
  static void from_json_array(const Json& from, std::map<Key, Value>& map) {
    map.clear();
    for (const auto& entry : from) {
      Key key;
      from_json(entry.at(0), key), from_json(entry.at(1), map[key]);
    }
  }

  Json json_;
};

}  // namespace rockcrank::state
