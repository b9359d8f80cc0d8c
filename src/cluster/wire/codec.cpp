#include "cluster/wire/codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include "cluster.capnp.h"

namespace gannethold::cluster {
namespace {

// A value of a later version counts as none.
// LoadReport of functions, in a report and in a registration.
template <class List>
void put_loads(List all, const std::vector<Load>& loads) {
    for (unsigned i = 0; i < loads.size(); ++i)
        all[i].setService(loads[i].service), all[i].setCount(loads[i].count),
            all[i].setBusyMs(loads[i].busy_ms);
}

template <class List>
std::vector<Load> get_loads(const List& all) {
    std::vector<Load> loads;
    for (const auto l : all) loads.push_back({l.getService().cStr(), l.getCount(), l.getBusyMs()});
    return loads;
}

WaitReason waited_for(std::uint8_t value) {
    return value <= static_cast<std::uint8_t>(WaitReason::memory) ? static_cast<WaitReason>(value)
                                                                  : WaitReason::nothing;
}

namespace cp = capnproto;

void put(cp::LogPosition::Builder to, const LogPosition& s) {
    to.setTerm(s.term);
    to.setIndex(s.index);
}
LogPosition get(cp::LogPosition::Reader s) { return {s.getTerm(), s.getIndex()}; }
capnp::Data::Reader data(const std::string& bytes) {
    return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}
std::string text(capnp::Data::Reader d) { return {reinterpret_cast<const char*>(d.begin()), d.size()}; }
std::string text(capnp::Text::Reader t) { return {t.begin(), t.size()}; }
void put(cp::Delta::Builder to, const Delta& p) {
    to.setBase(p.base);
    to.setBytes(data(p.bytes));
}
Delta get(cp::Delta::Reader p) { return {p.getBase(), text(p.getBytes())}; }

template <class List>
void put_all(List to, const std::vector<std::string>& from) {
    for (unsigned i = 0; i < from.size(); ++i) to.set(i, from[i]);
}
std::vector<std::string> get_all(capnp::List<capnp::Text>::Reader from) {
    std::vector<std::string> all;
    for (const auto one : from) all.push_back(text(one));
    return all;
}

void put(cp::Runner::Builder to, const RunnerInfo& h) {
    to.setRunner(h.runner);
    to.setService(h.service);
    to.setAddress(h.address);
    to.setZone(h.zone);
    to.setWorker(h.worker);
    to.setSlots(h.slots);
    to.setOut(h.out);
    to.setUp(h.up);
}
RunnerInfo get(cp::Runner::Reader r) {
    return {text(r.getRunner()), text(r.getService()), text(r.getAddress()), text(r.getZone()),
            text(r.getWorker()), r.getSlots(),         r.getOut(),           r.getUp()};
}

struct Put {
    cp::Envelope::Builder e;

