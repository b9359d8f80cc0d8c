// Compares every message between the cluster's processes and every stored record, with all fields set, with
// the bytes in fixtures/encoded.txt (one line each: name, bytes in hexadecimal). Examples have the names that
// they have in the fixtures.
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/configuration/delta.hpp"
#include "cluster/configuration/digest.hpp"
#include "cluster/wire/codec.hpp"
#include "cluster/wire/frames.hpp"
#include "field_values.hpp"
#include "formats.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr char kFile[] = "encoded.txt";
// Uses all eight bytes, so that a narrowed field is detected.
constexpr std::uint64_t kLarge = 0xf1e2d3c4b5a69788ULL;
constexpr std::uint64_t kSmall = 7;

const std::string kSender = "10.1.0.41:8263";
const std::string kOther = "10.2.0.35:8263";
const std::string kThird = "10.3.0.36:8263";
// Contains bytes that do not occur in text, including a zero.
const std::string kBytes{"a\0b\xff\x80 body", 10};

struct MessageExample {
    std::string name;
    Message message;
    std::string from;
};

std::vector<ConfirmedVersion> confirmed_versions() { return {{3, kLarge, 1}, {9, kLarge - 1, 2}, {8, 5, 3}}; }
std::vector<FunctionLoad> loads() { return {{"render", 300, 70'000}, {"resize", 2, 9}}; }
std::vector<RunnerInfo> runners() {
    return {{"i-1", "render", "10.1.64.9:8080", "plateau", "w-3", 4, 2, true},
            {"i-2", "resize", "10.2.64.7:8081", "almadies", "w-5", 70'000, 65'536, true}};
}

std::vector<MessageExample> controller_examples() {
    return {
        {"heartbeat", Heartbeat{}, {}},
        {"vote_request", VoteRequest{kLarge, {kLarge - 1, 12}, true, true}, {}},
        {"vote_request_with_sender", VoteRequest{kSmall, {6, 12}, false, true}, kSender},
        {"vote_response", VoteResponse{kLarge, true, true, kSmall}, {}},
        {"append_request", AppendRequest{kLarge, 300, {kSmall, 13}, {6, 12}}, {}},
        {"append_response", AppendResponse{kLarge, 300, {kSmall, 13}, {8, 14}, 4096, true}, {}},
        {"entry_chunk", EntryChunk{kLarge, 300, {kSmall, 13}, {6, 12}, 4096, 70'000, kBytes}, {}},
        {"recovery_request", RecoveryRequest{kLarge}, {}},
        {"recovery_response",
         RecoveryResponse{kLarge, 9, 11, kOther, {8, 14}, {kSender, kOther, kThird}, {kSender, kOther}},
         {}},
        {"join_request", JoinRequest{}, {}},
        {"timeout_now", TimeoutNow{kLarge}, {}},
        {"leave_request", LeaveRequest{}, {}},
        {"leave_response", LeaveResponse{kLarge}, {}},
    };
}

std::vector<MessageExample> proxy_examples() {
    return {
        {"register", RegisterRequest{"front-1", "plateau", kLarge, 12, runners(), loads()}, {}},
        {"redirect", Redirect{kOther}, {}},
        {"registered", RegisterResponse{kLarge, 2, 70'000, {kSender, kOther}}, {}},
        {"configuration_sent", ConfigurationUpdate{kLarge, {12, kBytes}}, {}},
        {"configuration_held", ConfigurationAck{kLarge}, {}},
        {"runner_told", RunnerUpdate{70'000, RunnerState::ready, runners().back(), true}, {}},
        {"acquire_request", AcquireRequest{70'001, 70'002, "render", 70'003, 70'004, 200, 60'000, true}, {}},
        {"acquire_granted", AcquireGranted{70'001, 70'002, WaitReason::memory}, {}},
        {"acquire_denied", AcquireDenied{70'001, 70'003, WaitReason::slot}, {}},
        {"release", Release{70'001, 70'002, ReleaseReason::rejected, 70'003}, {}},
        {"runner_reachable", RunnerReachable{70'002, true}, {}},
        {"mode", FunctionMode{"render", true, true}, {}},
        {"load_report", LoadReport{70'000, loads()}, {}},
        {"outstanding_report", OutstandingReport{{{70'001, 2}, {70'002, 70'003}}}, {}},
    };
}

// A runner that was not sent, as it is decoded: slots is 0 instead of its default.
RunnerInfo runner_not_sent() {
    RunnerInfo runner;
    runner.slots = 0;
    return runner;
}

// Additional examples, for the other values of each enumeration.
std::vector<MessageExample> enumeration_examples() {
    return {
        {"runner_told_starting", RunnerUpdate{1, RunnerState::starting, runners().front(), false}, {}},
        {"runner_told_gone", RunnerUpdate{1, RunnerState::gone, runner_not_sent(), false}, {}},
        {"acquire_granted_nothing", AcquireGranted{1, 2, WaitReason::none}, {}},
        {"acquire_granted_start", AcquireGranted{1, 2, WaitReason::start}, {}},
        {"acquire_granted_slot", AcquireGranted{1, 2, WaitReason::slot}, {}},
        {"acquire_denied_memory", AcquireDenied{1, 2, WaitReason::memory}, {}},
        {"release_unused", Release{1, 2, ReleaseReason::unused, 3}, {}},
        {"release_answered", Release{1, 2, ReleaseReason::answered, 3}, {}},
        {"release_failed", Release{1, 2, ReleaseReason::failed, 3}, {}},
        {"release_unreachable", Release{1, 2, ReleaseReason::unreachable, 3}, {}},
        {"release_gone", Release{1, 2, ReleaseReason::gone, 3}, {}},
    };
}

std::vector<MessageExample> message_examples() {
    std::vector<MessageExample> all = controller_examples();
    for (const auto& more : {proxy_examples(), enumeration_examples()})
        all.insert(all.end(), more.begin(), more.end());
    return all;
}

VotingState voting_state_example() { return {true, kLarge, kOther, 6, 8, kThird}; }
LogEntry entry_example() {
    return {{kLarge, 14}, 9, {kSender, kOther, kThird}, {kSender, kOther}, confirmed_versions(), kBytes};
}
EntryPayload payload_example() {
    return {kLarge, {kSender, kOther, kThird}, {kSender, kOther}, confirmed_versions(), kBytes};
}

// Two versions of a configuration that have one route and all services in common.
const std::string kOlderText =
    R"({"version":7,"routes":[{"name":"r-1","service":"a"},{"name":"r-2","service":"b"}],"services":[{"name":"a"},{"name":"b"}]})";
const std::string kNewerText =
    R"({"version":9,"routes":[{"name":"r-3","service":"b"},{"name":"r-2","service":"b"}],"services":[{"name":"a"},{"name":"b"}]})";

std::string digest_bytes(std::uint64_t digest) {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) bytes += static_cast<char>(digest >> shift & 0xff);
    return bytes;
}

std::string hexadecimal(const std::string& bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string text;
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text += kDigits[byte >> 4];
        text += kDigits[byte & 15];
    }
    return text;
}

std::string bytes_from(const std::string& digits) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    return bytes;
}

// Returns all examples as this version encodes them, by name.
std::map<std::string, std::string> encode_examples() {
    std::map<std::string, std::string> all;
    for (const MessageExample& example : message_examples())
        all[example.name] = encode(example.message, example.from);
    all["record_promise"] = encode_voting_state(voting_state_example());
    all["record_entry"] = encode_entry(entry_example());
    all["record_payload"] = encode_payload(payload_example());
    all["delta"] = make_delta(kOlderText, kNewerText);
    all["delta_to_nothing"] = make_delta({}, kNewerText);
    all["digest"] = digest_bytes(configuration_digest(kNewerText));
    return all;
}

std::map<std::string, std::string> read_fixtures() {
    std::ifstream file(fixtures() / kFile);
    std::map<std::string, std::string> all;
    for (std::string name, digits; file >> name >> digits;) all[name] = bytes_from(digits);
    return all;
}

std::string fixture(const std::string& name) {
    const auto all = read_fixtures();
    BOOST_REQUIRE_MESSAGE(all.contains(name), "no fixture: " << name);
    return all.at(name);
}

// Decodes the message in a frame.
ReceivedMessage received(const std::string& framed) {
    FrameReader frames;
    frames.add(framed);
    const auto packed = required<std::optional<std::string_view>>([&] { return frames.next(); });
    BOOST_REQUIRE(packed.has_value());
    return required<ReceivedMessage>([&] { return decode(*packed); });
}

}  // namespace

void write_encoded_examples(const std::filesystem::path& folder) {
    std::filesystem::create_directories(folder);
    std::ofstream file(folder / kFile);
    for (const auto& [name, bytes] : encode_examples()) file << name << ' ' << hexadecimal(bytes) << '\n';
}

BOOST_AUTO_TEST_CASE(each_type_of_message_has_an_example) {
    std::map<std::size_t, std::string> name_of_type;
    for (const MessageExample& example : message_examples())
        name_of_type[example.message.index()] = example.name;
    for (std::size_t type = 0; type < std::variant_size_v<Message>; ++type)
        BOOST_TEST(name_of_type.contains(type), "no example of the type at place " << type << " of Message");
}

BOOST_AUTO_TEST_CASE(examples_and_fixtures_have_the_same_names) {
    std::vector<std::string> example_names;
    std::vector<std::string> fixture_names;
    for (const auto& [name, bytes] : encode_examples()) example_names.push_back(name);
    for (const auto& [name, bytes] : read_fixtures()) fixture_names.push_back(name);
    BOOST_TEST(example_names == fixture_names, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(every_field_of_an_example_differs_from_its_default) {
    for (const auto& examples : {controller_examples(), proxy_examples()})
        for (const MessageExample& example : examples) {
            if (!example.from.empty()) continue;  // a second example of its type, with a sender
            BOOST_TEST_CONTEXT(example.name)
            std::visit(
                [](const auto& message) {
                    check_every_field_set(message, std::decay_t<decltype(message)>{});
                },
                example.message);
        }
    check_every_field_set(voting_state_example(), VotingState{});
    check_every_field_set(entry_example(), LogEntry{});
    check_every_field_set(payload_example(), EntryPayload{});
}

BOOST_AUTO_TEST_CASE(messages_are_encoded_as_before) {
    for (const MessageExample& example : message_examples())
        BOOST_TEST(hexadecimal(encode(example.message, example.from)) == hexadecimal(fixture(example.name)),
                   example.name);
}

BOOST_AUTO_TEST_CASE(messages_are_decoded_to_the_same_values_and_bytes) {
    for (const MessageExample& example : message_examples()) {
        const std::string bytes = fixture(example.name);
        const ReceivedMessage decoded = received(bytes);
        BOOST_TEST(decoded.from == example.from, example.name);
        BOOST_TEST(fields_equal(decoded.message, example.message), example.name);
        BOOST_TEST(hexadecimal(encode(decoded.message, decoded.from)) == hexadecimal(bytes), example.name);
    }
}

BOOST_AUTO_TEST_CASE(only_the_number_of_a_runner_that_is_gone_is_sent) {
    const RunnerUpdate gone{1, RunnerState::gone, runners().front(), false};
    BOOST_TEST(hexadecimal(encode(gone)) == hexadecimal(fixture("runner_told_gone")));
}

BOOST_AUTO_TEST_CASE(records_are_encoded_as_before_and_decoded_to_the_same_values) {
    const auto voting_state =
        required<VotingState>([] { return decode_voting_state(fixture("record_promise")); });
    BOOST_TEST(fields_equal(voting_state, voting_state_example()));
    BOOST_TEST(hexadecimal(encode_voting_state(voting_state_example())) ==
               hexadecimal(fixture("record_promise")));
    BOOST_TEST(encode_voting_state(voting_state) == fixture("record_promise"));
    const auto entry = required<LogEntry>([] { return decode_entry(fixture("record_entry")); });
    BOOST_TEST(fields_equal(entry, entry_example()));
    BOOST_TEST(hexadecimal(encode_entry(entry_example())) == hexadecimal(fixture("record_entry")));
    BOOST_TEST(encode_entry(entry) == fixture("record_entry"));
    const auto payload = required<EntryPayload>([] { return decode_payload(fixture("record_payload")); });
    BOOST_TEST(fields_equal(payload, payload_example()));
    BOOST_TEST(hexadecimal(encode_payload(payload_example())) == hexadecimal(fixture("record_payload")));
    BOOST_TEST(encode_payload(payload) == fixture("record_payload"));
}

// Also compares the compressed bytes, which depend on the release of zlib. If another release compresses them
// differently, examine the difference before writing new fixtures.
BOOST_AUTO_TEST_CASE(deltas_between_configurations_are_made_and_applied_as_before) {
    const std::string delta = fixture("delta");
    const std::string complete = fixture("delta_to_nothing");
    BOOST_TEST(required<std::string>([&] { return apply_delta(kOlderText, delta); }) == kNewerText);
    BOOST_TEST(required<std::string>([&] { return apply_delta({}, complete); }) == kNewerText);
    BOOST_TEST(hexadecimal(make_delta(kOlderText, kNewerText)) == hexadecimal(delta));
    BOOST_TEST(hexadecimal(make_delta({}, kNewerText)) == hexadecimal(complete));
}

BOOST_AUTO_TEST_CASE(a_configuration_keeps_its_digest) {
    BOOST_TEST(hexadecimal(digest_bytes(configuration_digest(kNewerText))) == hexadecimal(fixture("digest")));
}

}  // namespace gannethold::cluster::tests
