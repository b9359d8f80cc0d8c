// The platform's resources, one handler object each: writes the call, reads the answer.
#pragma once

#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/placement/platform_requests.hpp"
#include "cluster/placement/worker_table.hpp"
#include "cluster/runners/listing.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

// Who acts, for calls that change something: the platform refuses an older number.
struct Fence {
    std::string holder;
    Number number = 0;
};

class RunnerListResource {
  public:
    HttpMessage get(const std::string& token) const;
    // Errors: platform_refused (a status other than 200), bytes_malformed.
    leaf::result<RunnerListPage> read(const HttpMessage& answer) const;
};

class WorkerListResource {
  public:
    HttpMessage get() const;
    leaf::result<std::vector<Worker>> read(const HttpMessage& answer) const;
};

class StartRunnerResource {
  public:
    HttpMessage post(const Fence& fence, const StartRunner& begin) const;
    // begun: with runner and address filled in.
    StartResult read(const HttpMessage& answer, RunnerInfo& begun) const;
};

class StopRunnerResource {
  public:
    HttpMessage post(const Fence& fence, const StopRunner& stop) const;
    bool done(const HttpMessage& answer) const;  // 404: there never was such a one, which is as good
};

}  // namespace gannethold::cluster
