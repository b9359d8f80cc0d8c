#include "clients/request.hpp"
#include "helpers.hpp"
#include "http/writer.hpp"
#include "json/json.hpp"
#include "membership/endpoint_table.hpp"
#include "runners/codec.hpp"

using namespace gannethold;

namespace {

// The results of a reader for a sequence of pieces, as one text.
struct ReadTranscript {
    explicit ReadTranscript(http::MessageKind kind) : reader(kind, pool) {}

    void add(std::string_view bytes) {
        while (results.find("fault") == std::string::npos) {
            switch (reader.read(bytes)) {
                case http::ReadResult::nothing:
                    return;
                case http::ReadResult::head:
                    results += std::string(reader.head().method) + std::string(reader.head().target) +
                               std::to_string(reader.head().status) +
                               (reader.head().is_keep_alive ? "+" : "-");
                    for (const auto& f : reader.head().fields)
                        results += "[" + std::string(f.name) + "=" + std::string(f.value) + "]";
                    break;
                case http::ReadResult::body:
                    results += reader.body_piece();
                    break;
                case http::ReadResult::end:
                    results += "|";
                    reader.restart();
                    break;
                case http::ReadResult::error:
                    results += "fault" + std::to_string(static_cast<int>(reader.error()));
            }
        }
    }

    net::BlockPool pool{4};
    http::Reader reader;
    std::string results;
};

std::string read_whole(http::MessageKind kind, const std::string& text) {
    ReadTranscript transcript(kind);
    transcript.add(text);
    return transcript.results;
}

void check_reads_the_same_when_split(http::MessageKind kind, const std::string& text,
                                     const std::string& expected) {
    CHECK(read_whole(kind, text) == expected);
    for (std::size_t at = 1; at < text.size(); ++at) {
        ReadTranscript transcript(kind);
        transcript.add(std::string_view(text).substr(0, at));
        transcript.add(std::string_view(text).substr(at));
        CHECK_MESSAGE(transcript.results == expected, "split at ", at);
    }
    ReadTranscript transcript(kind);
    for (const char& c : text) transcript.add({&c, 1});
    CHECK(transcript.results == expected);
}

const std::string kMalformed = "fault1", kTooLarge = "fault2", kVersion = "fault3", kNoBlock = "fault4";

}  // namespace

TEST_CASE("requests read the same wherever the network splits them") {
    check_reads_the_same_when_split(
        http::MessageKind::request,
        "\r\nPOST /render/7?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
        "GET /healthz HTTP/1.0\r\n\r\n"
        "POST /r HTTP/1.1\r\nTransfer-Encoding: chunked\r\nconnection: Keep, CLOSE\r\n\r\n"
        "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nEnd: 1\r\n\r\n",
        "POST/render/7?a=b0+[Host=x][Content-Length=5]hello|GET/healthz0-|"
        "POST/r0-[Transfer-Encoding=chunked][connection=Keep, CLOSE]abcd|");
}

TEST_CASE("answers read the same wherever the network splits them") {
    check_reads_the_same_when_split(
        http::MessageKind::response,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"
        "HTTP/1.1 204 None\r\n\r\nHTTP/1.1 200\r\nA:\t b \r\n\r\ntill the end",
        "503+[Content-Length=2]no|204+|200-[A=b]till the end");
}

