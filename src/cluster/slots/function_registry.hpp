#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/slots/function.hpp"
#include "cluster/slots/retry_budget.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// All functions that have been configured or reported in this term. The address of a function is stable. The
// active functions are sampled and planned for in each interval: those in use, and those that a new
// configuration may have changed.
class FunctionRegistry {
  public:
    explicit FunctionRegistry(const RetryBudget::Options& retry_budget) : retry_budget_(retry_budget) {}

    // Activates every function; the next deactivate_idle() deactivates those that are not in use.
    void configure(std::shared_ptr<const Configuration> configuration);

    Function& get_or_add(const std::string& name);
    Function* find(const std::string& name) const;
    void activate(Function& function);
    void deactivate_idle(Micros now);

    // Returns the next `count` functions (fewer if there are fewer) in round-robin order.
    std::vector<Function*> next_round_robin(std::size_t count);
    std::size_t group_count() const { return groups_.size(); }

    const std::unordered_set<Function*>& active() const { return active_; }
    const std::unordered_map<std::string, std::unique_ptr<Function>>& all() const { return functions_; }

  private:
    struct GroupKey {
        std::int64_t memory_mb = 0;
        Micros boot_duration = 0;
        std::uint32_t max_concurrency = 0;
        Micros min_latency_target = 0;
        // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
        friend auto operator<=>(const GroupKey&,
                                const GroupKey&) = default;  // NOLINT(modernize-use-nullptr)
    };

    void assign_groups();

    RetryBudget::Options retry_budget_;
    std::shared_ptr<const Configuration> configuration_;  // nullptr: not configured yet
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_set<Function*> active_;
    std::map<GroupKey, FunctionGroup> groups_;
    std::vector<Function*> round_robin_;  // all functions, in the order in which they were added
    std::size_t round_robin_next_ = 0;    // index in round_robin_
};

}  // namespace gannethold::cluster
