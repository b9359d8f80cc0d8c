#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE runners
#include <boost/test/unit_test.hpp>
