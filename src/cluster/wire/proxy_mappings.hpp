// Mappings of the messages between proxies and controllers (controller_mappings.hpp describes their members).
#pragma once

#include <optional>

#include "cluster.capnp.h"
#include "cluster/wire/field_mapping.hpp"
#include "cluster/wire/messages.hpp"
#include "cluster/wire/record_mappings.hpp"

namespace gannethold::cluster::mapping {

template <>
struct Enumeration<RunnerState> {
    static constexpr RunnerState kLast = RunnerState::gone;
    static constexpr std::optional<RunnerState> kUnknown = std::nullopt;
};

// Only shown to operators, so a reason that a later version adds can be read as none.
template <>
struct Enumeration<WaitReason> {
    static constexpr WaitReason kLast = WaitReason::memory;
    static constexpr std::optional<WaitReason> kUnknown = WaitReason::none;
};

template <>
struct Enumeration<ReleaseReason> {
    static constexpr ReleaseReason kLast = ReleaseReason::gone;
    static constexpr std::optional<ReleaseReason> kUnknown = std::nullopt;
};

template <>
struct Mapping<Delta> {
    using Reader = capnproto::Delta::Reader;
    using Builder = capnproto::Delta::Builder;
    using Fields = FieldList<Field<&Delta::base, &Reader::getBase, &Builder::setBase>,
                             Field<&Delta::bytes, &Reader::getBytes, &Builder::setBytes>>;
};

template <>
struct Mapping<RunnerInfo> {
    using Reader = capnproto::RunnerInfo::Reader;
    using Builder = capnproto::RunnerInfo::Builder;
    using Fields =
        FieldList<Field<&RunnerInfo::runner_id, &Reader::getRunnerId, &Builder::setRunnerId>,
                  Field<&RunnerInfo::service, &Reader::getService, &Builder::setService>,
                  Field<&RunnerInfo::address, &Reader::getAddress, &Builder::setAddress>,
                  Field<&RunnerInfo::zone, &Reader::getZone, &Builder::setZone>,
                  Field<&RunnerInfo::worker, &Reader::getWorker, &Builder::setWorker>,
                  Field<&RunnerInfo::slots, &Reader::getSlots, &Builder::setSlots>,
                  Field<&RunnerInfo::outstanding, &Reader::getOutstanding, &Builder::setOutstanding>,
                  Field<&RunnerInfo::reachable, &Reader::getReachable, &Builder::setReachable>>;
};

template <>
struct Mapping<FunctionLoad> {
    using Reader = capnproto::FunctionLoad::Reader;
    using Builder = capnproto::FunctionLoad::Builder;
    using Fields = FieldList<Field<&FunctionLoad::service, &Reader::getService, &Builder::setService>,
                             Field<&FunctionLoad::requests, &Reader::getRequests, &Builder::setRequests>,
                             Field<&FunctionLoad::busy_ms, &Reader::getBusyMs, &Builder::setBusyMs>>;
};

template <>
struct Mapping<OutstandingCount> {
    using Reader = capnproto::OutstandingCount::Reader;
    using Builder = capnproto::OutstandingCount::Builder;
    using Fields = FieldList<Field<&OutstandingCount::runner, &Reader::getRunner, &Builder::setRunner>,
                             Field<&OutstandingCount::requests, &Reader::getRequests, &Builder::setRequests>>;
};

inline bool has_runner(const RunnerUpdate& update) { return update.state != RunnerState::gone; }

template <>
struct Mapping<RegisterRequest> {
    static constexpr auto kTag = capnproto::Envelope::REGISTER_REQUEST;
    using Reader = capnproto::Envelope::RegisterRequest::Reader;
    using Builder = capnproto::Envelope::RegisterRequest::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getRegisterRequest(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initRegisterRequest(); }
    using Fields = FieldList<
        Field<&RegisterRequest::name, &Reader::getName, &Builder::setName>,
        Field<&RegisterRequest::zone, &Reader::getZone, &Builder::setZone>,
        Field<&RegisterRequest::incarnation, &Reader::getIncarnation, &Builder::setIncarnation>,
        Field<&RegisterRequest::configuration_version, &Reader::getConfigurationVersion,
              &Builder::setConfigurationVersion>,
        Field<&RegisterRequest::runners, &Reader::getRunners, &Builder::initRunners>,
        Field<&RegisterRequest::unrestricted, &Reader::getUnrestricted, &Builder::initUnrestricted>>;
};

template <>
struct Mapping<Redirect> {
    static constexpr auto kTag = capnproto::Envelope::REDIRECT;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<Field<&Redirect::leader, &Reader::getRedirect, &Builder::setRedirect>>;
};

template <>
struct Mapping<RegisterResponse> {
    static constexpr auto kTag = capnproto::Envelope::REGISTER_RESPONSE;
    using Reader = capnproto::Envelope::RegisterResponse::Reader;
    using Builder = capnproto::Envelope::RegisterResponse::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getRegisterResponse(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initRegisterResponse(); }
    using Fields = FieldList<Field<&RegisterResponse::term, &Reader::getTerm, &Builder::setTerm>,
                             Field<&RegisterResponse::rank, &Reader::getRank, &Builder::setRank>,
                             Field<&RegisterResponse::proxies, &Reader::getProxies, &Builder::setProxies>,
                             Field<&RegisterResponse::members, &Reader::getMembers, &Builder::initMembers>>;
};

template <>
struct Mapping<ConfigurationUpdate> {
    static constexpr auto kTag = capnproto::Envelope::CONFIGURATION_UPDATE;
    using Reader = capnproto::Envelope::ConfigurationUpdate::Reader;
    using Builder = capnproto::Envelope::ConfigurationUpdate::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getConfigurationUpdate(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initConfigurationUpdate(); }
    using Fields = FieldList<Field<&ConfigurationUpdate::version, &Reader::getVersion, &Builder::setVersion>,
                             Field<&ConfigurationUpdate::delta, &Reader::getDelta, &Builder::initDelta>>;
};

template <>
struct Mapping<ConfigurationAck> {
    static constexpr auto kTag = capnproto::Envelope::CONFIGURATION_ACK;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<
        Field<&ConfigurationAck::version, &Reader::getConfigurationAck, &Builder::setConfigurationAck>>;
};

template <>
struct Mapping<RunnerUpdate> {
    static constexpr auto kTag = capnproto::Envelope::RUNNER_UPDATE;
    using Reader = capnproto::Envelope::RunnerUpdate::Reader;
    using Builder = capnproto::Envelope::RunnerUpdate::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getRunnerUpdate(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initRunnerUpdate(); }
    using Fields = FieldList<
        Field<&RunnerUpdate::number, &Reader::getNumber, &Builder::setNumber>,
        Field<&RunnerUpdate::state, &Reader::getState, &Builder::setState>,
        Field<&RunnerUpdate::watch, &Reader::getWatch, &Builder::setWatch>,
        FieldIf<&has_runner, Field<&RunnerUpdate::runner, &Reader::getRunner, &Builder::initRunner>>>;
};

template <>
struct Mapping<AcquireRequest> {
    static constexpr auto kTag = capnproto::Envelope::ACQUIRE_REQUEST;
    using Reader = capnproto::Envelope::AcquireRequest::Reader;
    using Builder = capnproto::Envelope::AcquireRequest::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getAcquireRequest(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initAcquireRequest(); }
    using Fields = FieldList<
        Field<&AcquireRequest::id, &Reader::getId, &Builder::setId>,
        Field<&AcquireRequest::preferred_runner, &Reader::getPreferredRunner, &Builder::setPreferredRunner>,
        Field<&AcquireRequest::service, &Reader::getService, &Builder::setService>,
        Field<&AcquireRequest::latency_target_ms, &Reader::getLatencyTargetMs, &Builder::setLatencyTargetMs>,
        Field<&AcquireRequest::deadline_ms, &Reader::getDeadlineMs, &Builder::setDeadlineMs>,
        Field<&AcquireRequest::priority, &Reader::getPriority, &Builder::setPriority>,
        Field<&AcquireRequest::request_class, &Reader::getRequestClass, &Builder::setRequestClass>,
        Field<&AcquireRequest::is_retry, &Reader::getIsRetry, &Builder::setIsRetry>>;
};

template <>
struct Mapping<AcquireGranted> {
    static constexpr auto kTag = capnproto::Envelope::ACQUIRE_GRANTED;
    using Reader = capnproto::Envelope::AcquireGranted::Reader;
    using Builder = capnproto::Envelope::AcquireGranted::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getAcquireGranted(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initAcquireGranted(); }
    using Fields =
        FieldList<Field<&AcquireGranted::id, &Reader::getId, &Builder::setId>,
                  Field<&AcquireGranted::runner, &Reader::getRunner, &Builder::setRunner>,
                  Field<&AcquireGranted::wait_reason, &Reader::getWaitReason, &Builder::setWaitReason>>;
};

template <>
struct Mapping<AcquireDenied> {
    static constexpr auto kTag = capnproto::Envelope::ACQUIRE_DENIED;
    using Reader = capnproto::Envelope::AcquireDenied::Reader;
    using Builder = capnproto::Envelope::AcquireDenied::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getAcquireDenied(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initAcquireDenied(); }
    using Fields =
        FieldList<Field<&AcquireDenied::id, &Reader::getId, &Builder::setId>,
                  Field<&AcquireDenied::retry_after_ms, &Reader::getRetryAfterMs, &Builder::setRetryAfterMs>,
                  Field<&AcquireDenied::wait_reason, &Reader::getWaitReason, &Builder::setWaitReason>>;
};

template <>
struct Mapping<Release> {
    static constexpr auto kTag = capnproto::Envelope::RELEASE;
    using Reader = capnproto::Envelope::Release::Reader;
    using Builder = capnproto::Envelope::Release::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getRelease(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initRelease(); }
    using Fields = FieldList<Field<&Release::id, &Reader::getId, &Builder::setId>,
                             Field<&Release::runner, &Reader::getRunner, &Builder::setRunner>,
                             Field<&Release::reason, &Reader::getReason, &Builder::setReason>,
                             Field<&Release::duration_ms, &Reader::getDurationMs, &Builder::setDurationMs>>;
};

template <>
struct Mapping<RunnerReachable> {
    static constexpr auto kTag = capnproto::Envelope::RUNNER_REACHABLE;
    using Reader = capnproto::Envelope::RunnerReachable::Reader;
    using Builder = capnproto::Envelope::RunnerReachable::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getRunnerReachable(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initRunnerReachable(); }
    using Fields =
        FieldList<Field<&RunnerReachable::runner, &Reader::getRunner, &Builder::setRunner>,
                  Field<&RunnerReachable::reachable, &Reader::getReachable, &Builder::setReachable>>;
};

template <>
struct Mapping<FunctionMode> {
    static constexpr auto kTag = capnproto::Envelope::FUNCTION_MODE;
    using Reader = capnproto::Envelope::FunctionMode::Reader;
    using Builder = capnproto::Envelope::FunctionMode::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getFunctionMode(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initFunctionMode(); }
    using Fields = FieldList<
        Field<&FunctionMode::service, &Reader::getService, &Builder::setService>,
        Field<&FunctionMode::unrestricted, &Reader::getUnrestricted, &Builder::setUnrestricted>,
        Field<&FunctionMode::has_spare_slots, &Reader::getHasSpareSlots, &Builder::setHasSpareSlots>>;
};

template <>
struct Mapping<LoadReport> {
    static constexpr auto kTag = capnproto::Envelope::LOAD_REPORT;
    using Reader = capnproto::Envelope::LoadReport::Reader;
    using Builder = capnproto::Envelope::LoadReport::Builder;
    static Reader reader(capnproto::Envelope::Reader from) { return from.getLoadReport(); }
    static Builder builder(capnproto::Envelope::Builder to) { return to.initLoadReport(); }
    using Fields = FieldList<Field<&LoadReport::interval_ms, &Reader::getIntervalMs, &Builder::setIntervalMs>,
                             Field<&LoadReport::loads, &Reader::getLoads, &Builder::initLoads>>;
};

template <>
struct Mapping<OutstandingReport> {
    static constexpr auto kTag = capnproto::Envelope::OUTSTANDING_REPORT;
    using Reader = capnproto::Envelope::Reader;
    using Builder = capnproto::Envelope::Builder;
    static Reader reader(Reader from) { return from; }
    static Builder builder(Builder to) { return to; }
    using Fields = FieldList<
        Field<&OutstandingReport::counts, &Reader::getOutstandingReport, &Builder::initOutstandingReport>>;
};

}  // namespace gannethold::cluster::mapping
