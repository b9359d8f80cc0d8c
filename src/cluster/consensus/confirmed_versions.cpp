#include "cluster/consensus/confirmed_versions.hpp"

#include <algorithm>

namespace gannethold::cluster {

const ConfirmedVersion* find_confirmed(const std::vector<ConfirmedVersion>& records,
                                       ConfigurationVersion version) {
    const auto found = std::find_if(records.rbegin(), records.rend(), [&](const ConfirmedVersion& record) {
        return record.version == version;
    });
    return found == records.rend() ? nullptr : &*found;
}

void add_confirmed(std::vector<ConfirmedVersion>& records, const ConfirmedVersion& record) {
    records.push_back(record);
    if (records.size() > kMaxConfirmedVersions) records.erase(records.begin());
}

std::vector<ConfirmedVersion> confirmed_after(const std::vector<ConfirmedVersion>& records, LogIndex index) {
    std::vector<ConfirmedVersion> later;
    std::copy_if(records.begin(), records.end(), std::back_inserter(later),
                 [&](const ConfirmedVersion& record) { return record.index > index; });
    return later;
}

bool may_have_dropped_records(const std::vector<ConfirmedVersion>& records) {
    return records.size() >= kMaxConfirmedVersions;
}

}  // namespace gannethold::cluster
