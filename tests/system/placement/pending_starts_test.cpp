#include "cluster/placement/pending_starts.hpp"

#include <boost/test/unit_test.hpp>

namespace gannethold::cluster {
namespace {

PendingStart pending(const char* service, const char* worker, const char* nonce) {
    PendingStart pending;
    pending.start = {service, worker, nonce, "load"};
    return pending;
}

}  // namespace

BOOST_AUTO_TEST_CASE(starts_are_found_by_nonce_and_by_function) {
    PendingStarts starts;
    starts.add(pending("f", "w-1", "n-1"));
    starts.add(pending("f", "w-2", "n-2"));
    starts.add(pending("g", "w-1", "n-3"));
    BOOST_TEST(starts.count("f") == 2U);
    BOOST_TEST((starts.workers_of("f") == std::vector<std::string>{"w-1", "w-2"}));
    BOOST_REQUIRE(starts.find("n-3") != nullptr);
    BOOST_TEST(starts.find("n-3")->start.service == "g");
    starts.remove("n-1");
    BOOST_TEST((starts.workers_of("f") == std::vector<std::string>{"w-2"}));
    starts.remove("n-2");
    starts.remove("n-2");
    BOOST_TEST(starts.count("f") == 0U);
    BOOST_TEST(starts.workers_of("f").empty());
    BOOST_TEST((starts.find("n-1") == nullptr));
    BOOST_TEST(starts.all().size() == 1U);
}

}  // namespace gannethold::cluster
