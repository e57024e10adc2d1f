// Owns how the module's state is put into a text and read from it again, for the process that takes this
// one's place. It knows no field by itself: each type lists its own in fields(). It must never decide, nor
// make up what is not there: a text that does not fit throws.
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
concept Listing = requires(Type& thing) {
  thing.fields();
};

class Carried {
 public:
  Carried() : all_({{"form", form}}) {}
  explicit Carried(const std::string& text) : all_(Json::from_cbor(text)) {
    if (all_.at("form") != form) throw std::runtime_error("the state is of another form");
  }
  std::string text() const {
    std::string text;
    Json::to_cbor(all_, text);
    return text;
  }

  template <typename... Parts>
  void put(std::tuple<Parts&...> parts) {
    all_["parts"] = written(parts);
  }
  template <typename... Parts>
  void get(std::tuple<Parts&...> parts) const {
    read(all_.at("parts"), parts);
  }

  // One of a list of things, with what tells where it belongs.
  template <typename Where, typename Thing>
  void add(const char* list, Where where, Thing& thing) {
    all_[list].push_back(Json::array({written(where), written(thing)}));
  }
  template <typename Where, typename Thing, typename Taker>
  void each(const char* list, Taker take) const {
    if (!all_.contains(list)) return;
    for (const auto& one : all_.at(list)) {
      Where where;
      Thing thing;
      read(one.at(0), where), read(one.at(1), thing);
      take(where, thing);
    }
  }

 private:
  using Json = nlohmann::json;
  static constexpr int form = 5;  // changed with every change of a listed field

  template <typename Type>
  static Json written(Type&& thing) {
    using Plain = std::remove_cvref_t<Type>;
    if constexpr (std::is_enum_v<Plain>) return static_cast<std::uint64_t>(thing);
    else if constexpr (std::is_arithmetic_v<Plain>) return thing;
    else if constexpr (Listing<Plain>) return written(thing.fields());
    else if constexpr (requires { thing.has_value(); }) return thing ? written(*thing) : Json();
    else {
      Json list = Json::array();
      if constexpr (requires { std::tuple_size<Plain>::value; })
        std::apply([&](auto&... part) { (list.push_back(written(part)), ...); }, thing);
      else
        for (auto& one : thing) list.push_back(written(one));
      return list;
    }
  }

  template <typename Type>
  static void read(const Json& from, Type& thing) {
    if constexpr (std::is_enum_v<Type>) thing = Type(from.get<std::uint64_t>());
    else if constexpr (std::is_arithmetic_v<Type>) thing = from.get<Type>();
    else if constexpr (Listing<Type>) {
      auto parts = thing.fields();
      read(from, parts);
    } else read_several(from, thing);
  }
  template <typename... Parts>
  static void read_several(const Json& from, std::tuple<Parts...>& parts) {
    if (from.size() != sizeof...(Parts)) throw std::runtime_error("the state lacks fields, or has too many");
    std::size_t at = 0;
    std::apply([&](auto&... part) { (read(from.at(at++), part), ...); }, parts);
  }
  template <typename A, typename B>
  static void read_several(const Json& from, std::pair<A, B>& pair) {
    read(from.at(0), pair.first), read(from.at(1), pair.second);
  }
  template <typename Value>
  static void read_several(const Json& from, std::optional<Value>& value) {
    if (from.is_null()) return value.reset();
    read(from, value.emplace());
  }
  template <typename Key>
  static void read_several(const Json& from, std::set<Key>& keys) {
    keys.clear();
    for (const auto& one : from) {
      Key key;
      read(one, key), keys.insert(key);
    }
  }
  template <typename Key, typename Value>
  static void read_several(const Json& from, std::map<Key, Value>& map) {
    map.clear();
    for (const auto& one : from) {
      Key key;
      read(one.at(0), key), read(one.at(1), map[key]);
    }
  }

  Json all_;
};

}  // namespace rockcrank::state
