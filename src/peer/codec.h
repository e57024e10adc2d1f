// MessagePack encoding of plain values for messages between members and for files, by msgpack-cxx, which
// checks sizes and depth while decoding. A type lists its members in fields(); a variant is its index and its
// value. Input that does not match the type throws BadMessage.
#pragma once

#define MSGPACK_NO_BOOST
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/errors.h"

namespace rockcrank::peer {

namespace codec {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

inline void check_type(bool valid) {
  if (!valid)
    throw fleet::BadMessage("a value does not match its type", "message",
                            "run compatible versions on all members");
}

template <typename T>
concept HasFields = requires(T& item) {
  item.fields();
};
template <typename T>
struct IsVariant : std::false_type {};
template <typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type {};
template <typename T>
concept MapLike = requires {
  typename T::mapped_type;
};
template <typename T>
concept Ranged = requires(T& item) {
  item.begin(), item.insert(item.end(), *item.begin());
};
template <typename T>
concept TupleLike = requires {
  std::tuple_size<T>::value;
};
template <typename T>
concept OptionalLike = requires(T& item) {
  item.has_value(), item.reset();
};

template <typename T>
void encode(Packer& packer, const T& item) {
  if constexpr (std::is_enum_v<T>) packer.pack(static_cast<std::uint64_t>(item));
  else if constexpr (std::is_arithmetic_v<T>) packer.pack(item);
  else if constexpr (std::is_same_v<T, std::string>) {
    packer.pack_bin(static_cast<std::uint32_t>(item.size()));
    packer.pack_bin_body(item.data(), static_cast<std::uint32_t>(item.size()));
  } else if constexpr (IsVariant<T>::value) {
    packer.pack_array(2), packer.pack(item.index());
    std::visit([&](const auto& element) { encode(packer, element); }, item);
  } else if constexpr (OptionalLike<T>) {
    if (item) encode(packer, *item);
    else packer.pack_nil();
  } else if constexpr (HasFields<T>) encode(packer, const_cast<T&>(item).fields());
  else if constexpr (MapLike<T>) {
    packer.pack_array(static_cast<std::uint32_t>(2 * item.size()));
    for (const auto& [key, value] : item) encode(packer, key), encode(packer, value);
  } else if constexpr (TupleLike<T>) {
    packer.pack_array(std::tuple_size_v<T>);
    std::apply([&](const auto&... part) { (encode(packer, std::decay_t<decltype(part)>(part)), ...); }, item);
  } else {
    packer.pack_array(static_cast<std::uint32_t>(item.size()));
    for (const auto& element : item) encode(packer, std::decay_t<decltype(element)>(element));
  }
}

template <typename T>
void decode(const Object& object, T& item);

template <typename Variant, std::size_t... place>
void decode_variant(std::size_t index, const Object& object, Variant& item, std::index_sequence<place...>) {
  check_type(index < sizeof...(place));
  ((index == place ? decode(object, item.template emplace<place>()) : void()), ...);
}

template <typename T>
void decode(const Object& object, T& item) {
  auto array = [&](std::size_t size) -> const msgpack::object_array& {
    check_type(object.type == msgpack::type::ARRAY && (size == SIZE_MAX || object.via.array.size == size));
    return object.via.array;
  };
  if constexpr (std::is_enum_v<T>) {
    std::uint64_t number = 0;
    decode(object, number);
    check_type(static_cast<std::uint64_t>(static_cast<T>(number)) == number);
    item = static_cast<T>(number);
  } else if constexpr (std::is_arithmetic_v<T>) {
    check_type(object.type != msgpack::type::ARRAY && object.type != msgpack::type::BIN);
    object.convert(item);
  } else if constexpr (std::is_same_v<T, std::string>) {
    check_type(object.type == msgpack::type::BIN);
    item.assign(object.via.bin.ptr, object.via.bin.size);
  } else if constexpr (IsVariant<T>::value) {
    const auto& pair = array(2);
    std::size_t index = 0;
    decode(pair.ptr[0], index);
    decode_variant(index, pair.ptr[1], item, std::make_index_sequence<std::variant_size_v<T>>());
  } else if constexpr (OptionalLike<T>) {
    item.reset();
    if (!object.is_nil()) decode(object, item.emplace());
  } else if constexpr (HasFields<T>) {
    auto parts = item.fields();
    std::size_t at = 0;
    const auto& list = array(std::tuple_size_v<decltype(parts)>);
    std::apply([&](auto&... part) { (decode(list.ptr[at++], part), ...); }, parts);
  } else if constexpr (MapLike<T>) {
    const auto& list = array(SIZE_MAX);
    check_type(list.size % 2 == 0), item.clear();
    for (std::size_t i = 0; i < list.size; i += 2) {
      typename T::key_type key{};
      decode(list.ptr[i], key), decode(list.ptr[i + 1], item[key]);
    }
  } else if constexpr (TupleLike<T>) {
    std::size_t at = 0;
    const auto& list = array(std::tuple_size_v<T>);
    std::apply([&](auto&... part) { (decode(list.ptr[at++], part), ...); }, item);
  } else {
    const auto& list = array(SIZE_MAX);
    item.clear();
    for (std::size_t i = 0; i < list.size; ++i) {
      typename T::value_type element{};
      decode(list.ptr[i], element), item.insert(item.end(), std::move(element));
    }
  }
}

}  // namespace codec

template <typename T>
std::string packed(const T& item) {
  msgpack::sbuffer bytes;
  codec::Packer packer(bytes);
  codec::encode(packer, item);
  return {bytes.data(), bytes.size()};
}

// The input must hold exactly one value.
template <typename T>
T unpacked(std::string_view bytes) {
  T item{};
  try {
    std::size_t consumed = 0;
    auto max_size = bytes.size();
    auto handle = msgpack::unpack(bytes.data(), bytes.size(), consumed, nullptr, nullptr,
                                  msgpack::unpack_limit(max_size, max_size, max_size, max_size, 0, 24));
    codec::check_type(consumed == bytes.size());
    codec::decode(handle.get(), item);
  } catch (const fleet::FleetError&) { throw; } catch (const std::exception& error) {
    throw fleet::BadMessage(std::string("the bytes are not a valid message: ") + error.what(), "message",
                            "run compatible versions on all members");
  }
  return item;
}

}  // namespace rockcrank::peer
