// Starts the tests of the formats, or writes their fixtures: cluster_formats --write-fixtures DIRECTORY.
#define BOOST_TEST_MODULE formats
#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include <boost/test/unit_test.hpp>

#include <string_view>

#include "formats.hpp"

namespace tests = gannethold::cluster::tests;

int main(int count, char** words) {
    if (count == 3 && std::string_view(words[1]) == "--write-fixtures") {
        tests::write_encoded_examples(words[2]);
        tests::write_store_examples(words[2]);
        return 0;
    }
    return boost::unit_test::unit_test_main(&init_unit_test, count, words);
}