    void operator()(const Heartbeat&) { e.setHeartbeat(); }
    void operator()(const VoteRequest& m) {
        auto to = e.initVoteRequest();
        to.setTerm(m.term);
        put(to.initHeld(), m.held);
        to.setPreVote(m.pre_vote);
        to.setLeaderHandsOver(m.leader_hands_over);
    }
    void operator()(const VoteResponse& m) {
        auto to = e.initVoteResponse();
        to.setTerm(m.term);
        to.setGranted(m.granted);
        to.setPreVote(m.pre_vote);
        to.setNoVoteThrough(m.no_vote_through);
    }
    void operator()(const AppendRequest& m) {
        auto to = e.initAppendRequest();
        to.setTerm(m.term);
        to.setRound(m.round);
        put(to.initHead(), m.head);
        put(to.initCommitted(), m.committed);
    }
    void operator()(const EntryChunk& m) {
        auto to = e.initEntryChunk();
        to.setTerm(m.term);
        to.setRound(m.round);
        put(to.initPosition(), m.position);
        put(to.initBase(), m.base);
        to.setOffset(m.offset);
        to.setTotal(m.total);
        to.setBytes(data(m.bytes));
    }
    void operator()(const AppendResponse& m) {
        auto to = e.initAppendResponse();
        to.setTerm(m.term);
        to.setRound(m.round);
        put(to.initHeld(), m.held);
        put(to.initReceiving(), m.receiving);
        to.setReceived(m.received);
        to.setLeaving(m.leaving);
    }
    void operator()(const RecoveryRequest& m) { e.setRecoveryRequest(m.nonce); }
    void operator()(const RecoveryResponse& m) {
        auto to = e.initRecoveryResponse();
        to.setNonce(m.nonce);
        to.setTerm(m.term);
        to.setPreVotedThrough(m.pre_voted_through);
        to.setLeader(m.leader);
        put(to.initHeld(), m.held);
        put_all(to.initMembers(static_cast<unsigned>(m.members.size())), m.members);
        put_all(to.initOutgoingMembers(static_cast<unsigned>(m.outgoing_members.size())), m.outgoing_members);
    }
    void operator()(const LeaveRequest&) { e.setLeaveRequest(); }
    void operator()(const LeaveResponse& m) { e.setLeaveResponse(m.term); }
    void operator()(const JoinRequest&) { e.setJoinRequest(); }
    void operator()(const TimeoutNow& m) { e.setTimeoutNow(m.term); }
    void operator()(const Register& m) {
        auto to = e.initRegister();
        to.setName(m.name);
        to.setZone(m.zone);
        to.setIncarnation(m.incarnation);
        to.setVersion(m.version);
        auto all = to.initHoldings(static_cast<unsigned>(m.runners.size()));
        for (unsigned i = 0; i < m.runners.size(); ++i) put(all[i], m.runners[i]);
        put_loads(to.initUnrestricted(static_cast<unsigned>(m.unrestricted.size())), m.unrestricted);
    }
    void operator()(const Redirect& m) { e.setRedirect(m.leader); }
    void operator()(const Registered& m) {
        auto to = e.initRegistered();
        to.setTerm(m.term);
        to.setRank(m.rank);
        to.setFronts(m.fronts);
        put_all(to.initMembers(static_cast<unsigned>(m.members.size())), m.members);
    }
    void operator()(const ConfigurationSent& m) {
        auto to = e.initConfigurationSent();
        to.setVersion(m.version);
        put(to.initDelta(), m.delta);
    }
    void operator()(const ConfigurationHeld& m) { e.setConfigurationHeld(m.version); }
    void operator()(const RunnerUpdate& m) {
        auto to = e.initRunnerTold();
        to.setNumber(m.number);
        to.setState(static_cast<std::uint8_t>(m.state));
        to.setWatch(m.watch);
        if (m.state != RunnerState::gone) put(to.initRunner(), m.runner);
    }
    void operator()(const AcquireRequest& m) {
        auto to = e.initAcquireRequest();
        to.setId(m.id);
        to.setDrawn(m.drawn);
        to.setService(m.service);
        to.setAimMs(m.latency_target_ms);
        to.setDeadlineMs(m.deadline_ms);
        to.setPriority(m.priority);
        to.setShape(m.shape);

        to.setAgain(m.again);
    }
    void operator()(const AcquireGranted& m) {
        auto to = e.initAcquireGranted();
        to.setId(m.id);
        to.setRunner(m.runner);
        to.setWaited(static_cast<std::uint8_t>(m.waited));
    }
    void operator()(const AcquireDenied& m) {
        auto to = e.initAcquireDenied();
        to.setId(m.id);
        to.setRetryMs(m.retry_ms);
        to.setWaited(static_cast<std::uint8_t>(m.waited));
    }
    void operator()(const Release& m) {
        auto to = e.initRelease();
        to.setId(m.id);
        to.setRunner(m.runner);
        to.setHow(static_cast<std::uint8_t>(m.how));

        to.setTookMs(m.took_ms);
    }
    void operator()(const RunnerReachable& m) {
        auto to = e.initRunnerReachable();
        to.setRunner(m.runner);
        to.setUp(m.up);
    }
    void operator()(const FunctionMode& m) {
        auto to = e.initMode();
        to.setService(m.service);
        to.setUnrestricted(m.unrestricted);
    }
    void operator()(const LoadReport& m) {
        auto to = e.initLoadReport();
        to.setSpanMs(m.span_ms);
        put_loads(to.initLoads(static_cast<unsigned>(m.loads.size())), m.loads);
    }
    void operator()(const OutstandingReport& m) {
        auto all = e.initOutstandingReport(static_cast<unsigned>(m.by_runner.size()));
        for (unsigned i = 0; i < m.by_runner.size(); ++i) {
            all[i].setRunner(m.by_runner[i].first);
            all[i].setCount(m.by_runner[i].second);
        }
    }
};

leaf::result<Message> get(cp::Envelope::Reader e) {
    using E = cp::Envelope;
    switch (e.which()) {
        case E::HEARTBEAT:
            return Heartbeat{};
        case E::VOTE_REQUEST: {
            const auto m = e.getVoteRequest();
            return VoteRequest{m.getTerm(), get(m.getHeld()), m.getPreVote(), m.getLeaderHandsOver()};
        }
        case E::VOTE_RESPONSE: {
            const auto m = e.getVoteResponse();
            return VoteResponse{m.getTerm(), m.getGranted(), m.getPreVote(), m.getNoVoteThrough()};
        }
        case E::APPEND_REQUEST: {
            const auto m = e.getAppendRequest();
            return AppendRequest{m.getTerm(), m.getRound(), get(m.getHead()), get(m.getCommitted())};
        }
        case E::ENTRY_CHUNK: {
            const auto m = e.getEntryChunk();
            return EntryChunk{m.getTerm(),   m.getRound(), get(m.getPosition()), get(m.getBase()),
                              m.getOffset(), m.getTotal(), text(m.getBytes())};
        }
        case E::APPEND_RESPONSE: {
            const auto m = e.getAppendResponse();
            return AppendResponse{m.getTerm(),           m.getRound(),    get(m.getHeld()),
                                  get(m.getReceiving()), m.getReceived(), m.getLeaving()};
        }
        case E::RECOVERY_REQUEST:
            return RecoveryRequest{e.getRecoveryRequest()};
        case E::RECOVERY_RESPONSE: {
            const auto m = e.getRecoveryResponse();
            return RecoveryResponse{m.getNonce(),
                                    m.getTerm(),
                                    m.getPreVotedThrough(),
                                    text(m.getLeader()),
                                    get(m.getHeld()),
                                    get_all(m.getMembers()),
                                    get_all(m.getOutgoingMembers())};
        }
        case E::LEAVE_REQUEST:
            return LeaveRequest{};
        case E::LEAVE_RESPONSE:
            return LeaveResponse{e.getLeaveResponse()};
        case E::JOIN_REQUEST:
            return JoinRequest{};
        case E::TIMEOUT_NOW:
            return TimeoutNow{e.getTimeoutNow()};
        case E::REGISTER: {
            const auto m = e.getRegister();
            Register to{text(m.getName()), text(m.getZone()), m.getIncarnation(), m.getVersion(), {}, {}};
            for (const auto h : m.getHoldings()) to.runners.push_back(get(h));
            to.unrestricted = get_loads(m.getUnrestricted());
            return to;
        }
        case E::REDIRECT:
            return Redirect{text(e.getRedirect())};
        case E::REGISTERED: {
            const auto m = e.getRegistered();
            return Registered{m.getTerm(), m.getRank(), m.getFronts(), get_all(m.getMembers())};
        }
        case E::CONFIGURATION_SENT: {
            const auto m = e.getConfigurationSent();
            return ConfigurationSent{m.getVersion(), get(m.getDelta())};
        }
        case E::CONFIGURATION_HELD:
            return ConfigurationHeld{e.getConfigurationHeld()};
        case E::RUNNER_TOLD: {
            const auto m = e.getRunnerTold();
            if (m.getState() > static_cast<std::uint8_t>(RunnerState::gone)) break;
            return RunnerUpdate{m.getNumber(), static_cast<RunnerState>(m.getState()), get(m.getRunner()),
                                m.getWatch()};
        }
        case E::ACQUIRE_REQUEST: {
            const auto m = e.getAcquireRequest();
            return AcquireRequest{m.getId(),         m.getDrawn(),    text(m.getService()), m.getAimMs(),
                                  m.getDeadlineMs(), m.getPriority(), m.getShape(),         m.getAgain()};
        }
        case E::ACQUIRE_GRANTED:
            return AcquireGranted{e.getAcquireGranted().getId(), e.getAcquireGranted().getRunner(),
                                  waited_for(e.getAcquireGranted().getWaited())};
        case E::ACQUIRE_DENIED:
            return AcquireDenied{e.getAcquireDenied().getId(), e.getAcquireDenied().getRetryMs(),
                                 waited_for(e.getAcquireDenied().getWaited())};
        case E::RELEASE: {
            const auto m = e.getRelease();
            if (m.getHow() > static_cast<std::uint8_t>(ReleaseReason::gone)) break;
            return Release{m.getId(), m.getRunner(), static_cast<ReleaseReason>(m.getHow()), m.getTookMs()};
        }
        case E::MODE:
            return FunctionMode{text(e.getMode().getService()), e.getMode().getUnrestricted()};
        case E::LOAD_REPORT: {
            const auto m = e.getLoadReport();
            return LoadReport{m.getSpanMs(), get_loads(m.getLoads())};
        }
        case E::OUTSTANDING_REPORT: {
            OutstandingReport to;
            for (const auto o : e.getOutstandingReport())
                to.by_runner.emplace_back(o.getRunner(), o.getCount());
            return to;
        }
        case E::RUNNER_REACHABLE:
            return RunnerReachable{e.getRunnerReachable().getRunner(), e.getRunnerReachable().getUp()};
    }
    return make_error(ErrorCode::bytes_malformed, "no message of ours");
}

}  // namespace

std::string encode(const Message& message, std::string_view from) {
    capnp::MallocMessageBuilder builder(64);
    auto envelope = builder.initRoot<cp::Envelope>();
    if (!from.empty()) envelope.setFrom(std::string(from));
    std::visit(Put{envelope}, message);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    const auto length = static_cast<std::uint32_t>(bytes.size());
    std::string framed;
    framed.reserve(length + 4);
    for (int i = 0; i < 4; ++i) framed += static_cast<char>(length >> (8 * i) & 0xff);
    framed.append(reinterpret_cast<const char*>(bytes.begin()), length);
    return framed;
}

namespace {

// The packed bytes of a message that is not framed.
std::string packed(capnp::MessageBuilder& builder) {
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Reads a packed record; read takes its root. Error: bytes_malformed.
template <class Record, class Read>
auto unpacked(std::string_view bytes, const Read& read)
    -> leaf::result<decltype(read(typename Record::Reader()))> {
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in);
        return read(reader.getRoot<Record>());
    } catch (const kj::Exception& wrong) {
        return make_error(ErrorCode::bytes_malformed, wrong.getDescription().cStr());
    }
}

void put_entry(cp::EntryRecord::Builder to, const LogPosition& position, const EntryPayload& payload) {
    put(to.initPosition(), position);
    to.setVersion(payload.version);
    put_all(to.initMembers(static_cast<unsigned>(payload.members.size())), payload.members);
    put_all(to.initOutgoingMembers(static_cast<unsigned>(payload.outgoing_members.size())),
            payload.outgoing_members);
    auto confirmed = to.initConfirmed(static_cast<unsigned>(payload.confirmed.size()));
    for (unsigned i = 0; i < payload.confirmed.size(); ++i) {
        confirmed[i].setVersion(payload.confirmed[i].version);
        confirmed[i].setDigest(payload.confirmed[i].digest);
        confirmed[i].setIndex(payload.confirmed[i].index);
    }
    to.setBody(data(payload.body_delta));
}

EntryPayload get_entry(cp::EntryRecord::Reader from) {
    EntryPayload payload;
    payload.version = from.getVersion();
    payload.members = get_all(from.getMembers());
    payload.outgoing_members = get_all(from.getOutgoingMembers());
    for (const auto one : from.getConfirmed())
        payload.confirmed.push_back({one.getVersion(), one.getDigest(), one.getIndex()});
    payload.body_delta = text(from.getBody());
    return payload;
}

}  // namespace

