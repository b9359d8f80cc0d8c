// The reader of beanstalkd's protocol, and the exchange behind it: the same bytes whole and in pieces must
// say the same, and whatever two sessions say no job may be lost or be in two hands. A floor that gives each
// worker what comes first.
#include <cstdint>
#include <cstdlib>
#include <deque>

#include "beanstalk/tube_broker.hpp"
#include "beanstalk/tube_mapping.hpp"

using namespace gannethold;
using namespace gannethold::beanstalk;

namespace {

class Ground final : public BrokerCallbacks {
  public:
    explicit Ground(const BrokerSettings& trade)
        : trade_(trade),
          workloads_(add_workloads(orders_, trade_)),
          exchange(trade_, workloads_.mapping, *this) {}

    void send(SessionId, std::string&& words) override { said += words; }
    void close(SessionId session) override { closing.push_back(session); }
    TaskId submit_task(const queue::Job&, const std::string&, const TubePlan&, WorkloadId) override {
        tasks.push_back(TaskId{++last_});
        return tasks.back();
    }
    void cancel_task(TaskId task) override { std::erase(tasks, task); }
    RunnerId add_worker(SessionId, const WorkloadSet&, bool) override {
        return workers.emplace_back(RunnerId{++joined_});
    }
    void set_worker_workloads(RunnerId, const WorkloadSet&) override {}
    void remove_worker(RunnerId worker) override { std::erase(workers, worker); }
    void set_worker_slots(RunnerId, double slots) override {
        if (slots < 0) std::abort();
    }
    void on_call_ended(runners::CallEnded&& e) override { ended.push_back(e); }
    void on_probe_ended(RunnerId) override {}

    void settle(Micros now) {
        for (int turn = 0; turn < 4; ++turn) {
            for (const auto& e : std::exchange(ended, {}))
                exchange.on_answer(e.task,
                                   e.ending == net::CloseReason::done ? frontend::Answer::finished
                                   : e.ending == net::CloseReason::timed_out_unsent
                                       ? frontend::Answer::bounced
                                       : frontend::Answer::abandoned,
                                   "", 0);
            for (const SessionId s : std::exchange(closing, {})) exchange.on_session_closed(now, s);
            exchange.advance(now);
            std::vector<TaskId> out;
            out.swap(tasks);
            for (const TaskId task : out)
                if (!workers.empty())
                    exchange.assign(workers[static_cast<std::size_t>(task) % workers.size()],
                                    {task, 0, "", "", nullptr, now + 60'000'000});
        }
    }

    std::string said;
    std::vector<TaskId> tasks;
    std::vector<RunnerId> workers;
    std::vector<runners::CallEnded> ended;
    std::vector<SessionId> closing;

  private:
    SettingsMap orders_;
    BrokerSettings trade_;
    TubeWorkloads workloads_;
    std::uint64_t last_ = 0;
    std::uint32_t joined_ = 0;

  public:
    TubeBroker exchange;
};

std::string commands(std::string_view bytes, std::size_t piece) {
    CommandParser reader(512);
    std::string all;
    while (!bytes.empty()) {
        std::string_view now = bytes.substr(0, piece);
        bytes.remove_prefix(now.size());
        for (ParseResult found; !now.empty() && (found = reader.parse(now)) != ParseResult::incomplete;) {
            all += std::to_string(static_cast<int>(found));
            if (found == ParseResult::command)
                all += name_of(reader.command().verb) + reader.command().tube + reader.command().body +
                       std::to_string(reader.command().id);
        }
    }
    return all;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const std::string whole = commands(bytes, size + 1);
    if (commands(bytes, 1) != whole || commands(bytes, 7) != whole) std::abort();
    BrokerSettings trade;
    trade.max_body_bytes = 512, trade.queue_limits = {50, 20'000, 32}, trade.max_other_tubes = 4;
    Ground ground(trade);
    // The first byte of each line says whose it is; a NUL lets time pass.
    CommandParser readers[2] = {CommandParser(512), CommandParser(512)};
    SessionId sessions[2] = {SessionId{1}, SessionId{2}};
    std::uint64_t opened = 2;
    Micros now = 1'000'000;
    for (const SessionId s : sessions) ground.exchange.on_session_opened(now, s);
    std::size_t who = 0;
    for (std::string_view left = bytes; !left.empty();) {
        const auto end = left.find('\n');
        std::string_view line = left.substr(0, end == std::string_view::npos ? end : end + 1);
        left.remove_prefix(line.size());
        if (line.front() == '\0') now += 700'000, line.remove_prefix(1);
        if (!line.empty() && line.front() == '\1') who = 1 - who, line.remove_prefix(1);
        for (ParseResult found; !line.empty() && !ground.exchange.is_waiting(sessions[who]) &&
                                (found = readers[who].parse(line)) != ParseResult::incomplete;) {
            ground.exchange.on_command(now, sessions[who], found, std::move(readers[who].command()));
            ground.settle(now);
            // One that said quit is replaced.
            ground.exchange.on_session_opened(now, SessionId{++opened});
            ground.exchange.on_session_closed(now, SessionId{opened});
        }
        ground.settle(now);
    }
    for (const SessionId s : sessions) ground.exchange.on_session_closed(now, s);
    ground.settle(now);
    if (ground.exchange.tasks_in_flight() != 0) std::abort();
    return 0;
}
