// Keys and values of the store's records of committed configuration versions:
//
//   confirmed/<index>/<version> = <digest>
//
// The index and the version have 20 decimal digits, so that keys sort in numerical order; the digest has 16
// hexadecimal digits. The format must not change, since existing databases use it.
#pragma once

#include <string>
#include <string_view>

#include "cluster/base/error.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

constexpr std::string_view kConfirmedPrefix = "confirmed/";

std::string confirmed_key(const ConfirmedVersion& record);
std::string confirmed_value(const ConfirmedVersion& record);
// Error: bytes_malformed.
leaf::result<ConfirmedVersion> decode_confirmed(std::string_view key, std::string_view value);

}  // namespace gannethold::cluster
