// Test cases of parts of src/cluster that have no file of their own here yet.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <random>

#include "cluster/configuration/delta.hpp"
#include "cluster/store/store.hpp"
#include "cluster/wire/codec.hpp"
#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

// The requests for votes, or for pre-votes, of that term in an output.
std::ptrdiff_t vote_requests(const Output& out, Number term, bool pre_vote) {
    return std::count_if(out.sends.begin(), out.sends.end(), [&](const Output::Envelope& envelope) {
        const auto* const request = std::get_if<VoteRequest>(&envelope.message);
        return request && request->term == term && request->pre_vote == pre_vote;
    });
}

BOOST_AUTO_TEST_CASE(a_lost_disk_counts_no_vote_of_its_own) {
    Consensus::Options options;
    options.self = "a";
    options.seeds = {"a", "b", "c"};
    PersistentState state;
    state.promise = {true, 3, "a", 5, 0, {}};
    state.entry = {{3, 4}, 1, {"a", "b", "c"}, {}, {}, "x"};
    Output out;
    Consensus consensus(options, state, 10'000'000, out);
    consensus.tick(12'000'000, out);
    // In terms 4 and 5 its lost disk may have voted for another: it does not stand in them, by a pre-vote
    // neither.
    BOOST_TEST(vote_requests(out, 4, true) == 0);
    BOOST_TEST(vote_requests(out, 5, true) == 0);
    BOOST_TEST(vote_requests(out, 6, true) == 2);
    out = {};
    consensus.receive(12'001'000, "b", VoteResponse{4, true, true, 0}, out);
    BOOST_TEST(vote_requests(out, 4, false) == 0);
    BOOST_TEST(vote_requests(out, 6, false) == 0);
    consensus.receive(12'002'000, "b", VoteResponse{6, true, true, 0}, out);
    BOOST_TEST(vote_requests(out, 6, false) == 2);
    // And it gives none in them.
    out = {};
    PersistentState voter = state;
    voter.promise.term = 4;
    voter.promise.voted_for.clear();
    Consensus other(options, voter, 10'000'000, out);
    out = {};
    other.receive(12'000'000, "c", VoteRequest{5, {4, 9}, false, false}, out);
    const auto granted =
        std::count_if(out.sends.begin(), out.sends.end(), [](const Output::Envelope& envelope) {
            const auto* const response = std::get_if<VoteResponse>(&envelope.message);
            return response && response->granted;
        });
    BOOST_TEST(granted == 0);
}

// A member that was frozen may answer, in the term of now, heartbeats of an earlier life of the same leader:
// their rounds were never sent in this life, and grant nothing.
BOOST_AUTO_TEST_CASE(an_answer_to_a_round_that_was_not_sent_grants_no_lease) {
    constexpr Micros kNow = 3'000'000;
    Consensus::Options options;
    options.self = "a";
    options.seeds = {"a", "b", "c"};
    options.first_start = true;
    Output out;
    Consensus consensus(options, {}, 1'000'000, out);
    consensus.tick(kNow, out);
    consensus.receive(kNow, "b", VoteResponse{1, true, true, 0}, out);
    consensus.receive(kNow, "b", VoteResponse{1, true, false, 0}, out);
    const LogPosition first = consensus.persistent_state().entry.position;
    consensus.receive(kNow, "b", AppendResponse{1, 1000, first, {}, 0, false}, out);
    BOOST_TEST(consensus.holds());
    BOOST_TEST(!consensus.leads(kNow));
    consensus.receive(kNow, "b", AppendResponse{1, 1, first, {}, 0, false}, out);
    BOOST_TEST(consensus.leads(kNow));
}

// A candidate whose term is behind learns the voter's from the refusal, and asks for one in which it may get
// the vote.
BOOST_AUTO_TEST_CASE(a_refused_pre_vote_names_the_term_to_ask_for) {
    Consensus::Options options;
    options.self = "a";
    PersistentState state;
    state.promise = {true, 1, {}, 0, 0, {}};
    state.entry = {{1, 8}, 1, {"a", "b", "c"}, {}, {}, "x"};
    Output out;
    Consensus candidate(options, state, 1'000'000, out);
    options.self = "b";
    state.promise = {true, 2, "a", 0, 0, {}};
    state.entry.position = {1, 7};
    Consensus voter(options, state, 1'000'000, out);
    out = {};
    candidate.tick(3'000'000, out);
    BOOST_TEST(vote_requests(out, 2, true) == 2);
    out = {};
    voter.receive(3'000'000, "a", VoteRequest{2, {1, 8}, true, false}, out);
    const auto refusal =
        std::find_if(out.sends.begin(), out.sends.end(), [](const Output::Envelope& envelope) {
            return std::holds_alternative<VoteResponse>(envelope.message);
        });
    BOOST_REQUIRE((refusal != out.sends.end()));
    const VoteResponse refused = std::get<VoteResponse>(refusal->message);
    BOOST_TEST(!refused.granted);
    out = {};
    candidate.receive(3'001'000, "b", refused, out);
    BOOST_TEST(vote_requests(out, 3, true) == 2);
}

