// The scheduling policies that the experiments compare, behind a common interface.
#pragma once

#include <bench/simulation/baseline_scheduler.hpp>
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <array>
#include <memory>
#include <string_view>
#include <utility>
#include <variant>

namespace guavafield::bench {

enum class PolicyKind : std::uint8_t {
    Guavafield,
    FifoRoundRobin,
    LeastOutstanding,
    TwoChoices,
    StrictPriority,
    WeightedFair,
};

inline constexpr std::array allPolicies{PolicyKind::Guavafield,
                                        PolicyKind::FifoRoundRobin,
                                        PolicyKind::LeastOutstanding,
                                        PolicyKind::TwoChoices,
                                        PolicyKind::StrictPriority,
                                        PolicyKind::WeightedFair};

/*! @brief Returns the name of a policy in options and reports. */
[[nodiscard]] std::string_view policyName(PolicyKind kind) noexcept;

/*! @brief The scheduler of one simulated host. */
class Policy
{
public:
    Policy(PolicyKind kind, const SchedulerSettings &settings);

    /*! @brief Calls a function with the active scheduler. */
    template <typename Function>
    decltype(auto) apply(Function &&function)
    {
        return std::visit([&](auto &it) -> decltype(auto) { return function(*it); }, m_scheduler);
    }

private:
    std::variant<std::unique_ptr<RequestScheduler>, std::unique_ptr<BaselineScheduler>> m_scheduler;
};

} // namespace guavafield::bench
