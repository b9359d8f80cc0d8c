#include "post/programs/office.hpp"

#include <algorithm>

#include "post/base/events.hpp"
#include "post/configuration/delta.hpp"
#include "post/programs/admin.hpp"

namespace gannethold::post {
namespace {

constexpr std::size_t kBodies = 8;
constexpr Micros kWorkers = 1'000'000, kCallLimit = 1'200'000;

Book::Terms book_terms(const Settings& s) {
    Book::Terms t;
    t.budget_slack = s.budget_slack, t.budget_window = s.budget_window, t.rejection_slack = s.rejection_slack;
    t.late_turn = s.late_turn;
    return t;
}

Planner::Terms planner_terms(const Settings& s, Number term) {
    Planner::Terms t;
    t.nonce_prefix = s.node_name + "-" + std::to_string(term) + "-";
    t.duty_per_s = s.duty_per_s;
    t.region_of = s.region_of;
    // Fronts tell what they know to be starting as they come; what nobody knows costs one start too many.
    t.settle = 300'000;
    return t;
}

}  // namespace

Office::Office(net::Loop& loop, const Settings& settings, Number term, std::function<void(Session, const Message&)> say)
    : settings_(settings),
      term_(term),
      say_(std::move(say)),
      book_(book_terms(settings)),
      planner_(planner_terms(settings, term), net::Loop::now()),
      listing_({settings.list_rate_per_s, 400'000}, net::Loop::now()),
      platform_(loop, {600'000, 8'000'000, 4, 16U << 20, {}},
                {[this](HttpCaller::Call id, CallEnd how, HttpMessage&& answer, bool) { ended(id, how, answer); }, [](const std::string&) {}, [](const std::string&) {}}) {
    Event("office_opened").with("term", term);
    next_tick_ = net::Loop::now();
}

// ---- configuration and fronts --------------------------------------------------------------------------------

void Office::settled(const Entry& entry, std::shared_ptr<const Configuration> read) {
    if (entry.members != members_) members_ = entry.members, welcome_at_ = net::Loop::now();
    if (entry.version <= version_) return;
    if (read) book_.configure(std::move(read));
    else leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, Configuration::read(entry.body));
            book_.configure(std::move(configuration));
            return {};
        },
        [&] { Event("settled_configuration_unreadable", Level::error).with("version", entry.version); });
    version_ = entry.version;
    bodies_[version_] = entry.body;
    while (bodies_.size() > kBodies) bodies_.erase(bodies_.begin());
    patches_.clear();
    for (auto& [session, front] : fronts_) push(session, front);
    plan(net::Loop::now());
}

// What the front lacks, as the difference to what it holds.
void Office::push(Session session, Front& front) {
    if (version_ == 0 || front.version >= version_ || front.sent == version_) return;
    // What was sent it will hold when this comes: a connection keeps the order. If it could not take it, it says so.
    const Number holds = std::max(front.version, front.sent);
    const auto base = bodies_.find(holds);
    const Number from = base == bodies_.end() ? 0 : holds;
    std::string& patch = patches_[from];
    if (patch.empty()) patch = delta(from > 0 ? std::string_view(base->second) : std::string_view(), bodies_[version_]);
    front.sent = version_;
    say_(session, ConfigurationSent{version_, {from, patch}});
}

void Office::welcome() {
    std::vector<std::pair<std::string, Session>> order;
    for (const auto& [session, front] : fronts_) order.emplace_back(front.name, session);
    std::sort(order.begin(), order.end());
    for (std::uint32_t rank = 0; rank < order.size(); ++rank)
        say_(order[rank].second, Welcome{term_, rank, static_cast<std::uint32_t>(order.size()), members_});
}

void Office::came(Session session, const Greeting& greeting) {
    Front& front = fronts_[session];
    front.name = greeting.name, front.version = greeting.version;
    say_(session, Welcome{term_, 0, static_cast<std::uint32_t>(std::max<std::size_t>(1, fronts_.size())), members_});
    push(session, front);
    std::vector<FrontMail> mail;
    book_.front_came(net::Loop::now(), session, greeting, mail);
    post(mail);
    if (welcome_at_ == 0) welcome_at_ = net::Loop::now() + 300'000;
}

void Office::left(Session session) {
    if (fronts_.erase(session) == 0) return;
    std::vector<FrontMail> mail;
    book_.front_left(net::Loop::now(), session, mail);
    post(mail);
    if (welcome_at_ == 0) welcome_at_ = net::Loop::now() + 2'000'000;
}

void Office::post(std::vector<FrontMail>& mail) {
    for (const FrontMail& one : mail) say_(one.to, one.message);
    mail.clear();
}

void Office::said(Session session, const Message& message) {
    const auto at = fronts_.find(session);
    if (at == fronts_.end()) return;
    const Micros now = net::Loop::now();
    std::vector<FrontMail> mail;
    if (const auto* ask = std::get_if<Ask>(&message)) {
        Function* const f = book_.ask(now, session, *ask, mail);
        post(mail);
        if (f && !f->waiting.empty()) plan(now, f);
        return;
    }
    if (const auto* release = std::get_if<Release>(&message)) book_.release(now, session, *release, mail);
    if (const auto* up = std::get_if<Up>(&message)) book_.up(now, session, *up, mail);
    if (const auto* loads = std::get_if<Loads>(&message)) book_.loads(now, session, *loads);
    if (const auto* outs = std::get_if<Outs>(&message)) book_.outs(now, session, *outs);
    if (std::holds_alternative<Beat>(message)) say_(session, Beat{});
    if (const auto* held = std::get_if<ConfigurationHeld>(&message)) {
        at->second.version = held->version, at->second.sent = 0;
        push(session, at->second);
    }
    post(mail);
}

// ---- the platform --------------------------------------------------------------------------------------------

void Office::call(Call call, const HttpMessage& request, Micros limit) {
    const HttpCaller::Call id = ++last_call_;
    call.until = net::Loop::now() + limit;
    calls_[id] = std::move(call);
    platform_.call(id, settings_.platform, request);
}

void Office::ended(HttpCaller::Call id, CallEnd how, const HttpMessage& answer) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    const Call call = std::move(at->second);
    calls_.erase(at);
    const Micros now = net::Loop::now();
    const bool answered = how == CallEnd::answered;
    std::vector<FrontMail> mail;
    switch (call.what) {
        case Call::What::list:
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    if (!answered) return failure(Kind::platform_silent, "list");
                    BOOST_LEAF_AUTO(page, runners_.read(answer));
                    bool whole = false;
                    std::vector<std::string> gone;
                    listing_.page(now, page, whole, gone);
                    for (const Listed& one : page.runners) book_.listed(now, one.what, one.draining, mail);
                    for (const std::string& runner : gone) book_.gone(now, runner, "not listed any more", mail);
                    if (whole) planner_.list_read(now);
                    return {};
                },
                [&](Kind kind, const Detail& detail) {
                    listing_.failed(now);
                    Event("list_failed", Level::warning).with("kind", answer_to(kind).name).with("detail", detail.text);
                },
                [&] { listing_.failed(now); });
            break;
        case Call::What::workers:
            workers_out_ = false;
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    if (!answered) return failure(Kind::platform_silent, "workers");
                    BOOST_LEAF_AUTO(all, workers_.read(answer));
                    planner_.workers(now, std::move(all));
                    return {};
                },
                [&](Kind kind, const Detail& detail) {
                    next_workers_ = now + 300'000;
                    Event("workers_failed", Level::warning).with("kind", answer_to(kind).name).with("detail", detail.text);
                },
                [&] { next_workers_ = now + 300'000; });
            break;
        case Call::What::begin: {
            Holding begun;
            const BeginAnswer said = answered ? begin_.read(answer, begun) : BeginAnswer::silent;
            if (said == BeginAnswer::begun) {
                begun.service = call.begin.service, begun.worker = call.begin.worker;
                begun.zone = planner_.zone_of(call.begin.worker);
                book_.began(now, begun, mail);
            }
            Event("start", said == BeginAnswer::begun ? Level::info : Level::warning)
                .with("service", call.begin.service).with("worker", call.begin.worker).with("why", call.begin.why)
                .with("answer", answered ? std::to_string(answer.status) : "none").with("runner", begun.runner);
            deeds_.add({now, call.begin.service, call.begin.worker, begun.runner, answered ? std::to_string(answer.status) : "none", call.begin.why, true});
            planner_.begin_answered(now, call.begin.nonce, said);
            break;
        }
        case Call::What::stop: {
            const bool done = answered && stop_.done(answer);
            Event("stop").with("runner", call.stop.runner).with("why", call.stop.why).with("done", done);
            deeds_.add({now, {}, {}, call.stop.runner, answered ? std::to_string(answer.status) : "none", call.stop.why, false});
            planner_.stop_answered(call.stop.runner, done);
            if (done) book_.gone(now, call.stop.runner, "stopped", mail);
            break;
        }
    }
    post(mail);
    // What the answer changed is planned with the next sample; what waits has been planned for.
}