std::string encode_payload(const EntryPayload& payload) {
    capnp::MallocMessageBuilder builder(64);
    put_entry(builder.initRoot<cp::EntryRecord>(), {}, payload);
    return packed(builder);
}

leaf::result<EntryPayload> decode_payload(std::string_view bytes) {
    return unpacked<cp::EntryRecord>(bytes, [](cp::EntryRecord::Reader from) { return get_entry(from); });
}

std::string encode_entry(const LogEntry& entry) {
    capnp::MallocMessageBuilder builder(64);
    put_entry(builder.initRoot<cp::EntryRecord>(), entry.position,
              {entry.version, entry.members, entry.outgoing_members, entry.confirmed, entry.body});
    return packed(builder);
}

leaf::result<LogEntry> decode_entry(std::string_view bytes) {
    return unpacked<cp::EntryRecord>(bytes, [](cp::EntryRecord::Reader from) {
        EntryPayload payload = get_entry(from);
        return LogEntry{get(from.getPosition()),      payload.version,
                        std::move(payload.members),   std::move(payload.outgoing_members),
                        std::move(payload.confirmed), std::move(payload.body_delta)};
    });
}

std::string encode_promise(const Promise& promise) {
    capnp::MallocMessageBuilder builder(64);
    auto to = builder.initRoot<cp::PromiseRecord>();
    to.setMember(promise.member);
    to.setTerm(promise.term);
    to.setVotedFor(promise.voted_for);
    to.setNoVoteThrough(promise.no_vote_through);
    to.setPreVotedThrough(promise.pre_voted_through);
    to.setLastLeader(promise.last_leader);
    return packed(builder);
}

