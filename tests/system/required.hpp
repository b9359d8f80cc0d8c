// Values that a test can not go on without.
#pragma once

#include <boost/test/unit_test.hpp>

#include "cluster/base/error.hpp"

namespace gannethold::cluster::tests {

// What a call gives; a failure of the call fails the test.
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
