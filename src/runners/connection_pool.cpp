#include "runners/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::runners {
namespace {

constexpr std::size_t kMaxLineBytes = 128 * 1024;
constexpr Micros kFinishTimeout = 500'000;  // for the end of a response after its last line
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
    // The runner's machine may have failed and come back: such connections still look open, and a request on
    // them is reset.
    if (moved || restarted || !open) close_idle(runner);
    if (open) return;
    // A request that has not been started must not be sent after the drain's grace period, even if connecting
    // was slow. Requests that have been started continue.
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

void ConnectionPool::limit_deadlines(Micros latest) {
    for (const auto& connection : connections_) connection->limit_deadline(latest);
}

void ConnectionPool::close_idle(RunnerId runner) {
    for (RunnerConnection* const connection : std::exchange(endpoints_[runner].idle, {})) connection->close();
}

RunnerConnection* ConnectionPool::acquire(RunnerId runner) {
    Endpoint& endpoint = endpoints_[runner];
    // The most recently used connection is the most likely to be still open; the others can reach their idle
    // timeout.
    while (!endpoint.idle.empty()) {
        RunnerConnection* const connection = endpoint.idle.back();
        // The runner has closed it or sent data: a request on it would count as one that may have run.
        if (connection->connection_.is_stale()) {
            connection->close();
            continue;
        }
        endpoint.idle.pop_back();
        return connection;
    }
    if (connections_.size() - ended_.size() >= options_.max_connections) {
        return close_one_idle() ? open_connection(runner, endpoint) : nullptr;
    }
    return open_connection(runner, endpoint);
}

// Frees a descriptor by closing one idle connection, to any runner.
bool ConnectionPool::close_one_idle() {
    for (auto& [id, other] : endpoints_) {
        if (other.idle.empty()) continue;
        other.idle.front()->close();
        return true;
    }
    return false;
}

void ConnectionPool::update_options(const PoolOptions& options) {
    options_ = options;
    while (connections_.size() - ended_.size() > options_.max_connections && close_one_idle()) {
    }
}

RunnerConnection* ConnectionPool::open_connection(RunnerId runner, Endpoint& endpoint) {
    connections_.push_back(
        std::make_unique<RunnerConnection>(*this, runner, endpoint.address.value_or(net::Address{})));
    connections_.back()->position_ = std::prev(connections_.end());
    return connections_.back().get();
}

void ConnectionPool::remove_idle(RunnerConnection& connection) {
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
      body_(pool.loop_.block_pool()),
      timeout_(pool.loop_,
               [this] {
                   if (is_busy())
                       stop(net::CloseReason::timed_out, net::CloseReason::timed_out_unsent);
                   else
                       close();
               }),
      connection_(pool.loop_, *this, address, pool.options_.connect_timeout) {}

void RunnerConnection::start_call(PendingCall&& call) {
    call_ = std::move(call);
    state_ = State::call;
    started_at_ = net::Loop::now();
    timeout_.set(call_.deadline);
    if (is_connected_) begin();
}

void RunnerConnection::start_probe() {
    state_ = State::probe;
    started_at_ = net::Loop::now();
    timeout_.set(started_at_ + pool_.options_.connect_timeout);
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
        connection_.write(pool_.reports_.has_names() ? kProbeHead : kHealthHead);
        return;
    }
    net::BlockBuffer out(pool_.loop_.block_pool());
    const Micros remaining = std::max<Micros>(1, call_.deadline - net::Loop::now());
    bool has_buffer = out.append(call_.head + "X-Timeout: " + std::to_string(remaining) + "u\r\n\r\n");
    if (call_.body) has_buffer = has_buffer && out.append(call_.body->to_string());
    if (!has_buffer) return stop(net::CloseReason::out_of_sockets, net::CloseReason::out_of_sockets);
    connection_.write(std::move(out));
}

void RunnerConnection::on_bytes(std::string_view bytes) {
    // Bytes without a request belong to an earlier response; the connection cannot be reused.
    if (state_ == State::idle) return close();
    has_answered_ = true;
    while (state_ != State::idle && state_ != State::closed) {
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
    // A response that arrives before the request is fully sent does not answer this request.
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
    // The response is no result, and it does not state that the task did not run.
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
        // The body is not made of lines: it is a load report or an error text.
        return body_.size() + piece.size() <= kMaxLineBytes && body_.append(piece) ? true : give_up();
    }
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        if (body_.size() + piece.size() > kMaxLineBytes || !body_.append(piece.substr(0, end)))
            return give_up();
        if (end == std::string_view::npos) return true;
        piece.remove_prefix(end + 1);
        const std::string text = body_.to_string();
        body_.clear();
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
            // This includes a line after the final one.
            complete(net::CloseReason::malformed);
            close();
            return false;
    }
    return true;
}

