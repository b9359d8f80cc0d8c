// The parts of the scale run by themselves: arguments, the sums of a report, what is made for a run.
#define BOOST_TEST_MODULE scale
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "cluster/configuration/configuration.hpp"
#include "cluster/configuration/delta.hpp"
#include "json/json.hpp"
#include "scale/options.hpp"
#include "scale/process.hpp"
#include "scale/report.hpp"
#include "scale/statistics.hpp"
#include "scale/workload.hpp"

using namespace gannethold;
using namespace gannethold::scale;

namespace {

constexpr Micros kSecond = 1'000'000;

std::shared_ptr<const cluster::Configuration> read(const std::string& text) {
    return cluster::leaf::try_handle_all(
        [&]() -> cluster::leaf::result<std::shared_ptr<const cluster::Configuration>> {
            return cluster::Configuration::parse(text);
        },
        [] { return std::shared_ptr<const cluster::Configuration>(); });
}

// Ten seconds, two proxies, two controllers of which the second leads.
Measurements played() {
    Measurements run;
    run.options.proxies = 2;
    run.options.controllers = 2;
    run.start_s = 1;
    run.steady_s = 10;
    run.before.at = 0;
    run.after.at = 10 * kSecond;
    run.after.leader = 1;
    run.before.controllers = {Usage{1, 10, 10, 0, 0, 5}, Usage{2, 20, 20, 0, 0, 9}};
    run.after.controllers = {Usage{1.5, 11, 11, 0, 0, 5}, Usage{7, 30, 30, 0, 0, 9}};
    run.after.sent.messages[0] = 40;
    run.after.sent.bytes[0] = 4000;
    run.after.received.messages[1] = 60;
    run.after.received.bytes[1] = 16'000;
    run.after.granted = 50;
    run.changes = {{1, 1 * kSecond, 2 * kSecond, 3 * kSecond},
                   {2, 4 * kSecond, 4 * kSecond + 100'000, 4 * kSecond + 200'000},
                   {3, 6 * kSecond, 6 * kSecond + 300'000, 0}};
    Sample sample;
    sample.at_s = 2;
    sample.leader = 1;
    sample.leader_descriptors = 12;
    run.samples = {sample};
    return run;
}

}  // namespace

BOOST_AUTO_TEST_CASE(arguments_in_bounds_are_taken) { BOOST_TEST(!wrong_with(Options())); }

BOOST_AUTO_TEST_CASE(an_argument_out_of_bounds_is_told_by_name) {
    Options options;
    options.proxies = 0;
    BOOST_TEST(wrong_with(options).value() == "--proxies is not from 1 to 4000: 0");
    options = Options();
    options.calls = -1;
    BOOST_TEST(wrong_with(options).value().starts_with("--calls "));
    options = Options();
    options.seconds = 601;
    BOOST_TEST(wrong_with(options).value().starts_with("--seconds "));
    options = Options();
    options.redial_ms = 100;
    BOOST_TEST(wrong_with(options).value().starts_with("--redial_most_ms "));
    options = Options();
    options.threads = 3;
    options.proxies = 2;
    BOOST_TEST(wrong_with(options).value().starts_with("--threads "));
}

BOOST_AUTO_TEST_CASE(faults_are_read_in_their_order) {
    std::string wrong;
    const std::vector<Fault> faults = read_faults("zone,leader,all,reconnect", wrong);
    BOOST_TEST(wrong.empty());
    BOOST_TEST(faults.size() == 4U);
    BOOST_TEST(name_of(faults.front()) == std::string("zone"));
    BOOST_TEST(name_of(faults.back()) == std::string("reconnect"));
    BOOST_TEST(read_faults("", wrong).empty());
    BOOST_TEST(wrong.empty());
}

BOOST_AUTO_TEST_CASE(a_fault_that_is_not_known_is_told_by_name) {
    std::string wrong;
    read_faults("leader,moon", wrong);
    BOOST_TEST(wrong == "moon");
    wrong.clear();
    read_faults("leader,,all", wrong);
    BOOST_TEST(wrong == "an empty word");
}

BOOST_AUTO_TEST_CASE(quantiles) {
    BOOST_TEST(!quantile({}, 0.5));
    BOOST_TEST(quantile({7}, 0.99).value() == 7);
    BOOST_TEST(quantile({5, 1, 3}, 0.5).value() == 3);
    BOOST_TEST(quantile({5, 1, 3}, 0).value() == 1);
    BOOST_TEST(quantile({5, 1, 3}, 1).value() == 5);
    std::vector<double> hundred_one;
    for (int value = 0; value <= 100; ++value) hundred_one.push_back(value);
    BOOST_TEST(quantile(hundred_one, 0.99).value() == 99);
}

BOOST_AUTO_TEST_CASE(rates) {
    BOOST_TEST(per_second(10, 30, 4) == 5);
    BOOST_TEST(per_second(10, 30, 0) == 0);
}

BOOST_AUTO_TEST_CASE(messages_have_their_names) {
    for (std::size_t type = 0; type < kMessageTypes; ++type) BOOST_TEST(message_name(type) != nullptr);
    const auto name_of_message = [](const cluster::Message& message) {
        return std::string(message_name(message.index()));
    };
    BOOST_TEST(name_of_message(cluster::VoteRequest()) == "VoteRequest");
    BOOST_TEST(name_of_message(cluster::EntryChunk()) == "EntryChunk");
    BOOST_TEST(name_of_message(cluster::RegisterRequest()) == "RegisterRequest");
    BOOST_TEST(name_of_message(cluster::ConfigurationUpdate()) == "ConfigurationUpdate");
    BOOST_TEST(name_of_message(cluster::RunnerUpdate()) == "RunnerUpdate");
    BOOST_TEST(name_of_message(cluster::Heartbeat()) == "Heartbeat");
    BOOST_TEST(name_of_message(cluster::OutstandingReport()) == "OutstandingReport");
}

BOOST_AUTO_TEST_CASE(functions_have_names) {
    BOOST_TEST(function_of(function_name(63'999)) == 63'999);
    for (const char* name : {"", "f", "g1", "f1x"}) BOOST_TEST(function_of(name) == -1);
}

BOOST_AUTO_TEST_CASE(the_configuration_is_one_that_the_system_takes) {
    Options options;
    options.functions = 50;
    const auto configuration = read(configuration_text(options, 3));
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->version() == 3U);
    BOOST_TEST(configuration->routes().size() == 50U);
    BOOST_REQUIRE(configuration->find_route("scale.example", "/f49/x"));
    BOOST_TEST(configuration->find_route("scale.example", "/f49/x")->services.front().service == "f49");
}

BOOST_AUTO_TEST_CASE(a_next_version_differs_little) {
    Options options;
    options.functions = 1000;
    const std::string before = configuration_text(options, 7), after = configuration_text(options, 8);
    BOOST_TEST(before != after);
    BOOST_TEST(cluster::make_delta(before, after).size() < before.size() / 100);
}

BOOST_AUTO_TEST_CASE(few_functions_are_called_often) {
    const Popularity popularity(100, 1.0);
    std::mt19937_64 random(5);
    std::vector<int> calls(100, 0);
    for (int n = 0; n < 10'000; ++n) ++calls.at(static_cast<std::size_t>(popularity.draw(random)));
    BOOST_TEST(calls.front() > 1500);
    BOOST_TEST(calls.back() < 100);
}

BOOST_AUTO_TEST_CASE(a_run_is_summed_up) {
    const Summary sum = summary_of(played());
    BOOST_TEST(sum.leader_processor == 0.5);
    BOOST_TEST(sum.follower_processor == 0.05);
    BOOST_TEST(sum.leader_memory_mb == 30);
    BOOST_TEST(sum.leader_descriptors == 12);
    BOOST_TEST(sum.leader_messages_per_s == 10);
    BOOST_TEST(sum.leader_kb_per_s == 2);
    BOOST_TEST(sum.proxy_kb_per_s == 1);
    BOOST_TEST(sum.granted_per_s == 5);
}

BOOST_AUTO_TEST_CASE(where_nobody_leads_at_the_end_the_busiest_counts_as_leader) {
    Measurements run = played();
    run.after.leader = -1;
    BOOST_TEST(summary_of(run).leader_processor == 0.5);
    BOOST_TEST(summary_of(run).follower_memory_mb == 11);
}

BOOST_AUTO_TEST_CASE(a_reading_without_a_leader_is_no_other_leader) {
    Measurements run = played();
    Sample none;
    none.at_s = 3;
    run.samples.push_back(none);
    BOOST_TEST(summary_of(run).leaders == 1);
    BOOST_TEST(summary_of(run).seconds_without_leader == 1);
}

BOOST_AUTO_TEST_CASE(the_first_configuration_counts_as_no_change) {
    const Summary sum = summary_of(played());
    BOOST_TEST(sum.changes == 2);
    BOOST_TEST(sum.changes_unfinished == 1);
    BOOST_TEST(sum.in_force_ms.value() == 200);
    BOOST_TEST(sum.acknowledged_ms_99.value() == 300);
}

BOOST_AUTO_TEST_CASE(a_run_that_never_began_is_summed_up_too) {
    const Measurements run;
    const Summary sum = summary_of(run);
    BOOST_TEST(sum.leader_processor == 0);
    BOOST_TEST(!sum.in_force_ms);
    BOOST_TEST(!json::read(json_report(run)).number("ready_s"));
    BOOST_TEST(text_report(run).find("ready after not reached") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_reports_hold_the_figures) {
    Measurements run = played();
    Recovery recovery;
    recovery.fault = Fault::zone_cut;
    recovery.first_registered = 0.5;
    run.recoveries = {recovery};
    const json::Value told = json::read(json_report(run));
    BOOST_TEST(told.number("leader_processor").value() == 0.5);
    const json::List* const recoveries = told.find("recoveries")->get<json::List>();
    BOOST_REQUIRE(recoveries);
    BOOST_TEST(*recoveries->front().text("fault") == "zone");
    BOOST_TEST(recoveries->front().number("first_registered_s").value() == 0.5);
    BOOST_TEST(!recoveries->front().number("all_registered_s"));
    BOOST_TEST(svg_report(run).find("</svg>") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_fault_without_a_whole_recovery_is_told_by_name) {
    Measurements run = played();
    run.options.faults = {Fault::leader_killed, Fault::all_killed};
    BOOST_TEST(not_recovered(run).value() == "not all faults were played");
    Recovery whole, half;
    whole.all_registered = 1;
    half.fault = Fault::all_killed;
    half.first_registered = 1;
    run.recoveries = {whole, half};
    BOOST_TEST(not_recovered(run).value() == "not all proxies were registered again after all");
    run.recoveries.back().all_registered = 2;
    BOOST_TEST(!not_recovered(run));
}

BOOST_AUTO_TEST_CASE(the_kernel_tells_what_this_process_uses) {
    const Usage usage = usage_of(getpid());
    BOOST_TEST(usage.memory_mb > 1);
    BOOST_TEST(usage.descriptors >= 3);
    BOOST_TEST(machine_memory_mb() > usage.memory_mb);
    BOOST_TEST(usage_of(0).memory_mb == 0);
}

BOOST_AUTO_TEST_CASE(a_child_that_ends_is_noticed_once) {
    Process child({"/bin/true"}, "/dev/null");
    bool ended = false;
    for (int look = 0; look < 500 && !ended; ++look) {
        usleep(10'000);
        ended = child.ended_by_itself();
    }
    BOOST_TEST(ended);
    BOOST_TEST(!child.ended_by_itself());
}
