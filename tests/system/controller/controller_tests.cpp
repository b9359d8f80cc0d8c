// The unit tests of the controller's and the coordinator's parts: main().
#define BOOST_TEST_MODULE controller
#include <boost/test/unit_test.hpp>
