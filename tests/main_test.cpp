// The command line of the program itself.
#include <doctest/doctest.h>
#include <sys/wait.h>

#include <cstdio>
#include <string>

namespace {

struct CommandResult {
    int exit_status = -1;
    std::string output;
};

enum class Stream { out, error };

// Runs the program with those arguments, and returns what it writes to that stream.
CommandResult run_program(const std::string& arguments, Stream stream) {
    const std::string command = std::string(GANNETHOLD_PROGRAM) + " " + arguments +
                                (stream == Stream::out ? " 2>/dev/null" : " 2>&1 >/dev/null");
    std::FILE* const pipe = ::popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    CommandResult result;
    for (int byte = std::fgetc(pipe); byte != EOF; byte = std::fgetc(pipe))
        result.output.push_back(static_cast<char>(byte));
    const int status = ::pclose(pipe);
    result.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

const std::string kSnapshotFile = RECORDED_FIXTURES "/keepsake/d-1.keep";

}  // namespace

TEST_CASE("a snapshot is shown and verified, also under the command's old name, which warns once") {
    const std::string complete = ": complete, format version 1, ";
    for (const std::string action : {"show ", "verify "}) {
        const std::string arguments = action + kSnapshotFile;
        const CommandResult shown = run_program("snapshot " + arguments, Stream::out);
        CHECK(shown.exit_status == 0);
        CHECK(shown.output.find(kSnapshotFile + complete) == 0);
        CHECK(run_program("snapshot " + arguments, Stream::error).output.empty());
        const CommandResult old_name = run_program("keepsake " + arguments, Stream::out);
        CHECK(old_name.exit_status == 0);
        CHECK(old_name.output.find(kSnapshotFile + complete) == 0);
        CHECK(run_program("keepsake " + arguments, Stream::error).output ==
              "gannethold: warning: keepsake is the old name of snapshot, and still works\n");
    }
    CHECK(run_program("snapshot show " + kSnapshotFile, Stream::out).output.find("8 runners, 2 kinds") !=
          std::string::npos);
    CHECK(run_program("snapshot verify /nowhere.keep", Stream::out).exit_status == 1);
    CHECK(run_program("keepsake verify /nowhere.keep", Stream::out).exit_status == 1);
    CHECK(run_program("snapshot", Stream::out).exit_status == 2);
}
