// Command-line flags for the exchange rates of placement.
#pragma once

#include "cluster/placement/exchange_rates.hpp"

namespace gannethold::cluster {

/// Returns the rates given on the command line. If a rate is negative or not finite, exits with status 2
/// after naming its flag on standard error. REQUIRES: the flags have been parsed.
ExchangeRates exchange_rates_from_flags();

}  // namespace gannethold::cluster
