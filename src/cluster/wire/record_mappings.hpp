// Mappings of the stored records, and of the structures that messages and records share.
#pragma once

#include "cluster.capnp.h"
#include "cluster/wire/field_mapping.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster::mapping {

template <>
struct Mapping<LogPosition> {
    using Reader = capnproto::LogPosition::Reader;
    using Builder = capnproto::LogPosition::Builder;
    using Fields = FieldList<Field<&LogPosition::term, &Reader::getTerm, &Builder::setTerm>,
                             Field<&LogPosition::index, &Reader::getIndex, &Builder::setIndex>>;
};

template <>
struct Mapping<ConfirmedVersion> {
    using Reader = capnproto::ConfirmedVersion::Reader;
    using Builder = capnproto::ConfirmedVersion::Builder;
    using Fields = FieldList<Field<&ConfirmedVersion::version, &Reader::getVersion, &Builder::setVersion>,
                             Field<&ConfirmedVersion::digest, &Reader::getDigest, &Builder::setDigest>,
                             Field<&ConfirmedVersion::index, &Reader::getIndex, &Builder::setIndex>>;
};

template <>
struct Mapping<LogEntry> {
    using Reader = capnproto::EntryRecord::Reader;
    using Builder = capnproto::EntryRecord::Builder;
    using Fields = FieldList<
        Field<&LogEntry::position, &Reader::getPosition, &Builder::initPosition>,
        Field<&LogEntry::version, &Reader::getVersion, &Builder::setVersion>,
        Field<&LogEntry::members, &Reader::getMembers, &Builder::initMembers>,
        Field<&LogEntry::outgoing_members, &Reader::getOutgoingMembers, &Builder::initOutgoingMembers>,
        Field<&LogEntry::confirmed, &Reader::getConfirmed, &Builder::initConfirmed>,
        Field<&LogEntry::body, &Reader::getBody, &Builder::setBody>>;
};

// The position is not encoded here: the chunks that carry a payload contain it.
template <>
struct Mapping<EntryPayload> {
    using Reader = capnproto::EntryRecord::Reader;
    using Builder = capnproto::EntryRecord::Builder;
    using Fields = FieldList<
        EmptyField<&Builder::initPosition>,
        Field<&EntryPayload::version, &Reader::getVersion, &Builder::setVersion>,
        Field<&EntryPayload::members, &Reader::getMembers, &Builder::initMembers>,
        Field<&EntryPayload::outgoing_members, &Reader::getOutgoingMembers, &Builder::initOutgoingMembers>,
        Field<&EntryPayload::confirmed, &Reader::getConfirmed, &Builder::initConfirmed>,
        Field<&EntryPayload::body_delta, &Reader::getBody, &Builder::setBody>>;
};

template <>
struct Mapping<VotingState> {
    using Reader = capnproto::VotingStateRecord::Reader;
    using Builder = capnproto::VotingStateRecord::Builder;
    using Fields = FieldList<
        Field<&VotingState::is_member, &Reader::getIsMember, &Builder::setIsMember>,
        Field<&VotingState::term, &Reader::getTerm, &Builder::setTerm>,
        Field<&VotingState::voted_for, &Reader::getVotedFor, &Builder::setVotedFor>,
        Field<&VotingState::no_vote_through, &Reader::getNoVoteThrough, &Builder::setNoVoteThrough>,
        Field<&VotingState::pre_voted_through, &Reader::getPreVotedThrough, &Builder::setPreVotedThrough>,
        Field<&VotingState::last_leader, &Reader::getLastLeader, &Builder::setLastLeader>>;
};

}  // namespace gannethold::cluster::mapping