TEST_CASE("an ambiguous head is rejected") {
    for (const std::string bad :
         {"POST /r HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
          "POST /r HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
          "POST /r HTTP/1.1\r\nContent-Length: +1\r\n\r\n", "POST /r HTTP/1.1\r\nContent-Length: 1 1\r\n\r\n",
          "POST /r HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
          "POST /r HTTP/1.1\r\nContent-Length:\r\n\r\n",
          "POST /r HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
          "POST /r HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "POST /r HTTP/1.1\r\nA : b\r\n\r\n",
          "POST /r HTTP/1.1\r\n folded\r\n\r\n", "POST /r HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "POST /r\r\n\r\n",
          "POST  /r HTTP/1.1\r\n\r\n", "POST r HTTP/1.1\r\n\r\n", "P(ST /r HTTP/1.1\r\n\r\n",
          "POST /r HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
          "POST /r HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
          "POST /r HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
        const std::string results = read_whole(http::MessageKind::request, bad);
        CHECK_MESSAGE(results.ends_with(kMalformed), bad);
    }
    CHECK(read_whole(http::MessageKind::request, "GET / HTTP/2.0\r\n\r\n") == kVersion);
    CHECK(read_whole(http::MessageKind::response, "HTTP/1.1 99 x\r\n\r\n") == kMalformed);
    CHECK(read_whole(http::MessageKind::response, "HTTP/1.1 101 Switch\r\n\r\n") == kMalformed);
    CHECK(read_whole(http::MessageKind::response, "HTTP/1.1 2000 x\r\n\r\n") == kMalformed);
}

TEST_CASE("unbounded heads, chunk sizes and trailers are rejected, and their blocks are released") {
    const std::string head = "POST /r HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(read_whole(http::MessageKind::request, "GET /" + std::string(net::BlockPool::kBlockBytes, 'a')) ==
          kTooLarge);
    CHECK(read_whole(http::MessageKind::request, head + "00000000001").ends_with(kTooLarge));
    CHECK(read_whole(http::MessageKind::request, head + "1;" + std::string(5000, 'x')).ends_with(kMalformed));
    CHECK(read_whole(http::MessageKind::request, head + "0\r\n" + std::string(5000, 'x'))
              .ends_with(kMalformed));
    net::BlockPool none(0);
    http::Reader starved(http::MessageKind::request, none);
    std::string_view bytes = "GET / HTTP/1.1\r\n\r\n";
    CHECK(starved.read(bytes) == http::ReadResult::error);
    net::BlockPool pool(2);
    {
        net::BlockBuffer body(pool);
        CHECK(body.append(std::string(net::BlockPool::kBlockBytes + 1, 'b')));
        CHECK(pool.in_use() == 2);
        CHECK(pool.is_scarce());
        CHECK_FALSE(body.append(std::string(net::BlockPool::kBlockBytes, 'b')));
        net::BlockBuffer moved(std::move(body));
        CHECK(moved.to_string().size() == 2 * net::BlockPool::kBlockBytes);
    }
    CHECK(pool.in_use() == 0);
}

TEST_CASE("JSON is parsed completely or rejected, also if truncated anywhere") {
    const std::string text =
        R"({"a":[1,-2.5e+3,true,false,null,{}],"b":"q\"\\\/\b\f\n\r\t\u0041\u00e9\u20ac\ud83d\ude00","c":[]})";
    const json::Value value = json::parse(text);
    CHECK(*value.find_string("b") == "q\"\\/\b\f\n\r\tA\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
    CHECK((*value.find("a")->get<json::Array>())[1].get<json::Number>()->value() == -2500);
    CHECK(json::serialize(json::parse(json::serialize(value))) == json::serialize(value));
    for (std::size_t at = 0; at < text.size(); ++at)
        CHECK_THROWS_AS(json::parse(std::string_view(text).substr(0, at)), json::ParseError);
    for (const std::string bad :
         {"{}x", "[1,]", "{\"a\":1,}", "{\"a\":1,\"a\":2}", "01", "1.", "-", "1e", "\"\n\"", "\"\\x\"",
          "\"\\u12g4\"", "\"\\ud800\"", "\"\\ude00\"", "tru", "nan", "{a:1}", "+1"})
        CHECK_THROWS_AS(json::parse(bad), json::ParseError);
    CHECK_THROWS_AS(json::parse(std::string(100, '[') + std::string(100, ']')), json::ParseError);
}

TEST_CASE(
    "a runner's task updates and load reports are decoded; a malformed update counts as a task that may have "
    "run") {
    const runners::ReportDecoder reports({"x0", "q", "rif"});
    using State = runners::TaskUpdate::State;
    const auto read = [&](const std::string& rest) {
        return runners::parse_task_update("{\"id\":\"7\"," + rest + "}", "7", reports);
    };
    const auto done = read(R"("state":"done","result":"a\nb","load":{"inflight":7,"queue":2,"x0":1})");
    CHECK(done.state == State::last);
    CHECK(done.result == "a\nb");
    CHECK(done.report == Report{1, 2, 7});
    CHECK(read(R"("state":"done","result":{"n":[1]})").result == R"({"n":[1]})");
    CHECK(read(R"("state":"started")").state == State::started);
    CHECK(read(R"("state":"running","share":0.4)").share == 0.4);
    CHECK(read(R"("state":"failed")").ending == net::CloseReason::failed);
    CHECK(read(R"("state":"returned")").ending == net::CloseReason::returned);
    CHECK(read(R"("state":"lost")").ending == net::CloseReason::lost);
    for (const std::string bad : {R"("state":"running","share":1.5)", R"("state":"running")",
                                  R"("state":"odd")", R"("state":"done")", R"("state":1)", R"("state")"})
        CHECK(read(bad).state == State::unreadable);
    CHECK(runners::parse_task_update(R"({"id":"8","state":"done","result":""})", "7", reports).state ==
          State::unreadable);
    CHECK(reports.read_pairs("rif=7,q=2, x0=0.5") == Report{0.5, 2, 7});
    CHECK(reports.read_pairs("rif=7,q=2").empty());
    CHECK(reports.read_pairs("rif=7,q=two,x0=1").empty());
    CHECK(reports.read_object("{\"load\":{\"rif\":7,\"q\":2,\"x0\":1}}\n") == Report{1, 2, 7});
    CHECK(reports.read_object("{\"rif\":").empty());
}