// For one function, or with the sample for all.
void Office::plan(Micros now, Function* one) {
    std::vector<FrontMail> mail;
    if (one) planner_.plan_waiting(now, book_, *one, mail);
    else planner_.plan_all(now, book_, mail);
    post(mail);
    Orders orders;
    planner_.due(now, orders);
    const Fence fence{settings_.node_name, term_};
    for (const Begin& begin : orders.begins) {
        Call c;
        c.what = Call::What::begin, c.begin = begin;
        call(std::move(c), begin_.post(fence, begin), kCallLimit);
    }
    for (const Stop& stop : orders.stops) {
        Call c;
        c.what = Call::What::stop, c.stop = stop;
        call(std::move(c), stop_.post(fence, stop), kCallLimit);
    }
}

void Office::explain(const std::string& what, json::Object& into) const {
    const Micros now = net::Loop::now();
    const auto asked = [&](const char* part) { return what.empty() || what == part; };
    json::List starts, functions, waiting, fronts;
    if (asked("starts"))
        for (const Deed& d : deeds_.kept())
            starts.emplace_back(json::Object{{"ago_ms", told_ms(now - d.at)}, {"deed", told(std::string(d.start ? "start" : "stop"))}, {"service", told(d.service)},
                                             {"worker", told(d.worker)}, {"runner", told(d.runner)}, {"why", told(std::string(d.why))}, {"answer", told(d.answer)}});
    for (const auto& [name, f] : book_.functions()) {
        if (asked("functions") && (f->active || !f->runners.empty())) {
            double busy = 0;
            for (const std::uint32_t number : f->runners) busy += book_.runner(number).out();
            functions.emplace_back(json::Object{{"function", told(name)}, {"mode", told(std::string(f->free ? "free" : "kept"))}, {"runners", told(static_cast<double>(f->runners.size()))},
                                                {"slots_out", told(busy)}, {"waiting", told(static_cast<double>(f->waiting.size()))}, {"overtaken", told(static_cast<double>(f->overtaken))}, {"rate_per_s", told(f->rate)}, {"load", told(f->load_slow)}});
        }
        if (asked("waiting"))
            for (const auto& [place, w] : f->waiting.all())
                waiting.emplace_back(json::Object{{"function", told(name)}, {"front", told(book_.name_of(w.front) ? *book_.name_of(w.front) : std::string())}, {"priority", told(w.ask.priority)},
                                                  {"waited_ms", told_ms(now - w.since)}, {"aim_left_ms", told_ms(w.aim_at - now)}, {"deadline_left_ms", told_ms(w.deadline_at - now)}});
    }
    if (asked("overtakings")) {
        json::List all;
        const auto name = [&](Session s) { return told(book_.name_of(s) ? *book_.name_of(s) : std::string()); };
        for (const Overtaking& o : book_.overtakings().kept())
            all.emplace_back(json::Object{{"ago_ms", told_ms(now - o.at)}, {"function", told(o.service)}, {"went", name(o.front)}, {"priority", told(o.priority)}, {"aim_left_ms", told_ms(o.aim_left)},
                                          {"before", name(o.before_front)}, {"its_priority", told(o.before_priority)}, {"its_aim_left_ms", told_ms(o.before_aim_left)}, {"why", told(std::string(o.why))}});
        into["overtakings"] = json::Value(std::move(all));
    }
    if (asked("fronts"))
        for (const auto& [session, front] : fronts_)
            fronts.emplace_back(json::Object{{"front", told(front.name)}, {"version_held", told(static_cast<double>(front.version))}, {"version_sent", told(static_cast<double>(front.sent))}});
    if (asked("starts")) into["starts"] = json::Value(std::move(starts));
    if (asked("functions")) into["functions"] = json::Value(std::move(functions));
    if (asked("waiting")) into["waiting"] = json::Value(std::move(waiting));
    if (asked("fronts")) into["fronts"] = json::Value(std::move(fronts));
}

