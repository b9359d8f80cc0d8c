#include "runners/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::runners {
namespace {

constexpr std::size_t kMaxLineBytes = 128 * 1024;
constexpr Micros kFinishTimeout = 500'000;  // for the end of an answer whose last line has come
constexpr std::string_view kProbeHead = "GET /load HTTP/1.1\r\nHost: runner\r\n\r\n";
constexpr std::string_view kHealthHead = "GET /healthz HTTP/1.1\r\nHost: runner\r\n\r\n";

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, TransportObserver& observer, ReportDecoder reports,
                               PoolOptions options)
    : loop_(loop), observer_(observer), reports_(std::move(reports)), options_(options) {}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::set_endpoint(RunnerId runner, const net::Address& address, bool open, bool restarted) {
    Endpoint& endpoint = endpoints_[runner];
    const bool moved = endpoint.address && endpoint.address->text != address.text;
    endpoint.address = address;
    endpoint.open = open;
    // Against connections to a machine that vanished and is back: they stand open here, and what is sent on
    // them is reset.
    if (moved || restarted || !open) close_idle(runner);
    if (open) return;
    // Against a send after the grace of a drain, also when the connect was slow: what has not begun never
    // will. What has begun goes on.
    for (const auto& connection : connections_)
        if (connection->runner() == runner && connection->is_waiting_to_begin())
            connection->stop(net::CloseReason::drained_unsent, net::CloseReason::drained_unsent);
}

void ConnectionPool::assign(RunnerId runner, PendingCall&& call) {
    RunnerConnection* const connection = acquire(runner);
    if (!connection)
        return observer_.on_call_ended(
            {call.task, call.number, runner, net::CloseReason::out_of_sockets, 0, {}, {}});
    in_flight_[{call.task, call.number}] = connection;
    connection->start_call(std::move(call));
}

void ConnectionPool::withdraw(TaskId task, int number) {
    const auto found = in_flight_.find({task, number});
    if (found != in_flight_.end())
        found->second->stop(net::CloseReason::cancelled, net::CloseReason::cancelled_unsent);
}

void ConnectionPool::probe(RunnerId runner) {
    if (RunnerConnection* const connection = acquire(runner))
        connection->start_probe();
    else
        observer_.on_probe_ended(runner, net::CloseReason::out_of_sockets, 0, {});
}

void ConnectionPool::limit_deadlines(Micros at) {
    for (const auto& connection : connections_) connection->limit_deadline(at);
}

void ConnectionPool::close_idle(RunnerId runner) {
    for (RunnerConnection* const connection : std::exchange(endpoints_[runner].idle, {})) connection->close();
}

RunnerConnection* ConnectionPool::acquire(RunnerId runner) {
    Endpoint& endpoint = endpoints_[runner];
    // The one used last: it is the surest to be open still, and the rest can grow old and close.
    while (!endpoint.idle.empty()) {
        RunnerConnection* const connection = endpoint.idle.back();
        // Against a request that crosses the runner's close: it would count as one that may have run.
        if (connection->connection_.is_stale()) {
            connection->close();
            continue;
        }
        endpoint.idle.pop_back();
        return connection;
    }
    if (connections_.size() - ended_.size() >= options_.max_connections) {
        return close_an_idle_one() ? open_connection(runner, endpoint) : nullptr;
    }
    return open_connection(runner, endpoint);
}

// Short of descriptors: a connection that stands idle, to whomever, goes first.
bool ConnectionPool::close_an_idle_one() {
    for (auto& [id, other] : endpoints_) {
        if (other.idle.empty()) continue;
        other.idle.front()->close();
        return true;
    }
    return false;
}

void ConnectionPool::update_options(const PoolOptions& options) {
    options_ = options;
    while (connections_.size() - ended_.size() > options_.max_connections && close_an_idle_one()) {
    }
}

RunnerConnection* ConnectionPool::open_connection(RunnerId runner, Endpoint& endpoint) {
    connections_.push_back(
        std::make_unique<RunnerConnection>(*this, runner, endpoint.address.value_or(net::Address{})));
    connections_.back()->position_ = std::prev(connections_.end());
    return connections_.back().get();
}

void ConnectionPool::forget_idle(RunnerConnection& connection) {
    std::erase(endpoints_[connection.runner()].idle, &connection);
}

void ConnectionPool::erase_ended() {
    for (RunnerConnection* const connection : std::exchange(ended_, {}))
        connections_.erase(connection->position_);
}

