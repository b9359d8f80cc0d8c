#include "runners/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::runners {
namespace {

constexpr std::size_t kLongestLine = 128 * 1024;
constexpr Micros kFinishing = 500'000;  // for the end of an answer whose last line has come
constexpr std::string_view kProbeHead = "GET /load HTTP/1.1\r\nHost: runner\r\n\r\n";
constexpr std::string_view kHealthHead = "GET /healthz HTTP/1.1\r\nHost: runner\r\n\r\n";

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, TransportObserver& sender, ReportDecoder reports, PoolOptions upkeep)
    : loop_(loop), sender_(sender), reports_(std::move(reports)), upkeep_(upkeep) {}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::seat(RunnerId runner, const net::Address& address, bool open, bool restarted) {
    Endpoint& place = places_[runner];
    const bool moved = place.address && place.address->text != address.text;
    place.address = address;
    place.open = open;
    // Against connections to a machine that vanished and is back: they stand open here, and what is sent on
    // them is reset.
    if (moved || restarted || !open) close_idle(runner);
    if (open) return;
    // Against a send after the grace of a drain, also when the connect was slow: what has not begun never
    // will. What has begun goes on.
    for (const auto& link : links_)
        if (link->runner() == runner && link->waits_to_begin())
            link->stop(net::CloseReason::drained_unsent, net::CloseReason::drained_unsent);
}

void ConnectionPool::assign(RunnerId runner, PendingCall&& errand) {
    RunnerConnection* const link = idle_or_new(runner);
    if (!link)
        return sender_.errand_ended(
            {errand.task, errand.number, runner, net::CloseReason::out_of_sockets, 0, {}, {}});
    out_[{errand.task, errand.number}] = link;
    link->carry(std::move(errand));
}

void ConnectionPool::withdraw(TaskId task, int number) {
    const auto found = out_.find({task, number});
    if (found != out_.end())
        found->second->stop(net::CloseReason::cancelled, net::CloseReason::cancelled_unsent);
}

void ConnectionPool::probe(RunnerId runner) {
    if (RunnerConnection* const link = idle_or_new(runner))
        link->carry_probe();
    else
        sender_.probe_ended(runner, net::CloseReason::out_of_sockets, 0, {});
}

void ConnectionPool::stop_all_by(Micros at) {
    for (const auto& link : links_) link->stop_by(at);
}

void ConnectionPool::close_idle(RunnerId runner) {
    for (RunnerConnection* const link : std::exchange(places_[runner].idle, {})) link->close();
}

RunnerConnection* ConnectionPool::idle_or_new(RunnerId runner) {
    Endpoint& place = places_[runner];
    // The one used last: it is the surest to be open still, and the rest can grow old and close.
    while (!place.idle.empty()) {
        RunnerConnection* const link = place.idle.back();
        // Against a request that crosses the runner's close: it would count as one that may have run.
        if (link->connection_.is_stale()) {
            link->close();
            continue;
        }
        place.idle.pop_back();
        return link;
    }
    if (links_.size() - ended_.size() >= upkeep_.most_links) {
        return close_an_idle_one() ? open_link(runner, place) : nullptr;
    }
    return open_link(runner, place);
}

// Short of descriptors: a connection that stands idle, to whomever, goes first.
bool ConnectionPool::close_an_idle_one() {
    for (auto& [id, other] : places_) {
        if (other.idle.empty()) continue;
        other.idle.front()->close();
        return true;
    }
    return false;
}

void ConnectionPool::restate(const PoolOptions& upkeep) {
    upkeep_ = upkeep;
    while (links_.size() - ended_.size() > upkeep_.most_links && close_an_idle_one()) {
    }
}

RunnerConnection* ConnectionPool::open_link(RunnerId runner, Endpoint& place) {
    links_.push_back(std::make_unique<RunnerConnection>(*this, runner, place.address.value_or(net::Address{})));
    links_.back()->place_ = std::prev(links_.end());
    return links_.back().get();
}

void ConnectionPool::forget_idle(RunnerConnection& link) { std::erase(places_[link.runner()].idle, &link); }

void ConnectionPool::sweep() {
    for (RunnerConnection* const link : std::exchange(ended_, {})) links_.erase(link->place_);
}