TEST_CASE("requests with an unknown workload or customer, or invalid headers, are rejected with a status") {
    const clients::Directory directory(SettingsMap{{"workloads.0.name", "render"},
                                                   {"workloads.1.name", "proof"},
                                                   {"workloads.1.effect", "fingerprinted"},
                                                   {"customers.0.name", "acme"}});
    const auto status = [&](const std::string& line, const std::string& fields) {
        net::BlockPool pool(1);
        http::Reader reader(http::MessageKind::request, pool);
        const std::string text = line + " HTTP/1.1\r\n" + fields + "\r\n";
        std::string_view bytes = text;
        REQUIRE(reader.read(bytes) == http::ReadResult::head);
        const auto read = clients::read_request(reader.head(), directory);
        const auto* refused = std::get_if<clients::Refused>(&read);
        return refused ? refused->status : 200;
    };
    const std::string id = "X-Request-ID: 1\r\n", tenant = "X-Tenant-Id: acme\r\n",
                      timeout = "X-Timeout: 480m\r\n";
    CHECK(status("POST /render/7", id + tenant + timeout) == 200);
    CHECK(status("POST /render/7",
                 id + tenant + "X-Timeout: 480000u\r\nX-Attrs: memory=2,slots=1.5,odd=x\r\n") == 200);
    CHECK(status("GET /render/7", id + tenant + timeout) == 405);
    CHECK(status("POST /other/7", id + tenant + timeout) == 404);
    CHECK(status("POST /render/7", tenant + timeout) == 400);
    CHECK(status("POST /render/7", id + "X-Tenant-Id: nobody\r\n" + timeout) == 400);
    CHECK(status("POST /render/7", id + timeout) == 400);
    CHECK(status("POST /proof/7", id + tenant + timeout) == 400);
    CHECK(status("POST /proof/7", id + tenant + timeout + "Idempotency-Key: k\r\n") == 200);
    CHECK(status("POST /render/7", id + tenant + timeout + "X-Attrs: memory=-1\r\n") == 400);
    for (const std::string odd : {"", "480", "m", "-1m", "0m", "1e30m", "nanm", "1s", "4 m"})
        CHECK_MESSAGE(status("POST /render/7", id + tenant + "X-Timeout: " + odd + "\r\n") == 400, odd);
}

