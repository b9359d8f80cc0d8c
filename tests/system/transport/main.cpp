#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE transport
#include <boost/test/unit_test.hpp>
