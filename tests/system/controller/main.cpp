// main() of the unit tests of the controller and the coordinator.
#define BOOST_TEST_MODULE controller
#include <boost/test/unit_test.hpp>