RunnerConnection::RunnerConnection(ConnectionPool& pool, RunnerId runner, const net::Address& address)
    : pool_(pool),
      runner_(runner),
      address_(address.text),
      reader_(http::MessageKind::response, pool.loop_.block_pool()),
      line_(pool.loop_.block_pool()),
      limit_(pool.loop_,
             [this] {
                 if (is_busy())
                     stop(net::CloseReason::timed_out, net::CloseReason::timed_out_unsent);
                 else
                     close();
             }),
      connection_(pool.loop_, *this, address, pool.options_.connect_limit) {}

void RunnerConnection::start_call(PendingCall&& call) {
    call_ = std::move(call);
    state_ = State::call;
    started_at_ = net::Loop::now();
    limit_.set(call_.deadline);
    if (is_connected_) begin();
}

void RunnerConnection::start_probe() {
    state_ = State::probe;
    started_at_ = net::Loop::now();
    limit_.set(started_at_ + pool_.options_.connect_limit);
    if (is_connected_) begin();
}

void RunnerConnection::on_connected() {
    is_connected_ = true;
    if (is_busy()) begin();
}

void RunnerConnection::on_all_written() {
    if (state_ != State::call || !has_begun_ || std::exchange(has_reported_written_, true)) return;
    pool_.observer_.on_request_written();
}

void RunnerConnection::begin() {
    has_begun_ = true;
    has_reported_written_ = false;
    has_answered_ = false;
    if (state_ == State::probe) {
        connection_.write(pool_.reports_.wanted() ? kProbeHead : kHealthHead);
        return;
    }
    net::BlockBuffer out(pool_.loop_.block_pool());
    const Micros left = std::max<Micros>(1, call_.deadline - net::Loop::now());
    bool room = out.append(call_.head + "X-Timeout: " + std::to_string(left) + "u\r\n\r\n");
    if (call_.body) room = room && out.append(call_.body->to_string());
    if (!room) return stop(net::CloseReason::out_of_sockets, net::CloseReason::out_of_sockets);
    connection_.write(std::move(out));
}

void RunnerConnection::on_bytes(std::string_view bytes) {
    // Bytes that nobody asked for: whatever answer they belong to, it is not the next one's.
    if (state_ == State::idle) return close();
    has_answered_ = true;
    while (state_ != State::idle && state_ != State::over) {
        switch (reader_.read(bytes)) {
            case http::ReadResult::nothing:
                return;
            case http::ReadResult::head:
                if (!on_head()) return;
                break;
            case http::ReadResult::body:
                if (!on_body_piece()) return;
                break;
            case http::ReadResult::end:
                on_answer_end();
                if (state_ == State::idle && !bytes.empty()) close();
                return;
            case http::ReadResult::error:
                complete(net::CloseReason::malformed);
                return close();
        }
    }
}

bool RunnerConnection::on_head() {
    report_ = pool_.reports_.read_pairs(reader_.head().field("X-Server-Load"));
    // An answer that comes before the request is out belongs to no request of ours.
    if (state_ != State::call || !connection_.has_unsent_bytes()) return true;
    complete(reason_by_status());
    close();
    return false;
}

net::CloseReason RunnerConnection::reason_by_status() const {
    const http::Head& head = reader_.head();
    const bool never_ran = head.field("X-Not-Processed") == "1";
    if ((head.status == 503 || head.status == 504) && never_ran) return net::CloseReason::returned;
    if (head.status >= 500) return net::CloseReason::failed;
    // Whatever it means, it is no result, and nothing says that the task did not run.
    return net::CloseReason::malformed;
}

bool RunnerConnection::on_body_piece() {
    const auto give_up = [this] {
        complete(net::CloseReason::malformed);
        close();
        return false;
    };
    std::string_view piece = reader_.body_piece();
    if (state_ == State::probe || (state_ == State::call && reader_.head().status != 200)) {
        // Bodies that are not lines: a load report, or words on why not.
        return line_.size() + piece.size() <= kMaxLineBytes && line_.append(piece) ? true : give_up();
    }
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        if (line_.size() + piece.size() > kMaxLineBytes || !line_.append(piece.substr(0, end)))
            return give_up();
        if (end == std::string_view::npos) return true;
        piece.remove_prefix(end + 1);
        const std::string text = line_.to_string();
        line_.clear();
        if (!on_line(text)) return false;
    }
    return true;
}