RunnerConnection::RunnerConnection(ConnectionPool& links, RunnerId runner, const net::Address& address)
    : links_(links),
      runner_(runner),
      address_(address.text),
      reader_(http::MessageKind::response, links.loop_.block_pool()),
      line_(links.loop_.block_pool()),
      limit_(links.loop_,
             [this] {
                 if (busy())
                     stop(net::CloseReason::timed_out, net::CloseReason::timed_out_unsent);
                 else
                     close();
             }),
      connection_(links.loop_, *this, address, links.upkeep_.connect_limit) {}

void RunnerConnection::carry(PendingCall&& errand) {
    errand_ = std::move(errand);
    state_ = State::errand;
    since_ = net::Loop::now();
    limit_.set(errand_.stop_at);
    if (up_) begin();
}

void RunnerConnection::carry_probe() {
    state_ = State::probe;
    since_ = net::Loop::now();
    limit_.set(since_ + links_.upkeep_.connect_limit);
    if (up_) begin();
}

void RunnerConnection::on_connected() {
    up_ = true;
    if (busy()) begin();
}

void RunnerConnection::on_all_written() {
    if (state_ != State::errand || !begun_ || std::exchange(told_written_, true)) return;
    links_.sender_.written_whole();
}

void RunnerConnection::begin() {
    begun_ = true;
    told_written_ = false;
    answered_ = false;
    if (state_ == State::probe) {
        connection_.write(links_.reports_.wanted() ? kProbeHead : kHealthHead);
        return;
    }
    net::BlockBuffer out(links_.loop_.block_pool());
    const Micros left = std::max<Micros>(1, errand_.stop_at - net::Loop::now());
    bool room = out.append(errand_.head + "X-Timeout: " + std::to_string(left) + "u\r\n\r\n");
    if (errand_.body) room = room && out.append(errand_.body->to_string());
    if (!room) return stop(net::CloseReason::out_of_sockets, net::CloseReason::out_of_sockets);
    connection_.write(std::move(out));
}

void RunnerConnection::on_bytes(std::string_view bytes) {
    // Bytes that nobody asked for: whatever answer they belong to, it is not the next one's.
    if (state_ == State::idle) return close();
    answered_ = true;
    while (state_ != State::idle && state_ != State::over) {
        switch (reader_.read(bytes)) {
            case http::ReadResult::nothing:
                return;
            case http::ReadResult::head:
                if (!heed_head()) return;
                break;
            case http::ReadResult::body:
                if (!heed_piece()) return;
                break;
            case http::ReadResult::end:
                heed_end();
                if (state_ == State::idle && !bytes.empty()) close();
                return;
            case http::ReadResult::error:
                settle(net::CloseReason::malformed);
                return close();
        }
    }
}

bool RunnerConnection::heed_head() {
    report_ = links_.reports_.read_pairs(reader_.head().field("X-Server-Load"));
    // An answer that comes before the request is out belongs to no request of ours.
    if (state_ != State::errand || !connection_.has_unsent_bytes()) return true;
    settle(by_status());
    close();
    return false;
}

net::CloseReason RunnerConnection::by_status() const {
    const http::Head& head = reader_.head();
    const bool never_ran = head.field("X-Not-Processed") == "1";
    if ((head.status == 503 || head.status == 504) && never_ran) return net::CloseReason::returned;
    if (head.status >= 500) return net::CloseReason::failed;
    // Whatever it means, it is no result, and nothing says that the task did not run.
    return net::CloseReason::malformed;
}

bool RunnerConnection::heed_piece() {
    const auto give_up = [this] {
        settle(net::CloseReason::malformed);
        close();
        return false;
    };
    std::string_view piece = reader_.body_piece();
    if (state_ == State::probe || (state_ == State::errand && reader_.head().status != 200)) {
        // Bodies that are not lines: a load report, or words on why not.
        return line_.size() + piece.size() <= kLongestLine && line_.append(piece) ? true : give_up();
    }
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        if (line_.size() + piece.size() > kLongestLine || !line_.append(piece.substr(0, end)))
            return give_up();
        if (end == std::string_view::npos) return true;
        piece.remove_prefix(end + 1);
        const std::string text = line_.to_string();
        line_.clear();
        if (!heed_line(text)) return false;
    }
    return true;
}

