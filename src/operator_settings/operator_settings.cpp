#include "operator_settings/operator_settings.hpp"

#include <utility>

#include "toml/toml_reader.hpp"

namespace gannethold::operator_settings {
namespace {

using toml::TomlReader;

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMs = 1e3;
constexpr double kMsPerHour = 3.6e6;
constexpr double kBytesPerMb = 1'048'576;
constexpr double kSecondsPerDay = 86'400;
constexpr double kMaxTubeSeconds = 30 * kSecondsPerDay;
constexpr std::size_t kMaxTubes = 256;

Micros get_seconds(const TomlReader& table, const std::string& name, double default_value, double min,
                   double max) {
    return static_cast<Micros>(table.get_number(name, default_value, min, max) * kMicrosPerSecond);
}

std::size_t get_size(const TomlReader& table, const std::string& name, std::int64_t default_value,
                     std::int64_t min, std::int64_t max) {
    return static_cast<std::size_t>(table.get_integer(name, default_value, min, max));
}

std::size_t get_megabytes(const TomlReader& table, const std::string& name, double default_value,
                          double min) {
    return static_cast<std::size_t>(table.get_number(name, default_value, min, 1e6) * kBytesPerMb);
}

log::Format read_log_form(const TomlReader& table) {
    return table.get_one_of("form", {"plain", "json"}, "plain") == "json" ? log::Format::json
                                                                          : log::Format::plain;
}

control::ControlOptions read_control(const TomlReader& table) {
    control::ControlOptions settings;
    settings.path = table.get_string("socket", "");
    settings.max_clients = get_size(table, "clients", 8, 1, 64);
    settings.max_remembered_changes = get_size(table, "remembered_changes", 1'000, 10, 100'000);
    return settings;
}

drain::DrainSettings read_drain(const TomlReader& table) {
    drain::DrainSettings settings;
    settings.front_notice_delay = get_seconds(table, "front_notices_s", 2, 0, 600);
    settings.closing_period = get_seconds(table, "closing_takes_s", 2, 0, 600);
    return settings;
}

retry::DeduplicationSettings read_deduplication(const TomlReader& table) {
    table.accept_old_name("deduplicate", "remember");
    table.accept_old_name("retention_s", "keep_s");
    table.accept_old_name("max_entries", "most");
    table.accept_old_name("max_mb", "most_mb");
    table.accept_old_name("max_result_bytes", "longest_result");
    retry::DeduplicationSettings settings;
    settings.is_enabled = table.get_bool("deduplicate", false);
    settings.matches_by_path = table.get_bool("by_path", false);
    settings.retention = get_seconds(table, "retention_s", 600, 0.1, kSecondsPerDay);
    settings.max_entries = get_size(table, "max_entries", 10'000, 1, 100'000'000);
    settings.max_bytes = get_megabytes(table, "max_mb", 4, 0.001);
    settings.max_result_bytes = get_size(table, "max_result_bytes", 8'192, 0, 1 << 20);
    return settings;
}

beanstalk::TubePlan read_tube_plan(const TomlReader& table) {
    beanstalk::TubePlan plan;
    plan.effect = table.get_one_of("effect", {"side-effecting", "idempotent"}, plan.effect);
    plan.due_time = get_seconds(table, "due_s", 60, 0.001, kMaxTubeSeconds);
    plan.expiry = get_seconds(table, "expiry_s", 3'600, 0.01, kMaxTubeSeconds);
    if (plan.expiry < plan.due_time)
        table.reject("expiry_s", "is less than due_s: every job would expire before its due time");
    plan.importance = table.get_number("importance", 1, 0.001, 1e6);
    plan.max_pushed = get_size(table, "pushed", 0, 0, 100'000);
    return plan;
}

beanstalk::TubePlan read_tube(const TomlReader& table) {
    beanstalk::TubePlan plan = read_tube_plan(table);
    plan.name = table.get_string("name", "");
    plan.workload = table.get_string("workload", "");
    if (plan.name.empty()) table.reject("name", "is missing: every tube needs a name");
    if (!plan.workload.empty() &&
        (table.has("effect") || table.has("due_s") || table.has("expiry_s") || table.has("importance")))
        table.reject("workload",
                     "defines effect, times and importance, so a tube with a workload cannot set them");
    return plan;
}

net::Address read_address(const TomlReader& table, const std::string& name, const std::string& text) {
    const auto address = net::Address::parse(text);
    if (!address) table.reject(name, "is not an address: \"" + text + "\"");
    return *address;
}

beanstalk::ServerSettings read_tubes(const TomlReader& table) {
    beanstalk::ServerSettings settings;
    for (const std::string& text : table.get_strings("listen"))
        settings.listeners.push_back({read_address(table, "listen", text), "", ""});
    for (const TomlReader& listener : table.get_tables("entrance")) {
        const std::string address = listener.get_string("address", "");
        const std::string kind = listener.get_string("kind", "");
        const std::string zone = listener.get_string("zone", "");
        settings.listeners.push_back({read_address(listener, "address", address), kind, zone});
    }
    settings.max_connections = get_size(table, "connections", 64, 1, 100'000);
    settings.broker.max_body_bytes = get_size(table, "longest_job", 65'535, 1, 64 << 20);
    settings.broker.queue_limits.max_jobs = get_size(table, "most_jobs", 1'000'000, 1, 100'000'000);
    settings.broker.queue_limits.max_bytes = get_megabytes(table, "most_mb", 16, 0.01);
    settings.broker.queue_limits.max_tubes = kMaxTubes;
    settings.broker.max_other_tubes = get_size(table, "other_tubes", 16, 0, 200);
    settings.broker.workers_start_cold = table.get_bool("cold", true);
    settings.broker.default_plan = read_tube_plan(table.get_table("other"));
    for (const TomlReader& tube : table.get_tables("tube")) settings.broker.tubes.push_back(read_tube(tube));
    return settings;
}

snapshot::SnapshotSettings read_snapshot(const TomlReader& table) {
    snapshot::SnapshotSettings settings;
    settings.folder = table.get_string("folder", "");
    settings.interval = get_seconds(table, "every_s", 30, 0.1, kSecondsPerDay);
    settings.decay.half_life_ms =
        static_cast<std::int64_t>(table.get_number("half_life_h", 12, 0.001, 24 * 365) * kMsPerHour);
    return settings;
}

ShadowSettings read_shadow(const TomlReader& table) {
    ShadowSettings settings;
    settings.configuration = table.get_string("configuration", "");
    settings.sample_interval = static_cast<int>(table.get_integer("every", 16, 1, 1'000'000));
    settings.max_cpu_per_second =
        static_cast<Micros>(table.get_number("most_ms_per_s", 2, 0.01, 1'000) * kMicrosPerMs);
    return settings;
}

OperatorSettings read_settings(const TomlReader& file) {
    file.accept_old_name("retries", "repeats");
    file.accept_old_name("snapshot", "keepsake");
    OperatorSettings settings;
    settings.log_form = read_log_form(file.get_table("log"));
    settings.control = read_control(file.get_table("control"));
    settings.drain = read_drain(file.get_table("drain"));
    settings.deduplication = read_deduplication(file.get_table("retries"));
    settings.tubes = read_tubes(file.get_table("beanstalk"));
    settings.snapshot = read_snapshot(file.get_table("snapshot"));
    settings.shadow = read_shadow(file.get_table("shadow"));
    file.reject_unread_names();
    settings.warnings = file.warnings();
    return settings;
}

}  // namespace

OperatorSettings OperatorSettings::read_file(const std::string& path) {
    return path.empty() ? OperatorSettings{} : read_settings(TomlReader::read_file(path));
}

OperatorSettings OperatorSettings::read(const std::string& text, const std::string& source) {
    return read_settings(TomlReader::read(text, source));
}

}  // namespace gannethold::operator_settings
