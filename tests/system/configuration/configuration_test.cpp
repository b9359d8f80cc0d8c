// Parsing of configurations. Sets every field to a value other than its default and checks that exactly that
// field changes; unknown fields must not change anything.
#include "cluster/configuration/configuration.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "field_values.hpp"
#include "name_case.hpp"
#include "required.hpp"

namespace gannethold::cluster::tests {
namespace {

struct ParsedConfiguration {
    std::uint64_t version = 0;
    std::vector<Service> services;
    std::vector<Route> routes;
    Limits limits;
};

// A minimal valid configuration. Additional fields are set with a leading comma.
struct ConfigurationText {
    std::string version = "7";
    std::string service;
    std::string other_service;
    std::string route;
    std::string limits = R"("no_such_limit":1)";
    std::string top;
    std::string kind = R"("route_kind":"non_idempotent")";
    std::string target = R"("service":"render")";

    std::string text() const {
        return "{\"version\":" + version + R"(,"services":[{"name":"render")" + service +
               R"(},{"name":"resize")" + other_service +
               R"(}],"routes":[{"name":"r-1","host":"one.example","path_prefix":"/one/",)" + kind + ',' +
               target + route + "}],\"limits\":{" + limits + '}' + top + '}';
    }
};

ParsedConfiguration configuration_of(const std::string& text) {
    const auto configuration =
        required<std::shared_ptr<const Configuration>>([&] { return Configuration::parse(text); });
    return {configuration->version(), configuration->services(), configuration->routes(),
            configuration->limits()};
}

ParsedConfiguration configuration_of(const ConfigurationText& parts) {
    return configuration_of(parts.text());
}

Service& first_service(ParsedConfiguration& parsed) { return parsed.services.front(); }
Route& first_route(ParsedConfiguration& parsed) { return parsed.routes.front(); }

using ConfigurationCases = std::vector<NameCase<ParsedConfiguration>>;

ConfigurationCases service_fields() {
    return {
        {"memory_mb", "512", [](auto& parsed) { first_service(parsed).memory_mb = 512; }},
        {"boot_duration_ms", "1400", [](auto& parsed) { first_service(parsed).boot_duration = 1'400'000; }},
        {"max_concurrency", "4", [](auto& parsed) { first_service(parsed).max_concurrency = 4; }},
        {"connection_limit", "72", [](auto& parsed) { first_service(parsed).connection_limit = 72; }},
    };
}

ConfigurationCases route_fields() {
    return {
        {"timeout_ms", "4000", [](auto& parsed) { first_route(parsed).timeout = 4'000'000; }},
        {"target_latency_ms", "400",
         [](auto& parsed) {
             first_route(parsed).latency_target = first_service(parsed).min_latency_target = 400'000;
         }},
        {"priority", "2", [](auto& parsed) { first_route(parsed).priority = 2; }},
        {"max_attempts", "3", [](auto& parsed) { first_route(parsed).max_attempts = 3; }},
    };
}

ConfigurationCases limit_fields() {
    return {
        {"max_header_bytes", "16385", [](auto& parsed) { parsed.limits.max_header_bytes = 16385; }},
        {"max_body_bytes", "262145", [](auto& parsed) { parsed.limits.max_body_bytes = 262145; }},
        {"header_timeout_ms", "3100", [](auto& parsed) { parsed.limits.header_timeout = 3'100'000; }},
        {"idle_timeout_ms", "15100", [](auto& parsed) { parsed.limits.idle_timeout = 15'100'000; }},
    };
}

std::string field(const std::string& name, const std::string& value) { return '"' + name + "\":" + value; }

// Parses one text per case; add(text, field) adds the field to the text.
template <class Add>
void check_configuration(const ConfigurationCases& cases, const Add& add) {
    const ParsedConfiguration plain = configuration_of(ConfigurationText{});
    for (const auto& field_case : cases) {
        ConfigurationText text;
        add(text, field(field_case.name, field_case.value));
        ParsedConfiguration expected = plain;
        field_case.set(expected);
        BOOST_TEST(!fields_equal(expected, plain), field_case.name << " has its default value");
        BOOST_TEST(fields_equal(configuration_of(text), expected), field_case.name);
    }
}

}  // namespace

BOOST_AUTO_TEST_CASE(each_field_of_a_configuration_is_parsed_and_changes_nothing_else) {
    check_configuration(service_fields(), [](auto& text, const auto& field) { text.service = ',' + field; });
    check_configuration(route_fields(), [](auto& text, const auto& field) { text.route = ',' + field; });
    check_configuration(limit_fields(), [](auto& text, const auto& field) { text.limits = field; });
    check_configuration(
        {{"route_kind", "\"idempotent\"", [](auto& parsed) { first_route(parsed).is_idempotent = true; }}},
        [](auto& text, const auto& field) { text.kind = field; });
    ConfigurationText later;
    later.version = "9";
    BOOST_TEST(configuration_of(later).version == 9U);
}

BOOST_AUTO_TEST_CASE(names_hosts_and_prefixes_of_a_configuration_are_parsed) {
    const ParsedConfiguration parsed = configuration_of(ConfigurationText{});
    BOOST_TEST(parsed.version == 7U);
    BOOST_REQUIRE(parsed.services.size() == 2U);
    BOOST_TEST(parsed.services[0].name == "render");
    BOOST_TEST(parsed.services[1].name == "resize");
    BOOST_REQUIRE(parsed.routes.size() == 1U);
    BOOST_TEST(parsed.routes[0].name == "r-1");
    BOOST_TEST(parsed.routes[0].host == "one.example");
    BOOST_TEST(parsed.routes[0].path_prefix == "/one/");
    BOOST_REQUIRE(parsed.routes[0].services.size() == 1U);
    BOOST_TEST(parsed.routes[0].services[0].service == "render");
}

BOOST_AUTO_TEST_CASE(all_forms_of_weighted_services_are_parsed) {
    for (const std::string list : {"services", "weights", "split"})
        for (const std::string& parts :
             {std::string(R"([{"service":"render","weight":3},{"service":"resize","weight":2.5}])"),
              std::string(R"([{"name":"render","weight":3},{"name":"resize","weight":2.5}])"),
              std::string(R"({"render":3,"resize":2.5})")}) {
            ConfigurationText text;
            text.target = field(list, parts);
            const std::vector<WeightedService> expected{{"render", 3}, {"resize", 2.5}};
            BOOST_TEST(fields_equal(configuration_of(text).routes.front().services, expected), text.target);
        }
}

BOOST_AUTO_TEST_CASE(unknown_fields_of_a_configuration_are_ignored) {
    const ParsedConfiguration plain = configuration_of(ConfigurationText{});
    ConfigurationText text;
    text.service =
        R"(,"health_path":"/healthy","protocol":"h1","tls_enabled":true,"no_such_field":[1,{"a":2}])";
    text.route = R"(,"no_such_field":{"timeout_ms":1})";
    text.limits = R"("no_such_limit":2,"timeout_ms":3)";
    text.top = R"(,"no_such_list":[{"name":"render"}])";
    BOOST_TEST(fields_equal(configuration_of(text), plain));
}

BOOST_AUTO_TEST_CASE(the_route_with_the_longest_prefix_is_found) {
    const auto configuration = required<std::shared_ptr<const Configuration>>([] {
        return Configuration::parse(
            R"({"version":1,"services":[{"name":"a"}],"routes":[)"
            R"({"name":"all","host":"one.example","path_prefix":"/","route_kind":"idempotent","service":"a"},)"
            R"({"name":"deep","host":"one.example","path_prefix":"/x/y/","route_kind":"idempotent","service":"a"}]})");
    });
    const auto name_of = [&](std::string_view host, std::string_view path) {
        const Route* const route = configuration->find_route(host, path);
        return route ? route->name : std::string("none");
    };
    BOOST_TEST(name_of("one.example", "/x/y/z") == "deep");
    BOOST_TEST(name_of("ONE.Example:8080", "/x/y/") == "deep");
    BOOST_TEST(name_of("one.example", "/x/y") == "all");
    BOOST_TEST(name_of("one.example", "/x?y=/x/y/") == "all");
    BOOST_TEST(name_of("two.example", "/x/y/z") == "none");
    BOOST_TEST(name_of("one.example", "*") == "none");
    BOOST_TEST(configuration->find_service("a")->name == "a");
    BOOST_TEST(configuration->find_service("b") == nullptr);
}

BOOST_AUTO_TEST_CASE(equivalent_routes_have_the_same_request_class) {
    const auto configuration = required<std::shared_ptr<const Configuration>>([] {
        return Configuration::parse(
            R"({"version":1,"services":[{"name":"a"},{"name":"b"},{"name":"large","memory_mb":512}],"routes":[)"
            R"({"name":"r-1","host":"h","path_prefix":"/1/","route_kind":"idempotent","service":"a"},)"
            R"({"name":"r-2","host":"h","path_prefix":"/2/","route_kind":"idempotent","service":"large"},)"
            R"({"name":"r-3","host":"h","path_prefix":"/3/","route_kind":"idempotent","service":"b"},)"
            R"({"name":"r-4","host":"h","path_prefix":"/4/","route_kind":"non_idempotent","service":"a"}]})");
    });
    std::vector<unsigned> classes;
    for (const Route& route : configuration->routes()) classes.push_back(route.request_class);
    const std::vector<unsigned> expected{1, 2, 1, 3};
    BOOST_TEST(classes == expected, boost::test_tools::per_element());
}

}  // namespace gannethold::cluster::tests
