// Asks discovery for the list of runners and follows its changes. When to ask is not decided here.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "roster/listing.hpp"

namespace gannethold::roster {

// One call to discovery: the whole list once, or a watch.
class Call final : public net::Connection::Owner {
  public:
    enum class Kind { list, watch };
    class Hearer {
      public:
        virtual void heard(Kind kind, const Listing& listing) = 0;
        virtual void call_ended(Kind kind, const char* why) = 0;  // nullptr: a list that came whole

      protected:
        ~Hearer() = default;
    };

    Call(net::Loop& loop, Hearer& hearer, const net::Address& discovery, Kind kind, std::uint32_t since);
    void close();

  private:
    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_closed(net::CloseReason ending) override;
    bool heed_line(std::string_view text);
    void give_up(const char* why);

    net::Loop& loop_;
    Hearer& hearer_;
    const Kind kind_;
    std::string request_;
    bool over_ = false, heard_ = false;
    http::Reader reader_;
    std::string line_;  // a list may be far longer than a block, and there is only ever one
    net::Timer limit_;
    net::Connection connection_;
};

class Follower final : public Call::Hearer {
  public:
    using Heard = std::function<bool(const Listing&)>;  // false: it does not follow from what is held
    using Failed = std::function<void()>;

    Follower(net::Loop& loop, const net::Address& discovery, log::Log& log, Heard heard, Failed failed);

    // From now on discovery is there. What the old one has not yet said, or how it ends, is not heard.
    void move(const net::Address& discovery);
    void follow(std::uint32_t since);
    void stop_following();
    void ask();
    void sweep() { ended_.clear(); }

  private:
    void heard(Call::Kind kind, const Listing& listing) override;
    void call_ended(Call::Kind kind, const char* why) override;
    std::unique_ptr<Call>& call(Call::Kind kind) { return kind == Call::Kind::watch ? watch_ : list_; }
    void begin(Call::Kind kind, std::uint32_t since);
    void drop(Call::Kind kind);

    net::Loop& loop_;
    net::Address discovery_;
    log::Log& log_;
    Heard heard_;
    Failed failed_;
    std::unique_ptr<Call> watch_, list_;
    std::vector<std::unique_ptr<Call>> ended_;
};

}  // namespace gannethold::roster
