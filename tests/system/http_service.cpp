// Tests over real sockets of what an HttpService owes its clients while its process ends.
#define BOOST_TEST_MODULE http_service
#include "cluster/transport/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <functional>
#include <string>
#include <vector>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kPoolBlocks = 4096;
constexpr int kSmallBuffer = 4096;
constexpr Micros kPatience = 3'000'000;

/// A blocking-free client of one connection.
class Client {
  public:
    explicit Client(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof kSmallBuffer);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() { ::close(socket_); }

    void send(const std::string& bytes) const {
        const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        BOOST_REQUIRE(sent == static_cast<ssize_t>(bytes.size()));
    }

    /// Takes what has arrived.
    void receive() {
        char space[65536];
        for (;;) {
            const ssize_t count = recv(socket_, space, sizeof space, MSG_DONTWAIT);
            if (count > 0) {
                received.append(space, static_cast<std::size_t>(count));
                continue;
            }
            if (count == 0)
                ended = true;
            else if (errno == ECONNRESET)
                reset = true;
            return;
        }
    }

    std::string received;
    bool ended = false;
    bool reset = false;

  private:
    int socket_;
};

struct Fixture {
    Fixture()
        : service(loop, any_local_port(),
                  {[this](ExchangeId exchange, HttpMessage&&) { requests.push_back(exchange); },
                   [](ExchangeId) {}},
                  16) {}

    static net::Address any_local_port() {
        net::Address address;
        auto* const where = reinterpret_cast<sockaddr_in*>(&address.where);
        where->sin_family = AF_INET;
        where->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.length = sizeof *where;
        return address;
    }

    bool turn_until(const std::function<bool()>& holds) {
        const Micros end = net::Loop::now() + kPatience;
        while (net::Loop::now() < end) {
            loop.turn(false);
            service.close_expired(net::Loop::now());
            if (holds()) return true;
            usleep(200);
        }
        return false;
    }

    static HttpMessage answer_with(std::size_t bytes) {
        HttpMessage answer;
        answer.status = 200;
        answer.body.assign(bytes, 'x');
        return answer;
    }

    net::Loop loop{kPoolBlocks};
    std::vector<ExchangeId> requests;
    HttpServer service;
};

const std::string kRequest = "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\nhi";

BOOST_FIXTURE_TEST_CASE(a_request_that_meets_the_closing_of_idle_connections_is_not_read, Fixture) {
    Client client(service.port());
    BOOST_REQUIRE(turn_until([&] { return service.connections() == 1; }));
    BOOST_TEST(service.busy_connections() == 0U);
    client.send(kRequest);
    service.disable_keep_alive();
    service.drain();
    // A reset says that the request was not read, so that the client may send it elsewhere.
    BOOST_TEST(turn_until([&] {
        client.receive();
        return client.reset;
    }));
    BOOST_TEST(requests.empty());
    BOOST_TEST(client.received.empty());
    BOOST_TEST(service.connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_request_half_read_when_idle_connections_close_is_read_and_answered, Fixture) {
    Client client(service.port());
    const std::size_t half = kRequest.size() / 2;
    client.send(kRequest.substr(0, half));
    BOOST_REQUIRE(turn_until([&] { return service.busy_connections() == 1; }));
    service.disable_keep_alive();
    service.drain();
    BOOST_TEST(service.busy_connections() == 1U);
    client.send(kRequest.substr(half));
    BOOST_REQUIRE(turn_until([&] { return requests.size() == 1; }));
    BOOST_TEST(service.busy_connections() == 1U);
    service.respond(requests.front(), answer_with(5));
    BOOST_TEST(turn_until([&] {
        client.receive();
        return client.ended;
    }));
    BOOST_TEST(client.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(client.received.ends_with("\r\n\r\nxxxxx"));
    BOOST_TEST(service.busy_connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_is_unfinished_until_its_last_byte_is_written, Fixture) {
    constexpr std::size_t kBody = 16U << 20;
    Client client(service.port());
    client.send(kRequest);
    BOOST_REQUIRE(turn_until([&] { return requests.size() == 1; }));
    service.disable_keep_alive();
    service.drain();
    service.respond(requests.front(), answer_with(kBody));
    for (int turn = 0; turn < 100; ++turn) loop.turn(false);
    BOOST_TEST(service.pending_exchanges() == 0U);
    BOOST_TEST(service.busy_connections() == 1U);
    BOOST_TEST(turn_until([&] {
        client.receive();
        return client.ended;
    }));
    BOOST_TEST(client.received.size() > kBody);
    BOOST_TEST(service.busy_connections() == 0U);
}

}  // namespace
}  // namespace gannethold::cluster
