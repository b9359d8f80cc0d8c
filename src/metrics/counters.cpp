#include "metrics/counters.hpp"

namespace gannethold::metrics {

void Counters::on_answered(const std::string& workload, frontend::Answer answer) {
    AnswerCounts& counts = answers_[workload];
    switch (answer) {
        case frontend::Answer::finished:
            ++counts.finished;
            return;
        case frontend::Answer::bounced:
            ++counts.rejected;
            return;
        case frontend::Answer::abandoned:
            ++counts.abandoned;
            return;
    }
}

AnswerCounts Counters::total_answers() const {
    AnswerCounts total;
    for (const auto& [workload, counts] : answers_) {
        total.finished += counts.finished;
        total.rejected += counts.rejected;
        total.abandoned += counts.abandoned;
    }
    return total;
}

}  // namespace gannethold::metrics
