// The keeper's office, open while this core machine leads: fronts' sessions, the book of slots, the planner, and the
// platform's calls. It is opened anew with each term and knows nothing of the one before but what fronts and the list
// tell.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "json/json.hpp"
#include "post/base/record.hpp"
#include "post/base/settings.hpp"
#include "post/placement/planner.hpp"
#include "post/runners/listing.hpp"
#include "post/runners/resources.hpp"
#include "post/slots/book.hpp"
#include "post/transport/http_caller.hpp"

namespace gannethold::post {

class Office {
  public:
    Office(net::Loop& loop, const Settings& settings, Number term, std::function<void(Session, const Message&)> say);

    // A newer configuration, or other members. read: the entry's configuration where it has been read already.
    void settled(const Entry& entry, std::shared_ptr<const Configuration> read);
    void came(Session front, const Greeting& greeting);
    void left(Session front);
    void said(Session front, const Message& message);
    void tick(Micros now);
    Micros next_tick() const { return next_tick_; }
    Number term() const { return term_; }
    // For operators: what is asked of starts, functions, waiting, fronts; empty: all.
    void explain(const std::string& what, json::Object& into) const;

  private:
    struct Call {
        enum class What { list, workers, begin, stop } what = What::list;
        Begin begin;
        Stop stop;
        Micros until = 0;
    };
    struct Front {
        std::string name;
        Number version = 0, sent = 0;
        Micros sent_at = 0;
    };

    void push(Session session, Front& front);
    void welcome();
    void post(std::vector<FrontMail>& mail);
    void plan(Micros now, Function* one = nullptr);
    void call(Call call, const HttpMessage& request, Micros limit);
    void ended(HttpCaller::Call id, CallEnd how, const HttpMessage& answer);

    const Settings& settings_;
    Number term_;
    std::function<void(Session, const Message&)> say_;
    Book book_;
    Planner planner_;
    Listing listing_;
    RunnersResource runners_;
    WorkersResource workers_;
    BeginResource begin_;
    StopResource stop_;
    HttpCaller platform_;
    std::map<HttpCaller::Call, Call> calls_;
    HttpCaller::Call last_call_ = 0;
    std::map<Session, Front> fronts_;
    std::map<Number, std::string> bodies_;  // lately settled ones, by version
    std::vector<std::string> members_;
    Number version_ = 0;
    std::map<Number, std::string> patches_;  // to version_, by base
    Micros next_tick_ = 0, next_workers_ = 0, welcome_at_ = 0;
    bool workers_out_ = false;
    std::size_t overtakings_told_ = 0;
    struct Deed {
        Micros at = 0;
        std::string service, worker, runner, answer;
        const char* why = "";
        bool start = true;
    };
    Record<Deed> deeds_{512};
};

}  // namespace gannethold::post
