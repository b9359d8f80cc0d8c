#include "admin/admin_server.hpp"

#include <utility>

#include "http/writer.hpp"

namespace gannethold::window {
namespace {

constexpr Micros kPatience = 2'000'000;  // for a call to come whole, from the connect on
constexpr std::size_t kLongestBody = 64 * 1024;

}  // namespace

class Window::Caller final : public net::Connection::Owner {
  public:
    Caller(Window& window, evutil_socket_t socket)
        : window_(window),
          reader_(http::Kind::request, window.loop_.blocks()),
          limit_(window.loop_,
                 [this] {
                     say({408, "the call came no further\n"});
                 }),
          connection_(window.loop_, *this, socket) {
        limit_.set(net::Loop::now() + kPatience);
    }

    void end() {
        if (std::exchange(over_, true)) return;
        limit_.cancel();
        connection_.close();
        reader_.restart();
        window_.ended_.push_back(this);
    }
    bool over() const { return over_; }
    bool told() const { return answered_ && !connection_.unsent(); }
    bool asks() const { return !answered_; }

    Callers::iterator place;

  private:
    void bytes(std::string_view bytes) override {
        while (!answered_ && !over_) {
            switch (reader_.read(bytes)) {
                case http::Found::nothing:
                    return;
                case http::Found::head: {
                    auto call = read_call(reader_.head());
                    if (const Reply* const none = std::get_if<Reply>(&call)) return say(*none);
                    call_ = std::get<Call>(call);
                    break;
                }
                case http::Found::body:
                    body_ += reader_.piece().size();
                    if (body_ > kLongestBody) return say({413, "no call is so long\n"});
                    break;
                case http::Found::end:
                    // Only now: half a call is none, whatever it would have asked for.
                    return say(window_.clerk_.heed(call_));
                case http::Found::fault:
                    return say(
                        {reader_.fault() == http::Fault::out_of_blocks ? 503 : 400, "this cannot be read\n"});
            }
        }
    }
    void ended(net::Ending) override { end(); }

    void say(const Reply& reply) {
        if (answered_ || over_) return;
        answered_ = true;
        limit_.cancel();
        auto head = http::Writer::answer(reply.status);
        head.field("Content-Type", reply.form).field("Connection", "close").length(reply.body.size());
        net::Blocks out(window_.loop_.blocks());
        reader_.restart();
        if (!out.append(head.head()) || !out.append(reply.body)) return end();
        connection_.write(std::move(out));
        connection_.finish();
    }

    Window& window_;
    http::Reader reader_;
    net::Timer limit_;
    Call call_{};
    std::size_t body_ = 0;
    bool answered_ = false, over_ = false;
    net::Connection connection_;
};

Window::Window(net::Loop& loop, const net::Address& at, Clerk& clerk, log::Log& log)
    : loop_(loop),
      clerk_(clerk),
      log_(log),
      listener_(
          loop, at, [this](evutil_socket_t socket) { accept(socket); }, [this] { make_room(); }) {}

Window::~Window() = default;

void Window::accept(evutil_socket_t socket) {
    if (callers() >= kMostCallers) make_room();
    callers_.push_back(std::make_unique<Caller>(*this, socket));
    callers_.back()->place = std::prev(callers_.end());
}

// Against callers who come and say nothing: who has been answered and only has to close goes first, then
// whoever came first of those that have not made their call.
void Window::make_room() {
    for (const bool told : {true, false})
        for (const auto& caller : callers_)
            if (!caller->over() && (told ? caller->told() : caller->asks())) {
                log_.debug(net::Loop::now(), "window: made room, ", callers(), " callers stand there");
                return caller->end();
            }
}

void Window::sweep() {
    for (Caller* const caller : std::exchange(ended_, {})) callers_.erase(caller->place);
}

}  // namespace gannethold::window
