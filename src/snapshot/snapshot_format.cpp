#include "snapshot/snapshot_format.hpp"

#include <zlib.h>

#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>

namespace gannethold::keepsake {
namespace {

using nlohmann::json;

constexpr char kMagic[8] = {'G', 'N', 'H', 'K', 'E', 'E', 'P', '\n'};
constexpr std::size_t kHead = kHeadBytes;
static_assert(kHead == sizeof kMagic + 4 + 8 + 4);
constexpr std::size_t kMostBins = 256;
constexpr int kDeepest = 8;  // ours has three levels

void put(std::string& out, std::uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}
std::uint64_t take(const std::string& in, std::size_t at, int bytes) {
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]))
                 << (8 * i);
    return value;
}
std::uint32_t checksum(const std::string& head, const std::string& body) {
    uLong sum = crc32(0, nullptr, 0);
    sum = crc32(sum, reinterpret_cast<const Bytef*>(head.data()), static_cast<uInt>(head.size()));
    return static_cast<std::uint32_t>(
        crc32(sum, reinterpret_cast<const Bytef*>(body.data()), static_cast<uInt>(body.size())));
}

// A value that cannot be is as good as none: a checksum proves that it was written so, not that it makes
// sense.
double number(const json& from, const char* name, double least, double most) {
    const auto found = from.find(name);
    if (found == from.end() || !found->is_number()) return 0;
    const double value = found->get<double>();
    return std::isfinite(value) && value >= least && value <= most ? value : 0;
}
std::string text(const json& from, const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>() : "";
}
std::int64_t whole(const json& from, const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}
Bins bins(const json& from, const char* name) {
    const auto found = from.find(name);
    Bins all;
    if (found == from.end() || !found->is_array() || found->size() > kMostBins) return all;
    for (const json& one : *found) {
        const double value = one.is_number() ? one.get<double>() : 0;
        all.push_back(std::isfinite(value) && value >= 0 && value < 1e9 ? static_cast<float>(value) : 0.0F);
    }
    return all;
}
// Against a body of brackets only: the reader of the library goes down into each, as far as the stack lasts.
class Depth final : public nlohmann::json_sax<json> {
  public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++level_ <= kDeepest; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return --level_, true; }
    bool start_array(std::size_t) override { return ++level_ <= kDeepest; }
    bool end_array() override { return --level_, true; }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

  private:
    int level_ = 0;
};

const json& list(const json& from, const char* name) {
    static const json none = json::array();
    const auto found = from.find(name);
    return found != from.end() && found->is_array() ? *found : none;
}

}  // namespace

std::string spell(const Record& r) {
    json all = {{"at", r.written_ms}, {"by", r.dispatcher}, {"cost", r.usual_cost}};
    json& runners = all["runners"] = json::array();
    for (const KeptRunner& one : r.runners)
        runners.push_back({{"n", one.name},
                           {"k", one.kind},
                           {"z", one.zone},
                           {"a", one.address},
                           {"s", one.started_ms},
                           {"l", one.latency},
                           {"m", one.least},
                           {"c", one.slots},
                           {"f", one.fraction}});
    json& kinds = all["kinds"] = json::array();
    for (const KeptKind& one : r.kinds)
        kinds.push_back({{"n", one.name}, {"l", one.latency}, {"w", one.weight}});
    json& workloads = all["workloads"] = json::array();
    for (const KeptWorkload& one : r.workloads) workloads.push_back({{"n", one.name}, {"l", one.latency}});
    json& holds = all["holds"] = json::array();
    for (const KeptHold& one : r.holds)
        holds.push_back({{"n", one.runner}, {"by", one.by}, {"why", one.why}, {"at", one.since_ms}});
    std::string body;
    json::to_cbor(all, body);
    std::string head(kMagic, sizeof kMagic);
    put(head, kForm, 4);
    head.resize(kHead);
    return sealed(head + body);
}

std::string sealed(std::string bytes) {
    if (bytes.size() < kHead) return bytes;
    const std::string body = bytes.substr(kHead);
    bytes.resize(sizeof kMagic + 4);
    put(bytes, body.size(), 8);
    put(bytes, checksum(bytes, body), 4);
    return bytes + body;
}

std::uint32_t form_of(const std::string& head) {
    if (head.size() < kHead || std::memcmp(head.data(), kMagic, sizeof kMagic) != 0) return 0;
    return static_cast<std::uint32_t>(take(head, sizeof kMagic, 4));
}

Record read(const std::string& bytes) {
    if (bytes.size() < kHead || std::memcmp(bytes.data(), kMagic, sizeof kMagic) != 0)
        throw Unreadable("no keepsake, or cut in its head");
    const std::uint64_t form = take(bytes, sizeof kMagic, 4), length = take(bytes, sizeof kMagic + 4, 8);
    if (form > kForm)
        throw Unreadable("of form " + std::to_string(form) + ", which is newer than " +
                         std::to_string(kForm));
    if (length > kLongestFile || bytes.size() != kHead + length)
        throw Unreadable("it should be " + std::to_string(kHead + length) + " bytes and is " +
                         std::to_string(bytes.size()));
    const std::string body = bytes.substr(kHead);
    if (checksum(bytes.substr(0, kHead - 4), body) != take(bytes, kHead - 4, 4))
        throw Unreadable("its checksum is wrong");
    Depth depth;
    if (!json::sax_parse(body, &depth, json::input_format_t::cbor))
        throw Unreadable("its body cannot be read");
    const json all = json::from_cbor(body, true, false);
    if (all.is_discarded() || !all.is_object()) throw Unreadable("its body cannot be read");
    Record r;
    r.written_ms = whole(all, "at");
    r.dispatcher = text(all, "by");
    r.usual_cost = number(all, "cost", 0, 1e12);
    for (const json& one : list(all, "runners"))
        if (one.is_object() && !text(one, "n").empty())
            r.runners.push_back({text(one, "n"), text(one, "k"), text(one, "z"), text(one, "a"),
                                 whole(one, "s"), bins(one, "l"), number(one, "m", 0, 1e9),
                                 number(one, "c", 0, 1e5), number(one, "f", 0, 1)});
    for (const json& one : list(all, "kinds"))
        if (one.is_object()) r.kinds.push_back({text(one, "n"), bins(one, "l"), number(one, "w", 0, 1e9)});
    for (const json& one : list(all, "workloads"))
        if (one.is_object()) r.workloads.push_back({text(one, "n"), bins(one, "l")});
    for (const json& one : list(all, "holds"))
        if (one.is_object() && !text(one, "n").empty())
            r.holds.push_back({text(one, "n"), text(one, "by"), text(one, "why"), whole(one, "at")});
    return r;
}

}  // namespace gannethold::keepsake