TEST_CASE("the endpoint table keeps the last valid entries and the ids, and skips outdated deltas") {
    std::ostringstream log_text;
    log::Log log(log_text, log::Level::info);
    membership::EndpointTable table({"a"}, {"m"}, log);
    const auto apply = [&](const std::string& text, UpdateScope scope) {
        const auto endpoints = membership::parse_endpoint_list(json::parse(text));
        REQUIRE(endpoints);
        return table.apply(*endpoints, scope, 100'000'000);
    };
    const auto list = [](const std::string& version, const std::string& addr, const std::string& state,
                         const std::string& more = "") {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[{\"id\":\"s-1\",\"addr\":\"" + addr +
               "\",\"zone\":\"a\",\"kind\":\"m\",\"state\":\"" + state + "\"" + more + "}]}";
    };
    const auto first = apply(list("41", "127.0.0.1:5000", "SERVING"), UpdateScope::complete);
    CHECK(first->update.entries[0].state == RunnerState::ready);
    CHECK(first->targets[0].open);
    // An entry with an invalid state or address does not replace the last valid one.
    const auto invalid = apply(list("42", "127.0.0.1:5000", "RESTING"), UpdateScope::delta);
    CHECK(invalid->update.entries[0].state == RunnerState::ready);
    CHECK(apply(list("43", "nowhere", "SERVING"), UpdateScope::delta)->targets[0].address.text ==
          "127.0.0.1:5000");
    CHECK(log_text.str().find("passed over the entry of s-1") != std::string::npos);
    // An outdated delta is skipped; a complete list is accepted with any version, since discovery may
    // restart.
    CHECK_FALSE(apply(list("40", "127.0.0.1:5000", "DRAINING"), UpdateScope::delta));
    CHECK(table.follow_from() == 0);
    CHECK(apply(list("1", "127.0.0.1:5001", "DRAINING"), UpdateScope::complete)->update.version == 1);
    CHECK_FALSE(apply(list("2", "127.0.0.1:5001", "DELETED"), UpdateScope::delta)->targets[0].open);
    // The start time is converted once, so that the same start in a later list is no restart.
    const std::string started = ",\"started_ms\":1700000000000";
    const auto again = apply(list("3", "127.0.0.1:5001", "SERVING", started), UpdateScope::delta);
    CHECK(again->targets[0].restarted);
    usleep(2000);
    const auto same = apply(list("4", "127.0.0.1:5001", "SERVING", started), UpdateScope::complete);
    CHECK_FALSE(same->targets[0].restarted);
    CHECK(again->update.entries[0].started_at == same->update.entries[0].started_at);
    CHECK(same->update.entries[0].runner == first->update.entries[0].runner);
    // A runner that a complete list omits is closed.
    const auto empty_list = apply("{\"version\":5,\"full\":true,\"servers\":[]}", UpdateScope::complete);
    CHECK_FALSE(empty_list->targets.at(0).open);
    for (const std::string bad : {"{}", "{\"version\":1,\"servers\":{}}", "{\"version\":-1,\"servers\":[]}",
                                  "{\"version\":1,\"servers\":[{}]}"})
        CHECK_FALSE(membership::parse_endpoint_list(json::parse(bad)));
}

TEST_CASE("an invalid configuration is rejected with a one-line reason") {
    const auto error_of = [](const std::string& text) {
        try {
            dispatcher::DispatcherConfig::read(text);
        } catch (const std::runtime_error& e) {
            return std::string(e.what());
        }
        return std::string("none");
    };
    const std::string addresses = "\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\"";
    const std::string workload = "{\"name\":\"w\",\"effect\":\"token\",\"due_time_us\":1,\"expiry_us\":1}";
    CHECK(error_of("{" + addresses + ",\"settings\":{\"workloads\":[" + workload + "]}}") == "none");
    CHECK(error_of("{" + addresses + ",\"settings\":{}}").find("has no workloads") != std::string::npos);
    CHECK(error_of("{" + addresses + ",\"settings\":{\"workloads\":[" + workload + "," + workload + "]}}")
              .find("names a workload twice: w") != std::string::npos);
    CHECK(error_of("{").find("is not JSON") != std::string::npos);
    CHECK(error_of("{}").find("no listen address") != std::string::npos);
    CHECK(error_of("{\"listen\":\"here\"}").find("is none: here") != std::string::npos);
    CHECK(error_of("{" + addresses + "}").find("no settings") != std::string::npos);
    CHECK(error_of("{" + addresses + ",\"settings\":{},\"seed\":\"xyz\"}").find("seed") != std::string::npos);
    CHECK(error_of("{" + addresses + ",\"settings\":{},\"known\":[]}").find("known list") !=
          std::string::npos);
    CHECK(error_of("{" + addresses + ",\"settings\":{},\"limits\":{\"sockets\":0}}").find("limit") !=
          std::string::npos);
    CHECK_THROWS_AS(dispatcher::DispatcherConfig::read_file("/nowhere/at/all"), std::runtime_error);
    const auto read = dispatcher::DispatcherConfig::read("{" + addresses +
                                                         ",\"settings\":{\"dcs\":[\"a "
                                                         "b\",\"c\"],\"workloads\":[" +
                                                         workload + "],\"caps\":{\"probes\":true}}}");
    CHECK(read.settings.at("zones") == "a_b,c");
    CHECK(read.settings.at("workloads.0.effect") == "fingerprinted");
    CHECK(read.settings.at("workloads.count") == "1");
    CHECK(read.settings.at("caps.probes") == "true");
}
