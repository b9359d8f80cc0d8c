// What other dispatchers said that they have out, by peer and runner. Keeps the count; what is made of it is
// the decision module's.
#pragma once

#include <map>

#include "fleet.hpp"

namespace gannethold {

class PeerBook {
  public:
    // Takes the words in and calls `more(runner, n)` for what was newly sent to a runner of our own list:
    // others take no room.
    template <class More>
    void hear(PeerId from, const PeerWords& words, Micros now, Fleet& fleet, More more) {
        Peer& peer = peers_[from];
        peer.heard_at = now;
        for (const auto& [id, n] : words.out) {
            Runner* r = fleet.find(id);
            if (!r) continue;
            int& known = peer.out[id];
            if (n > known) more(*r, n - known);
            r->peers_out += n - known;
            known = n;
        }
        if (!words.all) return;
        for (auto& [id, known] : peer.out)
            if (!words.out.count(id)) forget(fleet, id, known);
    }

    void forget_silent_since(Micros then, Fleet& fleet) {
        for (auto& [from, peer] : peers_)
            if (peer.heard_at < then)
                for (auto& [id, known] : peer.out) forget(fleet, id, known);
    }

  private:
    struct Peer {
        Micros heard_at = 0;
        std::map<RunnerId, int> out;
    };

    static void forget(Fleet& fleet, RunnerId id, int& known) {
        if (Runner* r = fleet.find(id)) r->peers_out -= known;
        known = 0;
    }

    std::map<PeerId, Peer> peers_;
};

}  // namespace gannethold
