#include "sim_protocol/sim_protocol.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "settings/settings_format.hpp"

namespace gannethold::sim_protocol {
namespace {

// Reads big-endian values from a frame. Throws BadFrame at the position in the whole stream.
class Cursor {
  public:
    Cursor(std::string_view bytes, std::size_t stream_at) : bytes_(bytes), base_(stream_at) {}

    std::size_t at() const { return base_ + next_; }
    bool is_at_end() const { return next_ == bytes_.size(); }

    std::uint64_t number(std::size_t width) {
        std::uint64_t value = 0;
        for (unsigned char c : take(width)) value = value << 8 | c;
        return value;
    }
    double real() { return std::bit_cast<float>(static_cast<std::uint32_t>(number(4))); }
    std::string_view text(std::size_t count_width) { return take(number(count_width)); }
    std::size_t count(std::size_t count_width, std::size_t entry_width) {
        const std::size_t start = at();
        const std::size_t count = number(count_width);
        if (count * entry_width > bytes_.size() - next_) throw BadFrame("count overruns the frame", start);
        return count;
    }

  private:
    std::string_view take(std::size_t length) {
        if (length > bytes_.size() - next_) throw BadFrame("record cut short by the end of the frame", at());
        next_ += length;
        return bytes_.substr(next_ - length, length);
    }

