#include "cluster/wire/codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <utility>

#include "cluster.capnp.h"
#include "cluster/wire/controller_mappings.hpp"
#include "cluster/wire/frames.hpp"
#include "cluster/wire/proxy_mappings.hpp"
#include "cluster/wire/record_mappings.hpp"

namespace gannethold::cluster {
namespace {

using capnproto::Envelope;
using mapping::Mapping;

// In words of 8 bytes. Large enough that most messages need no second segment.
constexpr unsigned kFirstSegmentWords = 64;

std::string pack(capnp::MessageBuilder& builder) {
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Calls read() with the root of a packed structure. Error: bytes_malformed if Cap'n Proto rejects the bytes.
template <class Root, class Read>
auto unpack(std::string_view bytes, const Read& read) -> decltype(read(typename Root::Reader())) {
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception& exception) {
        return make_error(ErrorCode::bytes_malformed, exception.getDescription().cStr());
    }
}

leaf::error_id unknown_message() {
    return make_error(ErrorCode::bytes_malformed, "unknown message type or enumeration value");
}

// Decodes the message if the envelope holds the variant's type number kType; otherwise tries the next type.
template <std::size_t kType = 0>
leaf::result<Message> decode_message(Envelope::Reader envelope) {
    if constexpr (kType == std::variant_size_v<Message>) {
        return unknown_message();
    } else {
        using Type = std::variant_alternative_t<kType, Message>;
        if (envelope.which() != Mapping<Type>::kTag) return decode_message<kType + 1>(envelope);
        Type message;
        if (!mapping::decode_fields(message, Mapping<Type>::reader(envelope))) return unknown_message();
        return message;
    }
}

template <class Record>
std::string encode_record(const Record& record) {
    using Builder = typename Mapping<Record>::Builder;
    capnp::MallocMessageBuilder builder(kFirstSegmentWords);
    const Builder root = builder.initRoot<typename Builder::Builds>();
    mapping::encode_fields(record, root);
    return pack(builder);
}

template <class Record>
leaf::result<Record> decode_record(std::string_view bytes) {
    using Reader = typename Mapping<Record>::Reader;
    return unpack<typename Reader::Reads>(bytes, [](Reader from) -> leaf::result<Record> {
        Record record;
        if (!mapping::decode_fields(record, from)) return unknown_message();
        return record;
    });
}

}  // namespace

std::string encode(const Message& message, std::string_view from) {
    capnp::MallocMessageBuilder builder(kFirstSegmentWords);
    auto envelope = builder.initRoot<Envelope>();
    if (!from.empty()) envelope.setFrom(std::string(from));
    std::visit(
        [&envelope](const auto& alternative) {
            using Type = std::decay_t<decltype(alternative)>;
            mapping::encode_fields(alternative, Mapping<Type>::builder(envelope));
        },
        message);
    return make_frame(pack(builder));
}

leaf::result<ReceivedMessage> decode(std::string_view packed) {
    return unpack<Envelope>(packed, [](Envelope::Reader envelope) -> leaf::result<ReceivedMessage> {
        BOOST_LEAF_AUTO(message, decode_message(envelope));
        return ReceivedMessage{mapping::to_string(envelope.getFrom()), std::move(message)};
    });
}

std::string encode_payload(const EntryPayload& payload) { return encode_record(payload); }
leaf::result<EntryPayload> decode_payload(std::string_view bytes) {
    return decode_record<EntryPayload>(bytes);
}
std::string encode_entry(const LogEntry& entry) { return encode_record(entry); }
leaf::result<LogEntry> decode_entry(std::string_view bytes) { return decode_record<LogEntry>(bytes); }
std::string encode_voting_state(const VotingState& voting_state) { return encode_record(voting_state); }
leaf::result<VotingState> decode_voting_state(std::string_view bytes) {
    return decode_record<VotingState>(bytes);
}

}  // namespace gannethold::cluster
