// The connection between an old and a new dispatcher of the same name at an upgrade: a Unix-domain socket in
// a folder that both share. The new dispatcher connects to it, receives the old one's state, and then
// replaces the socket by its own for the next upgrade. While the connection is open both processes run and
// share their limits; when it closes, for whatever reason, the other process is gone.
//
// Anything else at that path (the socket of a dead process, a foreign file, a foreign process) is ignored: a
// dispatcher can serve without a handover.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "handover/messages.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace gannethold::handover {

// Implemented by the dispatcher. Called on the event loop's thread.
class HandoverHandler {
  public:
    virtual std::vector<Message> collect_handover() = 0;           // the state for a new dispatcher
    virtual void on_handover_message(const Message& message) = 0;  // from the old dispatcher
    // The number of other dispatchers of this name that run beside this one.
    virtual void on_dispatcher_count(std::size_t others) = 0;

  protected:
    ~HandoverHandler() = default;
};

// One dispatcher's end: at most one connection to its predecessor and a few to its successors.
class HandoverChannel {
  public:
    // The listening socket, the connection to the predecessor, and those to the successors.
    static constexpr std::size_t kDescriptors = 5;

    HandoverChannel(net::Loop& loop, const std::string& folder, std::string name, HandoverHandler& handler,
                    log::Log& log);
    ~HandoverChannel();

    // Sends a later change to all successors.
    void send(const Message& message);
    bool has_successors() const { return !successors_.empty(); }
    // False only while the predecessor is still sending its state, which a timeout bounds.
    bool is_settled() const { return settled_; }
    std::size_t others() const;
    void erase_ended_sessions();

  private:
    class Session;
    void open();
    void accept(evutil_socket_t socket);
    void on_message(Session& session, const Message& message);
    void on_ended(Session& session);
    void settle();

    net::Loop& loop_;
    const std::string path_, name_;
    HandoverHandler& handler_;
    log::Log& log_;
    std::unique_ptr<net::Listener> listener_;
    std::unique_ptr<Session> predecessor_;
    std::list<std::unique_ptr<Session>> successors_, ended_;
    std::size_t predecessors_others_ = 0, reported_others_ = 0;
    bool greeted_ = false, settled_ = false;
    net::Timer timeout_;
};

}  // namespace gannethold::handover
