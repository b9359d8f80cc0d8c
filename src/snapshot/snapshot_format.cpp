#include "snapshot/snapshot_format.hpp"

#include <zlib.h>

#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>

namespace gannethold::snapshot {
namespace {

using nlohmann::json;

// The header, all numbers little-endian: magic, format version (4 bytes), length of the body (8), CRC-32 of
// all before it and of the body (4).
constexpr char kMagic[8] = {'G', 'N', 'H', 'K', 'E', 'E', 'P', '\n'};
constexpr std::size_t kVersionOffset = sizeof kMagic;
constexpr std::size_t kLengthOffset = kVersionOffset + 4;
constexpr std::size_t kChecksumOffset = kLengthOffset + 8;
static_assert(kHeaderBytes == kChecksumOffset + 4);

constexpr std::size_t kMaxBins = 256;
constexpr int kMaxDepth = 8;  // three levels are used

// Bounds of the numbers in a snapshot; values outside are read as 0.
constexpr double kMaxLatency = 1e9;
constexpr double kMaxWeight = 1e9;
constexpr double kMaxSlots = 1e5;
constexpr double kMaxCostUs = 1e12;

void append_integer(std::string& out, std::uint64_t value, int size) {
    for (int i = 0; i < size; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t read_integer(const std::string& bytes, std::size_t offset, int size) {
    std::uint64_t value = 0;
    for (int i = 0; i < size; ++i) {
        const auto byte = static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(i)]);
        value |= static_cast<std::uint64_t>(byte) << (8 * i);
    }
    return value;
}

std::uint32_t checksum(const std::string& header, const std::string& body) {
    uLong sum = crc32(0, nullptr, 0);
    sum = crc32(sum, reinterpret_cast<const Bytef*>(header.data()), static_cast<uInt>(header.size()));
    return static_cast<std::uint32_t>(
        crc32(sum, reinterpret_cast<const Bytef*>(body.data()), static_cast<uInt>(body.size())));
}

double get_number(const json& map, const char* key, double max) {
    const auto found = map.find(key);
    if (found == map.end() || !found->is_number()) return 0;
    const auto value = found->get<double>();
    return std::isfinite(value) && value >= 0 && value <= max ? value : 0;
}

std::string get_text(const json& map, const char* key) {
    const auto found = map.find(key);
    return found != map.end() && found->is_string() ? found->get<std::string>() : "";
}

std::int64_t get_integer(const json& map, const char* key) {
    const auto found = map.find(key);
    return found != map.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

HistogramBins get_bins(const json& map, const char* key) {
    const auto found = map.find(key);
    HistogramBins bins;
    if (found == map.end() || !found->is_array() || found->size() > kMaxBins) return bins;
    for (const json& element : *found) {
        const double value = element.is_number() ? element.get<double>() : 0;
        const bool is_valid = std::isfinite(value) && value >= 0 && value < kMaxWeight;
        bins.push_back(is_valid ? static_cast<float>(value) : 0.0F);
    }
    return bins;
}

// The maps in the array under that key; other elements are skipped.
std::vector<const json*> get_maps(const json& map, const char* key) {
    std::vector<const json*> maps;
    const auto found = map.find(key);
    if (found == map.end() || !found->is_array()) return maps;
    for (const json& element : *found)
        if (element.is_object()) maps.push_back(&element);
    return maps;
}

// Accepts bodies that are nested at most kMaxDepth levels. The library's parser descends recursively, so a
// body of nothing but opening brackets would otherwise exhaust the stack.
class DepthLimit final : public nlohmann::json_sax<json> {
  public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

  private:
    bool enter() { return ++depth_ <= kMaxDepth; }
    bool leave() {
        --depth_;
        return true;
    }

    int depth_ = 0;
};

json to_map(const SavedRunner& runner) {
    return {{"n", runner.name},        {"k", runner.instance_type}, {"z", runner.zone},
            {"a", runner.address},     {"s", runner.started_ms},    {"l", runner.latency},
            {"m", runner.min_latency}, {"c", runner.slots},         {"f", runner.fraction}};
}

json to_map(const SavedInstanceType& type) {
    return {{"n", type.name}, {"l", type.latency}, {"w", type.weight}};
}

json to_map(const SavedWorkload& workload) { return {{"n", workload.name}, {"l", workload.latency}}; }

json to_map(const SavedOverride& saved) {
    return {{"n", saved.runner}, {"by", saved.operator_name}, {"why", saved.reason}, {"at", saved.since_ms}};
}

template <class Element>
json to_array(const std::vector<Element>& elements) {
    json array = json::array();
    for (const Element& element : elements) array.push_back(to_map(element));
    return array;
}

SavedRunner runner_from(const json& map) {
    return {get_text(map, "n"),
            get_text(map, "k"),
            get_text(map, "z"),
            get_text(map, "a"),
            get_integer(map, "s"),
            get_bins(map, "l"),
            get_number(map, "m", kMaxLatency),
            get_number(map, "c", kMaxSlots),
            get_number(map, "f", 1)};
}

Snapshot snapshot_from(const json& map) {
    Snapshot snapshot;
    snapshot.written_ms = get_integer(map, "at");
    snapshot.dispatcher = get_text(map, "by");
    snapshot.typical_cost_us = get_number(map, "cost", kMaxCostUs);
    for (const json* const runner : get_maps(map, "runners"))
        if (!get_text(*runner, "n").empty()) snapshot.runners.push_back(runner_from(*runner));
    for (const json* const type : get_maps(map, "kinds"))
        snapshot.instance_types.push_back(
            {get_text(*type, "n"), get_bins(*type, "l"), get_number(*type, "w", kMaxWeight)});
    for (const json* const workload : get_maps(map, "workloads"))
        snapshot.workloads.push_back({get_text(*workload, "n"), get_bins(*workload, "l")});
    for (const json* const saved : get_maps(map, "holds"))
        if (!get_text(*saved, "n").empty())
            snapshot.overrides.push_back({get_text(*saved, "n"), get_text(*saved, "by"),
                                          get_text(*saved, "why"), get_integer(*saved, "at")});
    return snapshot;
}

// The body of a file whose header is right. Throws FormatError.
std::string checked_body(const std::string& bytes) {
    const std::uint32_t version = format_version_of(bytes);
    if (bytes.size() < kHeaderBytes || std::memcmp(bytes.data(), kMagic, sizeof kMagic) != 0)
        throw FormatError("no snapshot, or cut in its header");
    if (version > kFormatVersion)
        throw FormatError("of format version " + std::to_string(version) + ", which is newer than " +
                          std::to_string(kFormatVersion));
    const std::uint64_t length = read_integer(bytes, kLengthOffset, 8);
    if (length > kMaxFileBytes || bytes.size() != kHeaderBytes + length)
        throw FormatError("it should be " + std::to_string(kHeaderBytes + length) + " bytes and is " +
                          std::to_string(bytes.size()));
    std::string body = bytes.substr(kHeaderBytes);
    if (checksum(bytes.substr(0, kChecksumOffset), body) != read_integer(bytes, kChecksumOffset, 4))
        throw FormatError("its checksum is wrong");
    return body;
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
    const json map = {{"at", snapshot.written_ms},
                      {"by", snapshot.dispatcher},
                      {"cost", snapshot.typical_cost_us},
                      {"runners", to_array(snapshot.runners)},
                      {"kinds", to_array(snapshot.instance_types)},
                      {"workloads", to_array(snapshot.workloads)},
                      {"holds", to_array(snapshot.overrides)}};
    std::string body;
    json::to_cbor(map, body);
    std::string header(kMagic, sizeof kMagic);
    append_integer(header, kFormatVersion, 4);
    header.resize(kHeaderBytes);
    return with_valid_header(header + body);
}

std::string with_valid_header(std::string bytes) {
    if (bytes.size() < kHeaderBytes) return bytes;
    const std::string body = bytes.substr(kHeaderBytes);
    bytes.resize(kLengthOffset);
    append_integer(bytes, body.size(), 8);
    append_integer(bytes, checksum(bytes, body), 4);
    return bytes + body;
}

std::uint32_t format_version_of(const std::string& header) {
    if (header.size() < kHeaderBytes || std::memcmp(header.data(), kMagic, sizeof kMagic) != 0) return 0;
    return static_cast<std::uint32_t>(read_integer(header, kVersionOffset, 4));
}

Snapshot decode(const std::string& bytes) {
    const std::string body = checked_body(bytes);
    DepthLimit depth_limit;
    if (!json::sax_parse(body, &depth_limit, json::input_format_t::cbor))
        throw FormatError("its body cannot be read");
    const json map = json::from_cbor(body, true, false);
    if (map.is_discarded() || !map.is_object()) throw FormatError("its body cannot be read");
    return snapshot_from(map);
}

}  // namespace gannethold::snapshot