void Office::tick(Micros now) {
    if (now < next_tick_) return;
    next_tick_ = now + Book::kSample;
    std::vector<HttpCaller::Call> late;
    for (const auto& [id, call] : calls_)
        if (now >= call.until) late.push_back(id);
    for (const HttpCaller::Call id : late) {
        platform_.abandon(id);
        ended(id, CallEnd::broken, {});
    }
    platform_.sweep(now);
    std::string token;
    if (listing_.due(now, token)) {
        Call c;
        c.what = Call::What::list;
        call(std::move(c), runners_.get(token), kCallLimit);
    }
    if (!workers_out_ && now >= next_workers_) {
        workers_out_ = true;
        next_workers_ = now + kWorkers;
        Call c;
        c.what = Call::What::workers;
        call(std::move(c), workers_.get(), kCallLimit);
    }
    // What was decided since the last look, as far as the record still holds it.
    const auto& overtakings = book_.overtakings();
    const std::size_t fresh = std::min(overtakings.all() - overtakings_told_, overtakings.kept().size());
    for (std::size_t i = overtakings.kept().size() - fresh; i < overtakings.kept().size(); ++i) {
        const Overtaking& o = overtakings.kept()[i];
        const auto front = [&](Session s) { return book_.name_of(s) ? *book_.name_of(s) : std::string(); };
        Event("overtaken").with("function", o.service).with("front", front(o.front)).with("ask", o.ask).with("aim_left_ms", o.aim_left / 1000).with("priority", o.priority)
            .with("before_front", front(o.before_front)).with("before_ask", o.before_ask).with("before_aim_left_ms", o.before_aim_left / 1000).with("why", o.why);
    }
    overtakings_told_ = overtakings.all();
    if (welcome_at_ > 0 && now >= welcome_at_) welcome_at_ = 0, welcome();
    std::vector<FrontMail> mail;
    book_.tick(now, mail);
    post(mail);
    plan(now);
}

}  // namespace gannethold::post
