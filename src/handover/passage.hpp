// The way between an old and a new dispatcher of one name at an upgrade: a Unix-domain socket in the folder
// that both share. The new one asks there, hears what the old one knows, and takes the place of its socket,
// for a newer one still. As long as the line stands both live, and share limits; its end says that the other
// is gone, however that came.
//
// What else lies there (the socket of a dead process, a foreign file, a foreign speaker) is passed over:
// nothing here is needed in order to serve.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "handover/words.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace gannethold::handover {

// The dispatcher at one end. Called in a turn of the loop.
class Party {
  public:
    virtual std::vector<Word> hand_over() = 0;     // all that a new one is to know
    virtual void handed(const Word& word) = 0;     // by the old one
    virtual void company(std::size_t others) = 0;  // so many of this name live beside this one

  protected:
    ~Party() = default;
};

class Passage {
  public:
    static constexpr std::size_t kDescriptors = 5;  // the socket, an old one, and a few new ones

    Passage(net::Loop& loop, const std::string& folder, std::string name, Party& party, log::Log& log);
    ~Passage();

    // What has changed since, to whoever is new beside this one.
    void tell(const Word& word);
    bool has_heirs() const { return !heirs_.empty(); }
    // Whether all has been heard that there is: false only while an old one is still speaking, and not for
    // long.
    bool settled() const { return settled_; }
    std::size_t others() const;
    void sweep();

  private:
    class Line;
    void open();
    void accept(evutil_socket_t socket);
    void heard(Line& line, const Word& word);
    void ended(Line& line);
    void settle();

    net::Loop& loop_;
    const std::string path_, name_;
    Party& party_;
    log::Log& log_;
    std::unique_ptr<net::Listener> door_;
    std::unique_ptr<Line> elder_;
    std::list<std::unique_ptr<Line>> heirs_, ended_;
    std::size_t elders_others_ = 0, told_others_ = 0;
    bool greeted_ = false, settled_ = false;
    net::Timer patience_;
};

}  // namespace gannethold::handover