leaf::result<Promise> decode_promise(std::string_view bytes) {
    return unpacked<cp::PromiseRecord>(bytes, [](cp::PromiseRecord::Reader from) {
        return Promise{from.getMember(),          from.getTerm(),
                       text(from.getVotedFor()),  from.getNoVoteThrough(),
                       from.getPreVotedThrough(), text(from.getLastLeader())};
    });
}

leaf::result<ReceivedMessage> decode(std::string_view packed) {
    try {
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(packed.data()), packed.size()));
        capnp::PackedMessageReader reader(in);
        const auto envelope = reader.getRoot<cp::Envelope>();
        BOOST_LEAF_AUTO(message, get(envelope));
        return ReceivedMessage{text(envelope.getFrom()), std::move(message)};
    } catch (const kj::Exception& wrong) {
        return make_error(ErrorCode::bytes_malformed, wrong.getDescription().cStr());
    }
}

leaf::result<std::optional<std::string_view>> Frames::next() {
    if (read_ > 0) held_.erase(0, std::exchange(read_, 0));
    if (held_.size() < 4) return std::optional<std::string_view>();
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(held_[static_cast<std::size_t>(i)]))
                  << (8 * i);
    if (length > kMost)
        return make_error(ErrorCode::bytes_malformed, "a message of " + std::to_string(length) + " bytes");
    if (held_.size() < 4 + length) return std::optional<std::string_view>();
    read_ = 4 + length;
    return std::optional(std::string_view{held_}.substr(4, length));
}

}  // namespace gannethold::cluster
