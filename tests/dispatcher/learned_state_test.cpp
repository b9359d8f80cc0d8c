// The learned state of a dispatcher is kept over its restart.
#include "helpers.hpp"

#include <chrono>
#include <filesystem>

#include "snapshot/snapshot_fixture.hpp"
#include "snapshot/snapshot_format.hpp"
#include "snapshot/snapshot_store.hpp"

using namespace gannethold;
using namespace gannethold::snapshot;

TEST_CASE(
    "a dispatcher writes snapshots without holding up its loop, and the one after it restores estimates and "
    "holds") {
    const TemporaryFolder folder;
    dispatcher::DispatcherOptions options;
    options.control_socket.emplace();
    options.control_socket->path = folder.path + "/c.sock";
    options.snapshot.folder = folder.path;
    options.snapshot.interval = 100'000;
    const auto ask = [&](DispatcherFixture& fixture, const std::string& what) {
        TestConnection wire = TestConnection::to_path(options.control_socket->path);
        wire.send("{\"v\":1," + what + "}\n");
        REQUIRE(fixture.until([&] { return wire.has("\n"); }));
        return json::parse(wire.got.substr(0, wire.got.find('\n')));
    };
    {
        DispatcherFixture fixture(2, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000",
                                  options);
        for (int i = 0; i < 10; ++i) {
            TestConnection client = fixture.client();
            client.send(DispatcherFixture::post("k" + std::to_string(i)));
            fixture.at_runner("k" + std::to_string(i)).send(DispatcherFixture::done("k" + std::to_string(i)));
            REQUIRE(fixture.until([&] { return client.has("picture"); }));
        }
        ask(fixture, "\"do\":\"hold\",\"runner\":\"s-1\",\"why\":\"cable\"");
        const double before = *ask(fixture, "\"do\":\"status\"").find("keepsake")->find_number("written");
        REQUIRE(fixture.until([&] {
            return *ask(fixture, "\"do\":\"status\"").find("keepsake")->find_number("written") > before + 1;
        }));
        CHECK(*ask(fixture, "\"do\":\"status\"").find("keepsake")->find_number("failed") == 0);
    }
    {
        DispatcherFixture fixture(2, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000",
                                  options);
        const json::Value status = ask(fixture, "\"do\":\"status\"");
        CHECK(*status.find_number("held") == 1);
        CHECK(status.find("keepsake")->find_string("recalled")->find(" runners restored") !=
              std::string::npos);
        // A folder that can no longer be written is reported, and has no other effect.
        std::filesystem::remove_all(folder.path + "/n0.keep");
        std::filesystem::create_directory(folder.path + "/n0.keep.new");
        REQUIRE(fixture.until(
            [&] { return *ask(fixture, "\"do\":\"status\"").find("keepsake")->find_number("failed") > 0; }));
        CHECK(ask(fixture, "\"do\":\"status\"")
                  .find("keepsake")
                  ->find_string("last_failure")
                  ->find("cannot write") != std::string::npos);
        TestConnection client = fixture.client();
        client.send(DispatcherFixture::post("on"));
        fixture.at_runner("on").send(DispatcherFixture::done("on"));
        CHECK(fixture.until([&] { return client.has("picture"); }));
    }
}

TEST_CASE(
    "of a snapshot of a fleet that has gone, what concerns the runners that are left is restored, and "
    "nothing if "
    "none is left") {
    const TemporaryFolder folder;
    dispatcher::DispatcherOptions options;
    options.snapshot.folder = folder.path;
    Snapshot saved = make_snapshot(0, 10'000);
    using namespace std::chrono;
    saved.written_ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    for (SavedRunner& runner : saved.runners) runner.started_ms = 0;
    SnapshotStore(folder.path, "n0").write(encode(saved));
    const auto log_of_start = [&] {
        DispatcherFixture fixture(2, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000",
                                  options);
        TestConnection client = fixture.client();
        client.send(DispatcherFixture::post("on"));
        fixture.at_runner("on").send(DispatcherFixture::done("on"));
        CHECK(fixture.until([&] { return client.has("picture"); }));
        return fixture.said.str();
    };
    // Estimates that were saved for another address count a quarter.
    CHECK(log_of_start().find("2 of 10000 runners restored") != std::string::npos);
    for (SavedRunner& runner : saved.runners) runner.name = "earlier-" + runner.name;
    SnapshotStore(folder.path, "n0").write(encode(saved));
    CHECK(log_of_start().find("0 of 10000 runners restored") != std::string::npos);
}
