// Keys and values under which the store keeps the records of committed configuration versions:
//
//   confirmed/<index>/<version> = <digest>
//
// index and version with 20 decimal digits, so that keys sort as the numbers do; digest with 16 hexadecimal
// ones. Written once, this format stays.
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
