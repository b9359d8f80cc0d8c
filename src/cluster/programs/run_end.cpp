#include "cluster/programs/run_end.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kNotRunField[] = "X-Request-Not-Run";

AttemptResult judge_answer(const HttpMessage& answer, bool fresh) {
    const bool named = !answer.field(kAttemptIdField).empty();
    const bool says_not = !answer.field(kNotRunField).empty() || answer.status == 421;
    if (says_not) {
        // Without our id on a connection that served others it may be an answer too many to one of those.
        if (!named && !fresh) return AttemptResult::may_have_run;
        return answer.status == 421 ? AttemptResult::misdirected : AttemptResult::not_run;
    }
    if (!named || !answer.field("Content-Encoding").empty()) return AttemptResult::may_have_run;
    // Of these our client would think that it has not run, and the runner does not say so.
    if (answer.status == 408 || answer.status == 429 || answer.status == 503)
        return AttemptResult::may_have_run;
    return answer.status >= 500 ? AttemptResult::failed : AttemptResult::answered;
}

}  // namespace

AttemptResult judge(CallResult result, const HttpMessage& answer, bool fresh) {
    switch (result) {
        case CallResult::unreachable:
            return AttemptResult::unreachable;
        case CallResult::unsent:
            return AttemptResult::unsent;
        case CallResult::connection_lost:
        case CallResult::malformed_response:
            return AttemptResult::may_have_run;
        case CallResult::completed:
            return judge_answer(answer, fresh);
    }
    return AttemptResult::may_have_run;
}

}  // namespace gannethold::cluster
