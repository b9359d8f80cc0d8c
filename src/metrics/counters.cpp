#include "metrics/counters.hpp"

namespace gannethold::figures {

void Tally::ended(const std::string& workload, fronts::Answer answer) {
    Ends& e = ends_[workload];
    switch (answer) {
        case fronts::Answer::finished:
            ++e.finished;
            return;
        case fronts::Answer::bounced:
            ++e.bounced;
            return;
        case fronts::Answer::abandoned:
            ++e.abandoned;
            return;
    }
}

Ends Tally::all() const {
    Ends sum;
    for (const auto& [name, e] : ends_)
        sum.finished += e.finished, sum.bounced += e.bounced, sum.abandoned += e.abandoned;
    return sum;
}

}  // namespace gannethold::figures