bool RunnerConnection::on_line(std::string_view text) {
    if (text.find_first_not_of(" \t\r") == std::string_view::npos) return true;
    TaskUpdate line;
    if (state_ == State::call) line = parse_task_update(text, call_.request_id, pool_.reports_);
    switch (line.state) {
        case TaskUpdate::State::started:
            pool_.observer_.on_progress(call_.task, call_.number, runner_, Stage::begun, 0);
            return true;
        case TaskUpdate::State::running:
            pool_.observer_.on_progress(call_.task, call_.number, runner_, Stage::progress, line.share);
            return true;
        case TaskUpdate::State::last:
            if (line.report.empty()) line.report = std::move(report_);
            complete(line.ending, std::move(line.report), std::move(line.result));
            return true;
        case TaskUpdate::State::unreadable:
            // Also a line after the last one: a runner that goes on talking is not to be followed.
            complete(net::CloseReason::malformed);
            close();
            return false;
    }
    return true;
}

void RunnerConnection::on_answer_end() {
    if (state_ == State::probe) {
        Report report = pool_.reports_.read_object(line_.to_string());
        if (report.empty()) report = std::move(report_);
        complete(reader_.head().status == 200 ? net::CloseReason::done : net::CloseReason::returned,
                 std::move(report));
    } else if (state_ == State::call && reader_.head().status != 200) {
        complete(reason_by_status(), std::move(report_));
    } else if (state_ == State::call) {
        // The last line may lack its line end.
        const std::string text = line_.to_string();
        line_.clear();
        if (!text.empty() && !on_line(text)) return;
        if (state_ == State::call) {
            complete(net::CloseReason::ended_early);
            return close();
        }
    }
    const bool keeps = reader_.head().is_keep_alive;
    reader_.restart();
    line_.clear();
    if (keeps && state_ != State::over)
        return_to_pool();
    else
        close();
}

void RunnerConnection::return_to_pool() {
    ConnectionPool::Endpoint& endpoint = pool_.endpoints_[runner_];
    if (!endpoint.open || endpoint.address->text != address_) return close();
    state_ = State::idle;
    has_begun_ = false;
    is_reused_ = true;
    // Closed before the runner would: a request that crosses its close counts as one that may have run.
    limit_.set(net::Loop::now() + pool_.options_.keep_idle);
    endpoint.idle.push_back(this);
}

// The one end of an errand or probe; what still comes on the connection is only read to its end.
void RunnerConnection::complete(net::CloseReason ending, Report&& report, std::string&& result) {
    if (!is_busy()) return;
    if (net::is_request_written(ending)) on_all_written();  // where its end is read before the loop says so
    const bool probe = state_ == State::probe;
    state_ = State::finishing;
    limit_.set(net::Loop::now() + kFinishTimeout);
    const Micros elapsed = net::Loop::now() - started_at_;
    if (probe) return pool_.observer_.on_probe_ended(runner_, ending, elapsed, std::move(report));
    pool_.in_flight_.erase({call_.task, call_.number});
    pool_.observer_.on_call_ended(
        {call_.task, call_.number, runner_, ending, elapsed, std::move(report), std::move(result)});
}

void RunnerConnection::stop(net::CloseReason sent, net::CloseReason unsent) {
    if (!is_busy()) return;
    const bool all_out = has_begun_ && !connection_.has_unsent_bytes();
    complete(all_out ? sent : unsent);
    close();
}

void RunnerConnection::limit_deadline(Micros at) {
    if (state_ != State::call || call_.deadline <= at) return;
    call_.deadline = at;
    limit_.set(at);
}

void RunnerConnection::close() {
    if (state_ == State::over) return;
    if (state_ == State::idle) pool_.forget_idle(*this);
    complete(net::CloseReason::closed);
    state_ = State::over;
    limit_.cancel();
    connection_.close();
    reader_.restart();
    line_.clear();
    pool_.ended_.push_back(this);
}

void RunnerConnection::on_closed(net::CloseReason ending) {
    if (!has_begun_ && is_busy() && is_connected_) ending = net::CloseReason::broken_unsent;
    // An answer that goes on until the connection closes ends properly by that.
    if (ending == net::CloseReason::ended_early && state_ == State::call && reader_.is_complete_at_close()) {
        const std::string text = line_.to_string();
        if (reader_.head().status != 200)
            complete(reason_by_status(), std::move(report_));
        else if (!text.empty())
            on_line(text);
    }
    if ((ending == net::CloseReason::ended_early || ending == net::CloseReason::broken) && is_reused_ &&
        !has_answered_)
        ending = net::CloseReason::stale_connection;
    // Where one connection broke, or none could be made, those that are kept are no surer.
    if (is_busy()) pool_.close_idle(runner_);
    if (state_ == State::probe && is_reused_ && !has_answered_ && pool_.endpoints_[runner_].open) {
        // Against a break that tells of an old connection and not of the runner: a probe does no harm twice.
        state_ = State::finishing;
        pool_.probe(runner_);
    }
    complete(ending);
    close();
}

}  // namespace gannethold::runners
