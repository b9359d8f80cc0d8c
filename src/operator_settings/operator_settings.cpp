#include "operator_settings/operator_settings.hpp"

#include "toml/toml_reader.hpp"

namespace gannethold::house {
namespace {

beanstalk::TubePlan read_plan(const sheets::Sheet& s) {
    beanstalk::TubePlan p;
    p.effect = s.one_of("effect", {"side-effecting", "idempotent"}, p.effect);
    p.due = static_cast<Micros>(s.number("due_s", 60, 0.001, 30 * 86'400) * 1e6);
    p.expiry = static_cast<Micros>(s.number("expiry_s", 3'600, 0.01, 30 * 86'400) * 1e6);
    if (p.expiry < p.due)
        s.wrong("expiry_s", "is shorter than due_s: everything would be given up before it is late");
    p.importance = s.number("importance", 1, 0.001, 1e6);
    p.pushed = static_cast<std::size_t>(s.whole("pushed", 0, 0, 100'000));
    return p;
}

beanstalk::Furnishing read_tubes(const sheets::Sheet& s) {
    beanstalk::Furnishing f;
    const auto enter = [&](const sheets::Sheet& from, const std::string& name, const std::string& text,
                           const std::string& kind, const std::string& zone) {
        const auto at = net::Address::read(text);
        if (!at) from.wrong(name, "is no address: \"" + text + "\"");
        f.entrances.push_back({*at, kind, zone});
    };
    for (const std::string& text : s.words("listen")) enter(s, "listen", text, "", "");
    for (const sheets::Sheet& e : s.tables("entrance"))
        enter(e, "address", e.word("address", ""), e.word("kind", ""), e.word("zone", ""));
    f.connections = static_cast<std::size_t>(s.whole("connections", 64, 1, 100'000));
    beanstalk::Trade& t = f.trade;
    t.longest_body = static_cast<std::size_t>(s.whole("longest_job", 65'535, 1, 64 << 20));
    t.bounds.jobs = static_cast<std::size_t>(s.whole("most_jobs", 1'000'000, 1, 100'000'000));
    t.bounds.bytes = static_cast<std::size_t>(s.number("most_mb", 16, 0.01, 1e6) * 1048576);
    t.other_tubes = static_cast<std::size_t>(s.whole("other_tubes", 16, 0, 200));
    t.bounds.tubes = 256;
    t.cold = s.yes("cold", true);
    t.otherwise = read_plan(s.table("other"));
    for (const sheets::Sheet& one : s.tables("tube")) {
        beanstalk::TubePlan p = read_plan(one);
        p.name = one.word("name", "");
        p.workload = one.word("workload", "");
        if (p.name.empty()) one.wrong("name", "is missing: which tube?");
        if (!p.workload.empty() &&
            (one.has("effect") || one.has("due_s") || one.has("expiry_s") || one.has("importance")))
            one.wrong("workload", "says all of effect, times and importance; they cannot stand beside it");
        t.tubes.push_back(std::move(p));
    }
    return f;
}

retry::DeduplicationSettings read_deduplication(const sheets::Sheet& table) {
    table.accept_old_name("deduplicate", "remember");
    table.accept_old_name("retention_s", "keep_s");
    table.accept_old_name("max_entries", "most");
    table.accept_old_name("max_mb", "most_mb");
    table.accept_old_name("max_result_bytes", "longest_result");
    retry::DeduplicationSettings settings;
    settings.is_enabled = table.yes("deduplicate", false);
    settings.matches_by_path = table.yes("by_path", false);
    settings.retention = static_cast<Micros>(table.number("retention_s", 600, 0.1, 86'400) * 1e6);
    settings.max_entries = static_cast<std::size_t>(table.whole("max_entries", 10'000, 1, 100'000'000));
    settings.max_bytes = static_cast<std::size_t>(table.number("max_mb", 4, 0.001, 1e6) * 1048576);
    settings.max_result_bytes = static_cast<std::size_t>(table.whole("max_result_bytes", 8'192, 0, 1 << 20));
    return settings;
}

HouseRules take(const sheets::Sheet& sheet) {
    HouseRules rules;
    const sheets::Sheet log = sheet.table("log");
    rules.log_form =
        log.one_of("form", {"plain", "json"}, "plain") == "json" ? log::Form::json : log::Form::plain;
    const sheets::Sheet control = sheet.table("control");
    rules.control.path = control.word("socket", "");
    rules.control.clients = static_cast<std::size_t>(control.whole("clients", 8, 1, 64));
    rules.control.remembered =
        static_cast<std::size_t>(control.whole("remembered_changes", 1'000, 10, 100'000));
    const sheets::Sheet drain = sheet.table("drain");
    rules.drain.front_notices = static_cast<Micros>(drain.number("front_notices_s", 2, 0, 600) * 1e6);
    rules.drain.closing_takes = static_cast<Micros>(drain.number("closing_takes_s", 2, 0, 600) * 1e6);
    sheet.accept_old_name("retries", "repeats");
    rules.deduplication = read_deduplication(sheet.table("retries"));
    rules.tubes = read_tubes(sheet.table("beanstalk"));
    sheet.accept_old_name("snapshot", "keepsake");
    const sheets::Sheet snapshot = sheet.table("snapshot");
    rules.snapshot.folder = snapshot.word("folder", "");
    rules.snapshot.interval = static_cast<Micros>(snapshot.number("every_s", 30, 0.1, 86'400) * 1e6);
    rules.snapshot.decay.half_life_ms =
        static_cast<std::int64_t>(snapshot.number("half_life_h", 12, 0.001, 24 * 365) * 3.6e6);
    const sheets::Sheet shadow = sheet.table("shadow");
    rules.watch.configuration = shadow.word("configuration", "");
    rules.watch.every = static_cast<int>(shadow.whole("every", 16, 1, 1'000'000));
    rules.watch.most_a_second = static_cast<Micros>(shadow.number("most_ms_per_s", 2, 0.01, 1'000) * 1e3);
    sheet.done();
    rules.warnings = sheet.warnings();
    return rules;
}

}  // namespace

HouseRules HouseRules::read_file(const std::string& path) {
    return path.empty() ? HouseRules{} : take(sheets::Sheet::read_file(path));
}

HouseRules HouseRules::read(const std::string& text, const std::string& source) {
    return take(sheets::Sheet::read(text, source));
}

}  // namespace gannethold::house