void RunnerConnection::on_answer_end() {
    if (state_ == State::probe) {
        Report report = pool_.reports_.read_object(body_.to_string());
        if (report.empty()) report = std::move(report_);
        complete(reader_.head().status == 200 ? net::CloseReason::done : net::CloseReason::returned,
                 std::move(report));
    } else if (state_ == State::call && reader_.head().status != 200) {
        complete(reason_by_status(), std::move(report_));
    } else if (state_ == State::call) {
        // The last line may lack its newline.
        const std::string text = body_.to_string();
        body_.clear();
        if (!text.empty() && !on_line(text)) return;
        if (state_ == State::call) {
            complete(net::CloseReason::ended_early);
            return close();
        }
    }
    const bool is_reusable = reader_.head().is_keep_alive;
    reader_.restart();
    body_.clear();
    if (is_reusable && state_ != State::closed)
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
    // Closed before the runner's own idle timeout: a request sent while the runner closes the connection
    // would count as one that may have run.
    timeout_.set(net::Loop::now() + pool_.options_.idle_timeout);
    endpoint.idle.push_back(this);
}

// Ends a call or probe exactly once and reports it. The rest of the response is read and discarded.
void RunnerConnection::complete(net::CloseReason ending, Report&& report, std::string&& result) {
    if (!is_busy()) return;
    if (net::is_request_written(ending)) on_all_written();  // the response may be read before the write event
    const bool probe = state_ == State::probe;
    state_ = State::finishing;
    timeout_.set(net::Loop::now() + kFinishTimeout);
    const Micros elapsed = net::Loop::now() - started_at_;
    if (probe) return pool_.observer_.on_probe_ended(runner_, ending, elapsed, std::move(report));
    pool_.in_flight_.erase({call_.task, call_.number});
    pool_.observer_.on_call_ended(
        {call_.task, call_.number, runner_, ending, elapsed, std::move(report), std::move(result)});
}

void RunnerConnection::stop(net::CloseReason sent, net::CloseReason unsent) {
    if (!is_busy()) return;
    const bool is_written = has_begun_ && !connection_.has_unsent_bytes();
    complete(is_written ? sent : unsent);
    close();
}

void RunnerConnection::limit_deadline(Micros latest) {
    if (state_ != State::call || call_.deadline <= latest) return;
    call_.deadline = latest;
    timeout_.set(latest);
}

void RunnerConnection::close() {
    if (state_ == State::closed) return;
    if (state_ == State::idle) pool_.remove_idle(*this);
    complete(net::CloseReason::closed);
    state_ = State::closed;
    timeout_.cancel();
    connection_.close();
    reader_.restart();
    body_.clear();
    pool_.ended_.push_back(this);
}

void RunnerConnection::on_closed(net::CloseReason ending) {
    if (!has_begun_ && is_busy() && is_connected_) ending = net::CloseReason::broken_unsent;
    // A body without a length ends with the connection; that is a complete response.
    if (ending == net::CloseReason::ended_early && state_ == State::call && reader_.is_complete_at_close()) {
        const std::string text = body_.to_string();
        if (reader_.head().status != 200)
            complete(reason_by_status(), std::move(report_));
        else if (!text.empty())
            on_line(text);
    }
    if ((ending == net::CloseReason::ended_early || ending == net::CloseReason::broken) && is_reused_ &&
        !has_answered_)
        ending = net::CloseReason::stale_connection;
    // One connection broke, or none could be opened: the idle ones to this runner are likely broken too.
    if (is_busy()) pool_.close_idle(runner_);
    if (state_ == State::probe && is_reused_ && !has_answered_ && pool_.endpoints_[runner_].open) {
        // The break may concern the reused connection and not the runner. A probe has no effects, so it is
        // sent again.
        state_ = State::finishing;
        pool_.probe(runner_);
    }
    complete(ending);
    close();
}

}  // namespace gannethold::runners
