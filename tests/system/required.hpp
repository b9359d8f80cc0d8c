// Unwraps results whose failure ends the test.
#pragma once

#include <boost/test/unit_test.hpp>

#include "cluster/base/error.hpp"

namespace gannethold::cluster::tests {

// Returns the value of the call's result. If the call fails, the test fails.
template <class Value, class Call>
Value required(const Call& call) {
    return leaf::try_handle_all([&]() -> leaf::result<Value> { return call(); },
                                [](const ErrorDetail& detail) -> Value {
                                    BOOST_FAIL("failed: " << detail.text);
                                    throw;
                                },
                                []() -> Value {
                                    BOOST_FAIL("failed without a detail");
                                    throw;
                                });
}

}  // namespace gannethold::cluster::tests
