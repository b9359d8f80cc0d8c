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
            return finish(CallEnd::unsent, {});
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
            const std::string_view said =
                id_.empty() ? std::string_view() : answer_.field(caller_.options_.id_field);
            if (!said.empty() && said != id_) {
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
        // Bytes behind a whole answer belong to nobody: the connection is not trusted any more.
        closing_ = more || !answer_.keeps_alive || keep == 0;
        const bool fresh = served_++ == 0;
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
        if (ending == net::Ending::ended_early && reader_.ends_by_close()) {
            reader_.restart();
            answer_.keeps_alive = false;
            const std::string_view said =
                id_.empty() ? std::string_view() : answer_.field(caller_.options_.id_field);
            // Without a stated end a whole body can not be told from one that was cut.
            (void)said;
            return finish(CallEnd::malformed, {});
        }
        finish(ending == net::Ending::broken_unsent && !got_ ? CallEnd::unsent : CallEnd::broken, {});
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
    Micros kept_since_, kept_until_ = 0;
    net::Connection connection_;
};

HttpCaller::HttpCaller(net::Loop& loop, Options terms, Events events)
    : loop_(loop), options_(std::move(terms)), events_(std::move(events)) {}
HttpCaller::~HttpCaller() = default;

void HttpCaller::call(Call call, const std::string& address, const HttpMessage& request) {
    const Micros now = net::Loop::now();
    if (const auto kept = idle_.find(address); kept != idle_.end()) {
        while (!kept->second.empty()) {
            Link* const link = kept->second.back();
            kept->second.pop_back();
            if (link->usable(now)) {
                calls_[call] = link;
                link->start(call, request);
                return;
            }
            link->close();
            if (idle_.find(address) == idle_.end()) break;
        }
    }
    const auto to = net::Address::read(address);
    if (!to) {
        events_.ended(call, CallEnd::unreachable, {}, true);
        return;
    }
    auto link = std::make_unique<Link>(*this, address, *to);
    Link* const key = link.get();
    links_[key] = std::move(link);
    calls_[call] = key;
    key->start(call, request);
}

void HttpCaller::abandon(Call call) {
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