BOOST_AUTO_TEST_CASE(a_difference_gives_the_text_back_and_refuses_another_base) {
    std::string old_text = "{\"routes\":[";
    std::string new_text = old_text;
    for (int i = 0; i < 900; ++i) {
        old_text += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"timeout_ms\":4000},";
        new_text += "{\"name\":\"r-" + std::to_string(i * 7919) +
                    "\",\"timeout_ms\":" + (i == 450 ? "100" : "4000") + "},";
    }
    const std::string delta = make_delta(old_text, new_text);
    BOOST_TEST(delta.size() < 150U);
    const auto got = [](std::string_view base, std::string_view bytes) {
        return leaf::try_handle_all([&] { return apply_delta(base, bytes); },
                                    [] { return std::string("refused"); });
    };
    BOOST_TEST(got(old_text, delta) == new_text);
    BOOST_TEST(got(new_text, delta) == "refused");
    BOOST_TEST(got({}, make_delta({}, new_text)) == new_text);
    for (std::size_t i = 0; i < delta.size(); ++i) {
        std::string broken = delta;
        broken[i] = static_cast<char>(broken[i] ^ 0x55);
        const std::string back = got(old_text, broken);
        BOOST_TEST((back == "refused" || back == new_text));
    }
}

BOOST_AUTO_TEST_CASE(messages_come_back_as_they_were_and_other_bytes_are_no_message) {
    const AcquireRequest ask{7, 3, "huvo11a", 300, 4000, 1, 5, true};
    std::string bytes = encode(ask, "10.0.0.1:80");
    const auto read = [](std::string_view packed) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<ReceivedMessage>> {
                BOOST_LEAF_AUTO(l, decode(packed));
                return std::optional(l);
            },
            [] { return std::optional<ReceivedMessage>(); });
    };
    const auto back = read(std::string_view{bytes}.substr(4));
    BOOST_REQUIRE(back.has_value());
    const auto* const same = std::get_if<AcquireRequest>(&back->message);
    BOOST_REQUIRE(same != nullptr);
    BOOST_TEST((same->service == ask.service && same->deadline_ms == ask.deadline_ms && same->again &&
                back->from == "10.0.0.1:80"));
    std::mt19937 random(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string noise = bytes.substr(4);
        for (int flips = 0; flips < 3; ++flips) noise[random() % noise.size()] = static_cast<char>(random());
        read(noise);  // must not crash, whatever it makes of it
    }
    Frames frames;
    frames.add(std::string("\xff\xff\xff\xff", 4));
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(frames.next());
            return false;
        },
        [] { return true; });
    BOOST_TEST(refused);
}

PersistentState kept(std::uint64_t index, std::size_t bytes) {
    PersistentState d;
    d.promise = {true, index, "10.0.0.1:80", 0, 0, {}};
    d.entry = {{index, index}, index, {"10.0.0.1:80"}, {}, {{index, index * 7, index}}, {}};
    std::mt19937 random(static_cast<unsigned>(index));
    for (std::size_t n = 0; n < bytes; ++n) d.entry.body += static_cast<char>('a' + random() % 26);
    return d;
}

struct Folder {
    std::string path;
    Folder() {
        char name[] = "/tmp/gannethold-store-XXXXXX";
        path = mkdtemp(name);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder() { std::filesystem::remove_all(path); }
    std::vector<std::filesystem::path> files() const {
        std::vector<std::filesystem::path> all;
        for (const auto& f : std::filesystem::directory_iterator(path + "/state")) all.push_back(f.path());
        std::sort(all.begin(), all.end());
        return all;
    }
};

PersistentState opened(Store& store, const std::string& folder) {
    return leaf::try_handle_all([&] { return store.open(folder); },
                                []() -> PersistentState {
                                    BOOST_FAIL("the store does not open");
                                    return {};
                                });
}
void written(Store& store, const PersistentState& d) {
    BOOST_TEST(leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(store.write(d));
            return true;
        },
        [] { return false; }));
}

BOOST_AUTO_TEST_CASE(the_store_gives_back_what_was_written_and_stays_under_its_bound) {
    Folder folder;
    {
        Store store;
        BOOST_TEST(!opened(store, folder.path).promise.member);
        for (std::uint64_t n = 1; n <= 120; ++n) written(store, kept(n, 250'000));
    }
    std::uintmax_t bytes = 0;
    for (const auto& f : folder.files()) bytes += std::filesystem::file_size(f);
    BOOST_TEST(bytes < 24U << 20, bytes);  // 30 MB were written; the disk holds 128
    Store again;
    const PersistentState back = opened(again, folder.path);
    BOOST_TEST(back.promise.member);
    BOOST_TEST(back.entry.version == 120U);
    BOOST_TEST((back.entry.body == kept(120, 250'000).entry.body));
}

BOOST_AUTO_TEST_CASE(a_torn_tail_is_cut_and_never_read_as_something_else) {
    for (const std::uintmax_t torn : {1U, 7U, 100U, 900U, 1500U}) {
        Folder folder;
        {
            Store store;
            opened(store, folder.path);
            written(store, kept(1, 1000));
            written(store, kept(2, 1000));
        }
        for (const auto& f : folder.files())
            if (f.extension() == ".log" && std::filesystem::file_size(f) > torn)
                std::filesystem::resize_file(f, std::filesystem::file_size(f) - torn);
        Store store;
        const PersistentState back = opened(store, folder.path);
        BOOST_TEST((!back.promise.member || back.entry.body == kept(back.entry.version, 1000).entry.body));
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_can_not_be_read_is_a_lost_disk) {
    Folder folder;
    {
        Store store;
        opened(store, folder.path);
        written(store, kept(1, 1000));
    }
    for (const auto& f : folder.files())
        if (f.filename().string().starts_with("MANIFEST")) std::filesystem::resize_file(f, 3);
    Store store;
    BOOST_TEST(!opened(store, folder.path).promise.member);
    written(store, kept(9, 10));
    Store again;
}

}  // namespace
}  // namespace gannethold::cluster
