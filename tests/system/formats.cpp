// Runs the tests of the formats, or writes their fixtures: cluster_formats --write-fixtures DIRECTORY.
#define BOOST_TEST_MODULE formats
#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include <boost/test/unit_test.hpp>

#include <string_view>

#include "formats.hpp"

namespace tests = gannethold::cluster::tests;

int main(int argc, char** argv) {
    if (argc == 3 && std::string_view(argv[1]) == "--write-fixtures") {
        tests::write_encoded_examples(argv[2]);
        tests::write_store_examples(argv[2]);
        return 0;
    }
    return boost::unit_test::unit_test_main(&init_unit_test, argc, argv);
}
