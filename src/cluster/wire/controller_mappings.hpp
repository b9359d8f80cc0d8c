// Mappings of the messages between controllers, and of the heartbeat that all connections use.
//
// In addition to Reader, Builder and Fields, the mapping of a message has kTag, the message's member in the
// union of Envelope, and reader() and builder(), which select that member.
#pragma once

#include "cluster.capnp.h"
#include "cluster/wire/field_mapping.hpp"
#include "cluster/wire/messages.hpp"
#include "cluster/wire/record_mappings.hpp"

namespace gannethold::cluster::mapping {

// Encodes and decodes a message without fields.
template <auto Set>
struct Marker {
    template <class Value>
    static void encode(const Value&, capnproto::Envelope::Builder& to) {
        (to.*Set)(capnp::VOID);
    }
    template <class Value>
    [[nodiscard]] static bool decode(Value&, const capnproto::Envelope::Reader&) {
        return true;
    }
};

template <>
struct Mapping<VoteRequest> {
    static constexpr auto kTag = capnproto::Envelope::VOTE_REQUEST;
    using Reader = capnproto::Envelope::VoteRequest::Reader;
    using Builder = capnproto::Envelope::VoteRequest::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getVoteRequest(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initVoteRequest(); }
    using Fields = FieldList<Field<&VoteRequest::term, &Reader::getTerm, &Builder::setTerm>,
                             Field<&VoteRequest::last_entry, &Reader::getLastEntry, &Builder::initLastEntry>,
                             Field<&VoteRequest::pre_vote, &Reader::getPreVote, &Builder::setPreVote>,
                             Field<&VoteRequest::leadership_transfer, &Reader::getLeadershipTransfer,
                                   &Builder::setLeadershipTransfer>>;
};

template <>
struct Mapping<VoteResponse> {
    static constexpr auto kTag = capnproto::Envelope::VOTE_RESPONSE;
    using Reader = capnproto::Envelope::VoteResponse::Reader;
    using Builder = capnproto::Envelope::VoteResponse::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getVoteResponse(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initVoteResponse(); }
    using Fields = FieldList<
        Field<&VoteResponse::term, &Reader::getTerm, &Builder::setTerm>,
        Field<&VoteResponse::granted, &Reader::getGranted, &Builder::setGranted>,
        Field<&VoteResponse::pre_vote, &Reader::getPreVote, &Builder::setPreVote>,
        Field<&VoteResponse::no_vote_through, &Reader::getNoVoteThrough, &Builder::setNoVoteThrough>>;
};

template <>
struct Mapping<AppendRequest> {
    static constexpr auto kTag = capnproto::Envelope::APPEND_REQUEST;
    using Reader = capnproto::Envelope::AppendRequest::Reader;
    using Builder = capnproto::Envelope::AppendRequest::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getAppendRequest(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initAppendRequest(); }
    using Fields =
        FieldList<Field<&AppendRequest::term, &Reader::getTerm, &Builder::setTerm>,
                  Field<&AppendRequest::round, &Reader::getRound, &Builder::setRound>,
                  Field<&AppendRequest::last_entry, &Reader::getLastEntry, &Builder::initLastEntry>,
                  Field<&AppendRequest::committed, &Reader::getCommitted, &Builder::initCommitted>>;
};

template <>
struct Mapping<EntryChunk> {
    static constexpr auto kTag = capnproto::Envelope::ENTRY_CHUNK;
    using Reader = capnproto::Envelope::EntryChunk::Reader;
    using Builder = capnproto::Envelope::EntryChunk::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getEntryChunk(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initEntryChunk(); }
    using Fields = FieldList<Field<&EntryChunk::term, &Reader::getTerm, &Builder::setTerm>,
                             Field<&EntryChunk::round, &Reader::getRound, &Builder::setRound>,
                             Field<&EntryChunk::position, &Reader::getPosition, &Builder::initPosition>,
                             Field<&EntryChunk::base, &Reader::getBase, &Builder::initBase>,
                             Field<&EntryChunk::offset, &Reader::getOffset, &Builder::setOffset>,
                             Field<&EntryChunk::total_bytes, &Reader::getTotalBytes, &Builder::setTotalBytes>,
                             Field<&EntryChunk::bytes, &Reader::getBytes, &Builder::setBytes>>;
};

template <>
struct Mapping<AppendResponse> {
    static constexpr auto kTag = capnproto::Envelope::APPEND_RESPONSE;
    using Reader = capnproto::Envelope::AppendResponse::Reader;
    using Builder = capnproto::Envelope::AppendResponse::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getAppendResponse(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initAppendResponse(); }
    using Fields = FieldList<
        Field<&AppendResponse::term, &Reader::getTerm, &Builder::setTerm>,
        Field<&AppendResponse::round, &Reader::getRound, &Builder::setRound>,
        Field<&AppendResponse::last_entry, &Reader::getLastEntry, &Builder::initLastEntry>,
        Field<&AppendResponse::receiving, &Reader::getReceiving, &Builder::initReceiving>,
        Field<&AppendResponse::received_bytes, &Reader::getReceivedBytes, &Builder::setReceivedBytes>,
        Field<&AppendResponse::leaving, &Reader::getLeaving, &Builder::setLeaving>>;
};

template <>
struct Mapping<RecoveryRequest> {
    static constexpr auto kTag = capnproto::Envelope::RECOVERY_REQUEST;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields =
        FieldList<Field<&RecoveryRequest::nonce, &Reader::getRecoveryRequest, &Builder::setRecoveryRequest>>;
};

template <>
struct Mapping<RecoveryResponse> {
    static constexpr auto kTag = capnproto::Envelope::RECOVERY_RESPONSE;
    using Reader = capnproto::Envelope::RecoveryResponse::Reader;
    using Builder = capnproto::Envelope::RecoveryResponse::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getRecoveryResponse(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initRecoveryResponse(); }
    using Fields =
        FieldList<Field<&RecoveryResponse::nonce, &Reader::getNonce, &Builder::setNonce>,
                  Field<&RecoveryResponse::term, &Reader::getTerm, &Builder::setTerm>,
                  Field<&RecoveryResponse::pre_voted_through, &Reader::getPreVotedThrough,
                        &Builder::setPreVotedThrough>,
                  Field<&RecoveryResponse::leader, &Reader::getLeader, &Builder::setLeader>,
                  Field<&RecoveryResponse::last_entry, &Reader::getLastEntry, &Builder::initLastEntry>,
                  Field<&RecoveryResponse::members, &Reader::getMembers, &Builder::initMembers>,
                  Field<&RecoveryResponse::outgoing_members, &Reader::getOutgoingMembers,
                        &Builder::initOutgoingMembers>>;
};

template <>
struct Mapping<JoinRequest> {
    static constexpr auto kTag = capnproto::Envelope::JOIN_REQUEST;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<Marker<&Builder::setJoinRequest>>;
};

template <>
struct Mapping<TimeoutNow> {
    static constexpr auto kTag = capnproto::Envelope::TIMEOUT_NOW;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<Field<&TimeoutNow::term, &Reader::getTimeoutNow, &Builder::setTimeoutNow>>;
};

template <>
struct Mapping<LeaveRequest> {
    static constexpr auto kTag = capnproto::Envelope::LEAVE_REQUEST;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<Marker<&Builder::setLeaveRequest>>;
};

template <>
struct Mapping<LeaveResponse> {
    static constexpr auto kTag = capnproto::Envelope::LEAVE_RESPONSE;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields =
        FieldList<Field<&LeaveResponse::term, &Reader::getLeaveResponse, &Builder::setLeaveResponse>>;
};

template <>
struct Mapping<Heartbeat> {
    static constexpr auto kTag = capnproto::Envelope::HEARTBEAT;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<Marker<&Builder::setHeartbeat>>;
};

}  // namespace gannethold::cluster::mapping
