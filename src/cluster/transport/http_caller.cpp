#include "cluster/transport/http_caller.hpp"

#include <algorithm>
#include <charconv>

namespace gannethold::cluster {

class HttpCaller::Link final : net::Connection::Owner {
  public:
    Link(HttpCaller& caller, std::string address, const net::Address& to)
        : caller_(caller),
          address_(std::move(address)),
          reader_(http::Kind::answer, caller.loop_.blocks()),
          kept_since_(net::Loop::now()),
          connection_(caller.loop_, *this, to, caller.options_.connect_limit) {}

    void start(Call call, const HttpMessage& request) {
        call_ = call;
        id_ = caller_.options_.id_field.empty() ? std::string()
                                                : std::string(request.field(caller_.options_.id_field));
        got_ = false;
        reader_.answers_head(request.method == "HEAD");
        body_bytes_ = request.body.size();
        pending_ = bytes_of(request);
        if (up_) send();
    }
    void preconnect() { pre_ = true; }
    bool usable(Micros now) const { return up_ && !closing_ && now < kept_until_ && !connection_.stale(); }
    bool busy() const { return call_ != 0; }
    bool expired(Micros now) const { return now >= kept_until_; }
    const std::string& address() const { return address_; }
    void close() {
        connection_.close();
        over();
    }

  private:
    void connected() override {
        up_ = true;
        kept_since_ = net::Loop::now();
        kept_until_ = kept_since_ + caller_.options_.keep;
        if (call_ != 0) return send();
        caller_.keep(this);
        if (std::exchange(pre_, false)) caller_.events_.connected(address_);
    }

    void send() {
        if (!connection_.write(pending_)) {
            connection_.close();
            caller_.end_later(std::exchange(call_, 0), CallEnd::unsent);
            return over();
        }
        pending_.clear();
    }

    void bytes(std::string_view bytes) override {
        if (call_ == 0) {
            // Belongs to no request.
            connection_.close();
            return over();
        }
        got_ = true;
        while (call_ != 0) {
            switch (reader_.read(bytes)) {
                case http::Found::nothing:
                    if (bytes.empty()) return;
                    continue;
                case http::Found::head:
                    answer_ = copy_of(reader_.head());
                    continue;
                case http::Found::body:
                    if (answer_.body.size() + reader_.piece().size() > caller_.options_.most_answer)
                        return broken(CallEnd::malformed);
                    answer_.body.append(reader_.piece());
                    continue;
                case http::Found::fault:
                    return broken(CallEnd::malformed);
                case http::Found::end:
                    break;
            }
            reader_.restart();
            if (const std::string_view said = id_of_answer(); !said.empty() && said != id_) {
                // An answer too many to an earlier request, where ours is due.
                answer_ = {};
                if (++strangers_ > 2) return broken(CallEnd::malformed);
                continue;
            }
            complete(!bytes.empty());
        }
    }

