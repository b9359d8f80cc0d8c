// What an old dispatcher hands to the new one at an upgrade, as words on a line between them. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "types.hpp"

namespace gannethold::handover {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kLongestWord = std::size_t{16} << 20;

enum class Kind {
    greeting,  // who speaks: version, name, how many others of that name live
    list,      // the runners as the old one holds them, in discovery's form
    troubles,  // whom it avoids or takes for cold, and for how long
    learned,   // a snapshot, encoded as in its file
    done       // that was all that is to be known before serving
};
struct Word {
    Kind kind{};
    std::string body;
};
// A word of a kind that is not known is passed over by whoever reads, so that a newer one may say more.
std::string spell(const Word& word);

class Reader {
  public:
    // Takes all of the bytes. False from then on: this is no such line.
    bool feed(std::string_view bytes);
    std::optional<Word> next();

  private:
    bool sound_ = true;
    std::string held_;
    std::size_t from_ = 0;
};

struct Greeting {
    int version = kVersion;
    std::string name;
    std::size_t others = 0;
};
std::string spell(const Greeting& greeting);
std::optional<Greeting> read_greeting(const std::string& body);

// By a runner's name; microseconds.
struct Trouble {
    Micros aside_for = 0;  // 0: it is not
    Micros cold_for = -1;  // since it started or was last found broken; -1: it is warm
};
using Troubles = std::map<std::string, Trouble>;
std::string spell(const Troubles& troubles);
Troubles read_troubles(const std::string& body);  // what cannot be read is left out

}  // namespace gannethold::handover
