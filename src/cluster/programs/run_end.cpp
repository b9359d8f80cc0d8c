#include "cluster/programs/run_end.hpp"

namespace gannethold::cluster {
namespace {

constexpr char kNotRunField[] = "X-Request-Not-Run";

RunEnd judge_answer(const HttpMessage& answer, bool fresh) {
    const bool named = !answer.field(kAttemptIdField).empty();
    const bool says_not = !answer.field(kNotRunField).empty() || answer.status == 421;
    if (says_not) {
        // Without our id on a connection that served others it may be an answer too many to one of those.
        if (!named && !fresh) return RunEnd::may_have_run;
        return answer.status == 421 ? RunEnd::misdirected : RunEnd::not_run;
    }
    if (!named || !answer.field("Content-Encoding").empty()) return RunEnd::may_have_run;
    // Of these our client would think that it has not run, and the runner does not say so.
    if (answer.status == 408 || answer.status == 429 || answer.status == 503) return RunEnd::may_have_run;
    return answer.status >= 500 ? RunEnd::failed : RunEnd::answered;
}

}  // namespace

RunEnd judge(CallEnd how, const HttpMessage& answer, bool fresh) {
    switch (how) {
        case CallEnd::unreachable:
            return RunEnd::unreachable;
        case CallEnd::unsent:
            return RunEnd::unsent;
        case CallEnd::broken:
        case CallEnd::malformed:
            return RunEnd::may_have_run;
        case CallEnd::answered:
            return judge_answer(answer, fresh);
    }
    return RunEnd::may_have_run;
}

}  // namespace gannethold::cluster