    void complete(bool more) {
        Micros keep = caller_.options_.keep;
        const std::string_view stated = answer_.field("Keep-Alive");
        if (const auto at = stated.find("timeout="); at != std::string_view::npos) {
            int seconds = 0;
            std::from_chars(stated.data() + at + 8, stated.data() + stated.size(), seconds);
            // Half of it: a request that crosses the peer's close may have run.
            keep = std::min<Micros>(keep, std::max(0, seconds) * 500'000LL);
        }
        kept_until_ = net::Loop::now() + keep;
        // Bytes behind a whole answer belong to nobody, and another's answer before it came out of its turn:
        // the connection is not trusted any more. What is left of a request that was answered early would
        // stand before the next one.
        closing_ = more || strangers_ > 0 || connection_.unsent() || !answer_.keeps_alive || keep == 0;
        const bool fresh = served_++ == 0 && strangers_ == 0;
        const Call call = std::exchange(call_, 0);
        HttpCaller& caller = caller_;
        caller.calls_.erase(call);
        HttpMessage answer = std::move(answer_);
        answer_ = {};
        if (closing_) {
            connection_.close();
            over();
        } else {
            caller.keep(this);
        }
        caller.events_.ended(call, CallEnd::answered, std::move(answer), fresh);
    }

    void broken(CallEnd how) {
        connection_.close();
        finish(how, {});
    }

    void ended(net::Ending ending) override {
        if (call_ == 0) {
            if (pre_) caller_.events_.refused(address_);
            return over();
        }
        if (!up_) return finish(CallEnd::unreachable, {});
        // Without a stated end a whole body can not be told from one that was cut.
        if (ending == net::Ending::ended_early && reader_.ends_by_close())
            return finish(CallEnd::malformed, {});
        finish(head_was_cut() && !got_ ? CallEnd::unsent : CallEnd::broken, {});
    }

    // Whether the system never took the whole head of the request. A runner may begin with the head: that of
    // the body is missing proves nothing.
    bool head_was_cut() const { return connection_.unsent_at_end() > body_bytes_; }

    std::string_view id_of_answer() const {
        const std::string& field = caller_.options_.id_field;
        return field.empty() ? std::string_view() : answer_.field(field);
    }

    void finish(CallEnd how, HttpMessage&& answer) {
        const Call call = std::exchange(call_, 0);
        HttpCaller& caller = caller_;
        const bool fresh = served_ == 0;
        caller.calls_.erase(call);
        over();
        caller.events_.ended(call, how, std::move(answer), fresh);
    }

    void over() {
        const auto own = caller_.links_.find(this);
        if (own == caller_.links_.end()) return;
        if (const auto idle = caller_.idle_.find(address_); idle != caller_.idle_.end()) {
            idle->second.remove(this);
            if (idle->second.empty()) caller_.idle_.erase(idle);
        }
        if (call_ != 0) caller_.calls_.erase(call_);
        caller_.closed_.push_back(std::move(own->second));
        caller_.links_.erase(own);
    }

    HttpCaller& caller_;
    std::string address_, id_, pending_;
    http::Reader reader_;
    HttpMessage answer_;
    Call call_ = 0;
    bool up_ = false, got_ = false, closing_ = false, pre_ = false;
    int served_ = 0, strangers_ = 0;
    std::size_t body_bytes_ = 0;  // of the request
    Micros kept_since_, kept_until_ = 0;
    net::Connection connection_;
};

HttpCaller::HttpCaller(net::Loop& loop, Options terms, Events events)
    : loop_(loop),
      options_(std::move(terms)),
      events_(std::move(events)),
      ends_due_(loop, [this] { tell_ends(); }) {}
HttpCaller::~HttpCaller() = default;

// The idle connection there that was used last; closes those that can not be used any more.
HttpCaller::Link* HttpCaller::take_idle(const std::string& address) {
    const Micros now = net::Loop::now();
    for (auto kept = idle_.find(address); kept != idle_.end() && !kept->second.empty();
         kept = idle_.find(address)) {
        Link* const link = kept->second.back();
        kept->second.pop_back();
        if (link->usable(now)) return link;
        link->close();
    }
    return nullptr;
}

void HttpCaller::call(Call call, const std::string& address, const HttpMessage& request,
                      bool on_new_connection) {
    if (Link* const link = on_new_connection ? nullptr : take_idle(address)) {
        calls_[call] = link;
        link->start(call, request);
        return;
    }
    const auto to = net::Address::read(address);
    if (!to) return end_later(call, CallEnd::unreachable);
    auto link = std::make_unique<Link>(*this, address, *to);
    Link* const key = link.get();
    links_[key] = std::move(link);
    calls_[call] = key;
    key->start(call, request);
}

void HttpCaller::end_later(Call call, CallEnd how) {
    calls_.erase(call);
    ends_.emplace_back(call, how);
    ends_due_.set(net::Loop::now());
}

void HttpCaller::tell_ends() {
    // An event may make or abandon further calls.
    while (!ends_.empty()) {
        const auto [call, how] = ends_.front();
        ends_.erase(ends_.begin());
        events_.ended(call, how, {}, true);
    }
}

void HttpCaller::abandon(Call call) {
    std::erase_if(ends_, [call](const auto& end) { return end.first == call; });
    const auto at = calls_.find(call);
    if (at == calls_.end()) return;
    Link* const link = at->second;
    calls_.erase(at);
    link->close();
}

void HttpCaller::preconnect(const std::string& address) {
    const auto to = net::Address::read(address);
    if (!to) return;
    auto link = std::make_unique<Link>(*this, address, *to);
    link->preconnect();
    Link* const key = link.get();
    links_[key] = std::move(link);
}

void HttpCaller::keep(Link* link) {
    auto& kept = idle_[link->address()];
    kept.push_back(link);
    if (kept.size() > options_.most_idle) kept.front()->close();
}

void HttpCaller::forget(const std::string& address) {
    const auto at = idle_.find(address);
    if (at == idle_.end()) return;
    const std::list<Link*> all = at->second;
    for (Link* const link : all) link->close();
}

void HttpCaller::sweep(Micros now) {
    closed_.clear();
    std::vector<Link*> old;
    for (auto& [address, kept] : idle_)
        for (Link* const link : kept)
            if (link->expired(now)) old.push_back(link);
    for (Link* const link : old) link->close();
}

}  // namespace gannethold::cluster