    std::string_view bytes_;
    std::size_t base_;
    std::size_t next_ = 0;
};

template <class Id>
Id id(Cursor& in, std::size_t width) {
    return static_cast<Id>(in.number(width));
}

Micros micros(Cursor& in, std::size_t width) { return static_cast<Micros>(in.number(width)); }

Report report(Cursor& in) {
    Report values(in.count(1, 4));
    for (double& value : values) value = in.real();
    return values;
}

Outcome outcome(Cursor& in) {
    const std::size_t start = in.at();
    switch (in.number(2)) {
        case 0:
            return Outcome::finished;
        case 5:
            return Outcome::error;
        case 11:
            return Outcome::full;
        case 110:
            return Outcome::timed_out;
        case 111:
            return Outcome::connect_failed;
        case 104:
            return Outcome::reset;
        case 125:
            return Outcome::withdrawn;
        case 114:
            return Outcome::not_started;
        default:
            throw BadFrame("unknown outcome", start);
    }
}

MembershipUpdate membership_update(Cursor& in) {
    const std::size_t start = in.at();
    MembershipUpdate update{};
    switch (in.number(1)) {
        case 0:
            update.scope = UpdateScope::failed;
            break;
        case 1:
            update.scope = UpdateScope::complete;
            break;
        case 3:
            update.scope = UpdateScope::cached;
            break;
        case 4:
            update.scope = UpdateScope::delta;
            break;
        default:
            throw BadFrame("unknown kind of list", start);
    }
    update.version = static_cast<std::uint32_t>(in.number(4));
    update.entries.resize(in.count(4, 21));
    for (EndpointEntry& entry : update.entries) {
        entry.runner = id<RunnerId>(in, 4);
        entry.zone = id<ZoneId>(in, 1);
        entry.instance_type = id<InstanceTypeId>(in, 1);
        entry.group = id<GroupId>(in, 2);
        const std::size_t state_at = in.at();
        const auto state = in.number(1);
        if (state > 2) throw BadFrame("unknown runner state", state_at);
        entry.state = state == 2   ? RunnerState::ready
                      : state == 1 ? RunnerState::draining
                                   : RunnerState::gone;
        entry.weight = in.real();
        entry.started_at = micros(in, 8);
    }
    return update;
}

TaskArrived arrival(Cursor& in) {
    TaskArrived task_arrived;
    task_arrived.task = id<TaskId>(in, 8);
    task_arrived.workload = id<WorkloadId>(in, 1);
    task_arrived.customer = id<CustomerId>(in, 4);
    task_arrived.key = in.number(8);
    task_arrived.expiry = micros(in, 8);
    task_arrived.cost_hint = micros(in, 4);
    task_arrived.slots = in.real();
    task_arrived.memory = in.real();
    const auto flags = in.number(1);
    task_arrived.hint_valid = flags & 1;
    task_arrived.client_retry = flags & 2;
    task_arrived.write = flags & 4;
    task_arrived.after_disconnect = flags & 16;
    return task_arrived;
}

AssignmentEnded ending(Cursor& in) {
    AssignmentEnded ended;
    ended.task = id<TaskId>(in, 8);
    ended.task_answered = in.number(1) != 0;
    ended.detail = static_cast<std::uint32_t>(in.number(4));
    ended.elapsed = micros(in, 4);
    ended.runner = id<RunnerId>(in, 4);
    ended.assignment = static_cast<int>(in.number(1));
    ended.outcome = outcome(in);
    ended.report = report(in);
    return ended;
}

StreamBegun stream_begun(Cursor& in) {
    StreamBegun stream;
    stream.task = id<TaskId>(in, 8);
    stream.assignment = static_cast<int>(in.number(1));
    stream.runner = id<RunnerId>(in, 4);
    stream.elapsed = micros(in, 4);
    return stream;
}

ProbeEnded probe_ended(Cursor& in) {
    ProbeEnded probe;
    probe.runner = id<RunnerId>(in, 4);
    probe.outcome = outcome(in);
    probe.elapsed = micros(in, 4);
    probe.report = report(in);
    return probe;
}

Progress progress(Cursor& in) {
    Progress progress_event;
    progress_event.task = id<TaskId>(in, 8);
    progress_event.done = in.real();
    progress_event.runner = id<RunnerId>(in, 4);
    progress_event.assignment = static_cast<int>(in.number(1));
    progress_event.stage = in.number(1) == 1 ? Stage::begun : Stage::progress;
    return progress_event;
}

std::variant<Created, Killed, Event> record(std::uint64_t code, std::size_t start, Cursor& in) {
    switch (code) {
        case 10: {
            const auto seed = in.number(8);
            return Created{seed, settings::parse_settings(in.text(4))};
        }
        case 20:
            return Event{membership_update(in)};
        case 30:
            return Event{arrival(in)};
        case 40:
            return Event{stream_begun(in)};
        case 50:
            return Event{ending(in)};
        case 60:
            return Event{ClientDisconnected{id<TaskId>(in, 8)}};
        case 70:
            return Event{TimerFired{id<TimerId>(in, 8)}};
        case 80:
            return Event{probe_ended(in)};
        case 90: {
            const auto from = id<PeerId>(in, 4);
            return Event{PeerMessage{from, std::string(in.text(2))}};
        }
        case 100:
            return Killed{};
        case 110:
            return Event{progress(in)};
        default:
            throw BadFrame("unknown record code " + std::to_string(code), start);
    }
}

template <class... Ts>
struct Match : Ts... {
    using Ts::operator()...;
};

// Appends a value in big-endian order.
void put(std::string& out, std::uint64_t value, std::size_t width) {
    while (width--) out.push_back(static_cast<char>(value >> (8 * width)));
}

// Appends a text with its length, cut to 65535 bytes.
void put_text(std::string& out, std::string_view text) {
    const auto length = std::min<std::size_t>(text.size(), 0xffff);
    put(out, length, 2);
    out.append(text.substr(0, length));
}

template <class Id>
std::uint64_t raw(Id id) {
    return static_cast<std::uint64_t>(id);
}

constexpr std::uint64_t kAllPeers = 0xffff;

}  // namespace

Header read_header(std::string_view bytes, std::size_t stream_at) {
    Cursor in(bytes, stream_at);
    Header header{};
    header.now = micros(in, 8);
    header.length = static_cast<std::uint32_t>(in.number(4));
    header.records = static_cast<std::uint32_t>(in.number(4));
    return header;
}

Batch read_batch(const Header& header, std::string_view body, std::size_t stream_at) {
    Cursor in(body, stream_at);
    Batch batch;
    batch.now = header.now;
    bool has_instance = false;
    InstanceId instance{};
    for (std::uint32_t i = 0; i < header.records; ++i) {
        const std::size_t start = in.at();
        const auto code = in.number(1);
        if (code == 120) {
            instance = id<InstanceId>(in, 2);
            has_instance = true;
            continue;
        }
        if (!has_instance) throw BadFrame("record before any instance is named", start);
        batch.records.push_back({instance, start, record(code, start, in)});
    }
    if (!in.is_at_end()) throw BadFrame("bytes left over after the last record", in.at());
    return batch;
}

void ReplyWriter::instance(InstanceId instance) {
    put(body_, 130, 1);
    put(body_, raw(instance), 2);
}

void ReplyWriter::action(const Action& action) {
    std::string& out = body_;
    std::visit(
        Match{[&](const Assign& a) {
                  put(out, 10, 1), put(out, raw(a.task), 8), put(out, raw(a.runner), 4);
                  put(out, static_cast<std::uint64_t>(a.deadline), 8);
              },
              [&](const Bounce& a) {
                  put(out, 20, 1), put(out, raw(a.task), 8);
                  put(out, static_cast<std::uint64_t>(a.retry_after), 4);
              },
              [&](const Abandon& a) { put(out, 30, 1), put(out, raw(a.task), 8); },
              [&](const Withdraw& a) {
                  put(out, 40, 1), put(out, raw(a.task), 8);
                  put(out, static_cast<std::uint64_t>(a.assignment), 1);
              },
              [&](const WakeAt& a) {
                  put(out, 50, 1), put(out, static_cast<std::uint64_t>(a.at), 8), put(out, raw(a.timer), 8);
              },
              [&](const Probe& a) { put(out, 60, 1), put(out, raw(a.runner), 4); },
              [&](const CloseIdle& a) { put(out, 70, 1), put(out, raw(a.runner), 4); },
              [&](const BroadcastToPeers& a) {
                  put(out, 80, 1), put(out, kAllPeers, 2), put_text(out, a.payload);
              },
              [&](const SendToPeer& a) { put(out, 80, 1), put(out, raw(a.to), 2), put_text(out, a.payload); },
              [&](const LogLine& a) { put(out, 90, 1), put_text(out, a.text); },
              [&](const WatchMembership& a) { put(out, 110, 1), put(out, a.on, 1); },
              [&](const FetchMembership&) { put(out, 120, 1); }},
        action);
}

void ReplyWriter::failure(const std::string& text) {
    put(body_, 100, 1);
    put_text(body_, text);
}

std::string ReplyWriter::frame() const {
    std::string framed;
    put(framed, body_.size(), 4);
    return framed + body_;
}

}  // namespace gannethold::sim_protocol
