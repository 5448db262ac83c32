// Creates the scheduler of each policy.
#include <bench/simulation/policy.hpp>

namespace guavafield::bench {

std::string_view policyName(PolicyKind kind) noexcept
{
    constexpr std::array<std::string_view, allPolicies.size()> names{
        "guavafield", "fifo-round-robin", "least-outstanding", "two-choices", "strict-priority", "weighted-fair"};
    return names[static_cast<std::size_t>(kind)];
}

Policy::Policy(PolicyKind kind, const SchedulerSettings &settings)
{
    switch (kind) {
    case PolicyKind::Guavafield:
        m_scheduler = std::make_unique<RequestScheduler>(settings);
        break;
    case PolicyKind::FifoRoundRobin:
        m_scheduler = std::make_unique<BaselineScheduler>(settings, BaselineQueue{FifoOrder{}}, BaselineRouter{RoundRobinRouter{}}, false);
        break;
    case PolicyKind::LeastOutstanding:
        m_scheduler = std::make_unique<BaselineScheduler>(settings, BaselineQueue{FifoOrder{}}, BaselineRouter{LeastOutstandingRouter{}}, false);
        break;
    case PolicyKind::TwoChoices:
        m_scheduler = std::make_unique<BaselineScheduler>(settings, BaselineQueue{FifoOrder{}}, BaselineRouter{TwoChoicesRouter{Random(settings.seed)}}, false);
        break;
    case PolicyKind::StrictPriority:
        m_scheduler = std::make_unique<BaselineScheduler>(settings, BaselineQueue{TierOrder{}}, BaselineRouter{LeastOutstandingRouter{}}, true);
        break;
    case PolicyKind::WeightedFair:
        m_scheduler = std::make_unique<BaselineScheduler>(settings, BaselineQueue{WeightedFairOrder{}}, BaselineRouter{LeastOutstandingRouter{}}, true);
        break;
    }
}

} // namespace guavafield::bench
