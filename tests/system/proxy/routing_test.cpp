#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/routing.hpp"

namespace gannethold::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_service_is_selected_by_weight_and_never_with_weight_zero) {
    Route route;
    route.services = {{"none", 0}, {"small", 1}, {"large", 3}};
    BOOST_TEST(choose_service(route, 0) == "small");
    BOOST_TEST(choose_service(route, 0.249) == "small");
    BOOST_TEST(choose_service(route, 0.251) == "large");
    BOOST_TEST(choose_service(route, 0.999) == "large");
}

}  // namespace
}  // namespace gannethold::cluster
