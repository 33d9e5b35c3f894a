#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/milliseconds.h"

#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

namespace damaskhall::packing {

// Conversion between message fields and msgpack elements. Included only by codec .cpp files, as
// msgpack is slow to compile.

/// Thrown inside the codec when an element has the wrong type or range; decode functions turn it
/// into an Error.
struct BadElement
{
};

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
void pack(Packer &packer, const T &value)
{
    if constexpr (std::is_same_v<T, std::string>) {
        packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        packer.pack(std::uint64_t{value.address} << 16 | value.port);
    } else if constexpr (std::is_enum_v<T>) {
        packer.pack(static_cast<std::underlying_type_t<T>>(value));
    } else if constexpr (std::is_integral_v<T>) {
        packer.pack(value);
    } else {
        packer.pack(value.value);
    }
}

template <typename T>
T integer(const msgpack::object &object)
{
    if (object.type == msgpack::type::POSITIVE_INTEGER) {
        if (object.via.u64 > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
            throw BadElement();
        }
        return static_cast<T>(object.via.u64);
    }
    if constexpr (std::is_signed_v<T>) {
        if (object.type == msgpack::type::NEGATIVE_INTEGER &&
            object.via.i64 >= std::numeric_limits<T>::min()) {
            return static_cast<T>(object.via.i64);
        }
    }
    throw BadElement();
}

/// Highest valid value of an enumeration; each codec specialises it for those that it reads.
template <typename T>
constexpr std::uint64_t MaximumOf = std::numeric_limits<std::uint64_t>::max();

template <typename T>
void unpack(const msgpack::object &object, T &value)
{
    if constexpr (std::is_same_v<T, std::string>) {
        if (object.type != msgpack::type::BIN) {
            throw BadElement();
        }
        value.assign(object.via.bin.ptr, object.via.bin.size);
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        const auto packed = integer<std::uint64_t>(object);
        if (packed >> 48 != 0) {
            throw BadElement();
        }
        value.address = static_cast<std::uint32_t>(packed >> 16);
        value.port = static_cast<std::uint16_t>(packed & 0xffff);
    } else if constexpr (std::is_same_v<T, bool>) {
        if (object.type != msgpack::type::BOOLEAN) {
            throw BadElement();
        }
        value = object.via.boolean;
    } else if constexpr (std::is_enum_v<T>) {
        const auto number = integer<std::underlying_type_t<T>>(object);
        if (number > MaximumOf<T>) {
            throw BadElement();
        }
        value = static_cast<T>(number);
    } else if constexpr (std::is_integral_v<T>) {
        value = integer<T>(object);
    } else {
        value.value = integer<decltype(value.value)>(object);
    }
}

/// Appends all elements of a std::tie tuple.
template <typename Tuple>
void packAll(Packer &packer, const Tuple &tuple)
{
    std::apply([&packer](const auto &...element) { (pack(packer, element), ...); }, tuple);
}

/// Reads all elements of a std::tie tuple from @p objects. Precondition: the array has as many
/// elements as the tuple.
template <typename Tuple>
void unpackAll(const msgpack::object *objects, Tuple &&tuple)
{
    std::size_t index = 0;
    std::apply([&](auto &...element) { (unpack(objects[index++], element), ...); }, tuple);
}

} // namespace damaskhall::packing