bool RunnerConnection::heed_line(std::string_view text) {
    if (text.find_first_not_of(" \t\r") == std::string_view::npos) return true;
    TaskUpdate line;
    if (state_ == State::errand) line = parse_task_update(text, errand_.request_id, links_.reports_);
    switch (line.state) {
        case TaskUpdate::State::started:
            links_.sender_.progressed(errand_.task, errand_.number, runner_, Stage::begun, 0);
            return true;
        case TaskUpdate::State::running:
            links_.sender_.progressed(errand_.task, errand_.number, runner_, Stage::progress, line.share);
            return true;
        case TaskUpdate::State::last:
            if (line.report.empty()) line.report = std::move(report_);
            settle(line.ending, std::move(line.report), std::move(line.result));
            return true;
        case TaskUpdate::State::unreadable:
            // Also a line after the last one: a runner that goes on talking is not to be followed.
            settle(net::CloseReason::malformed);
            close();
            return false;
    }
    return true;
}

void RunnerConnection::heed_end() {
    if (state_ == State::probe) {
        Report report = links_.reports_.read_object(line_.to_string());
        if (report.empty()) report = std::move(report_);
        settle(reader_.head().status == 200 ? net::CloseReason::done : net::CloseReason::returned,
               std::move(report));
    } else if (state_ == State::errand && reader_.head().status != 200) {
        settle(by_status(), std::move(report_));
    } else if (state_ == State::errand) {
        // The last line may lack its line end.
        const std::string text = line_.to_string();
        line_.clear();
        if (!text.empty() && !heed_line(text)) return;
        if (state_ == State::errand) {
            settle(net::CloseReason::ended_early);
            return close();
        }
    }
    const bool keeps = reader_.head().is_keep_alive;
    reader_.restart();
    line_.clear();
    if (keeps && state_ != State::over)
        keep();
    else
        close();
}

void RunnerConnection::keep() {
    ConnectionPool::Endpoint& place = links_.places_[runner_];
    if (!place.open || place.address->text != address_) return close();
    state_ = State::idle;
    begun_ = false;
    used_ = true;
    // Closed before the runner would: a request that crosses its close counts as one that may have run.
    limit_.set(net::Loop::now() + links_.upkeep_.keep_idle);
    place.idle.push_back(this);
}

// The one end of an errand or probe; what still comes on the connection is only read to its end.
void RunnerConnection::settle(net::CloseReason ending, Report&& report, std::string&& result) {
    if (!busy()) return;
    if (net::is_request_written(ending)) on_all_written();  // where its end is read before the loop says so
    const bool probe = state_ == State::probe;
    state_ = State::finishing;
    limit_.set(net::Loop::now() + kFinishing);
    const Micros elapsed = net::Loop::now() - since_;
    if (probe) return links_.sender_.probe_ended(runner_, ending, elapsed, std::move(report));
    links_.out_.erase({errand_.task, errand_.number});
    links_.sender_.errand_ended(
        {errand_.task, errand_.number, runner_, ending, elapsed, std::move(report), std::move(result)});
}

void RunnerConnection::stop(net::CloseReason sent, net::CloseReason unsent) {
    if (!busy()) return;
    const bool all_out = begun_ && !connection_.has_unsent_bytes();
    settle(all_out ? sent : unsent);
    close();
}

void RunnerConnection::stop_by(Micros at) {
    if (state_ != State::errand || errand_.stop_at <= at) return;
    errand_.stop_at = at;
    limit_.set(at);
}

void RunnerConnection::close() {
    if (state_ == State::over) return;
    if (state_ == State::idle) links_.forget_idle(*this);
    settle(net::CloseReason::closed);
    state_ = State::over;
    limit_.cancel();
    connection_.close();
    reader_.restart();
    line_.clear();
    links_.ended_.push_back(this);
}

void RunnerConnection::on_closed(net::CloseReason ending) {
    if (!begun_ && busy() && up_) ending = net::CloseReason::broken_unsent;
    // An answer that goes on until the connection closes ends properly by that.
    if (ending == net::CloseReason::ended_early && state_ == State::errand &&
        reader_.is_complete_at_close()) {
        const std::string text = line_.to_string();
        if (reader_.head().status != 200)
            settle(by_status(), std::move(report_));
        else if (!text.empty())
            heed_line(text);
    }
    if ((ending == net::CloseReason::ended_early || ending == net::CloseReason::broken) && used_ &&
        !answered_)
        ending = net::CloseReason::stale_connection;
    // Where one connection broke, or none could be made, those that are kept are no surer.
    if (busy()) links_.close_idle(runner_);
    if (state_ == State::probe && used_ && !answered_ && links_.places_[runner_].open) {
        // Against a break that tells of an old connection and not of the runner: a probe does no harm twice.
        state_ = State::finishing;
        links_.probe(runner_);
    }
    settle(ending);
    close();
}

}  // namespace gannethold::runners
