// Implements the baseline schedulers.
#include <bench/simulation/baseline_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace guavafield::bench {

namespace internal {

// Output tokens assumed for every request, since a policy without prediction does not know the length.
constexpr double assumedOutputTokens = 200;

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace internal

BaselineScheduler::BaselineScheduler(SchedulerSettings settings, BaselineQueue queue, BaselineRouter router, bool queueAtHost)
    : m_settings(std::move(settings)), m_queue(std::move(queue)), m_router(router), m_queueAtHost(queueAtHost)
{
}

void BaselineScheduler::applyConfiguration(const Configuration &configuration, SteadyTime /*now*/)
{
    const auto previous = std::exchange(m_upstreams, {});
    for (const auto &[id, upstream] : configuration.upstreams) {
        const auto existing = std::ranges::find(previous, id, [](const UpstreamState &it) { return it.upstream.id; });
        m_upstreams.push_back({upstream, existing != previous.end() ? existing->outstanding : 0});
    }
}

void BaselineScheduler::setHostsInDataCentre(std::uint32_t hosts, SteadyTime /*now*/, std::uint32_t /*hostIndex*/)
{
    m_settings.hostsInDataCentre = hosts;
}

double BaselineScheduler::queueRank(const RequestInfo &request)
{
    return std::visit(internal::Overloaded{
                          [](FifoOrder &) { return 0.0; },
                          [&](TierOrder &) { return static_cast<double>(request.tier); },
                          [&](WeightedFairOrder &it) {
                              const double start = std::max(it.virtualTime, it.nextStart[request.team]);
                              it.nextStart[request.team] = start + (0.1 * request.promptTokens + internal::assumedOutputTokens) / request.share;
                              return start;
                          },
                      },
                      m_queue);
}

void BaselineScheduler::enqueue(RequestState &request)
{
    request.key = {queueRank(request.info), ++m_sequence};
    m_waiting.emplace(request.key, request.info.id);
}

Admission BaselineScheduler::submit(RequestInfo request, SteadyTime /*now*/)
{
    auto id = request.id;
    enqueue(m_requests.emplace(std::move(id), RequestState{std::move(request)}).first->second);
    return Queued{};
}

bool BaselineScheduler::canDispatchTo(const UpstreamState &upstream) const
{
    const auto limit = (upstream.upstream.slots + m_settings.hostsInDataCentre - 1) / m_settings.hostsInDataCentre;
    return !upstream.upstream.leaving && (!m_queueAtHost || upstream.outstanding < limit);
}

BaselineScheduler::UpstreamState *BaselineScheduler::route()
{
    std::vector<UpstreamState *> candidates;
    for (auto &it : m_upstreams) {
        if (canDispatchTo(it)) {
            candidates.push_back(&it);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    return std::visit(internal::Overloaded{
                          [&](RoundRobinRouter &it) { return candidates[it.next++ % candidates.size()]; },
                          [&](LeastOutstandingRouter &) { return *std::ranges::min_element(candidates, {}, &UpstreamState::outstanding); },
                          [&](TwoChoicesRouter &it) {
                              auto *first = candidates[it.random.below(candidates.size())];
                              auto *second = candidates[it.random.below(candidates.size())];
                              return second->reported < first->reported ? second : first;
                          },
                      },
                      m_router);
}

std::vector<SchedulerAction> BaselineScheduler::step(SteadyTime /*now*/)
{
    std::vector<SchedulerAction> actions;
    while (!m_waiting.empty()) {
        auto *upstream = route();
        if (upstream == nullptr) {
            break;
        }
        auto &request = m_requests.at(m_waiting.begin()->second);
        if (auto *fair = std::get_if<WeightedFairOrder>(&m_queue)) {
            fair->virtualTime = std::max(fair->virtualTime, std::get<0>(request.key));
        }
        m_waiting.erase(m_waiting.begin());
        ++upstream->outstanding;
        request.upstream = upstream->upstream.id;
        const auto priority = std::holds_alternative<TierOrder>(m_queue) ? request.info.tier : Tier{0};
        actions.emplace_back(DispatchAction{request.info.id, request.upstream, priority, ++request.attempts});
    }
    return actions;
}

void BaselineScheduler::releaseAttempt(RequestState &request)
{
    for (auto &it : m_upstreams) {
        if (it.upstream.id == request.upstream) {
            --it.outstanding;
        }
    }
    request.upstream.clear();
}

AttemptResolution BaselineScheduler::onAttemptEnded(std::string_view request, std::string_view /*upstream*/, const AttemptEnd &end, SteadyTime /*now*/)
{
    const auto it = m_requests.find(request);
    releaseAttempt(it->second);
    const auto *failure = std::get_if<AttemptFailed>(&end);
    const bool retry = failure != nullptr && !failure->answerStarted && it->second.info.repeatable && it->second.attempts < 3;
    if (retry) {
        enqueue(it->second);
        return RetryQueued{};
    }
    m_requests.erase(it);
    return failure != nullptr ? AttemptResolution{Refused{failure->code}} : AttemptResolution{RequestDone{}};
}

void BaselineScheduler::cancel(std::string_view request, SteadyTime /*now*/)
{
    const auto it = m_requests.find(request);
    m_waiting.erase({it->second.key, it->first});
    releaseAttempt(it->second);
    m_requests.erase(it);
}

void BaselineScheduler::onLoadReport(std::string_view upstream, const LoadReport &report, SteadyTime /*now*/)
{
    for (auto &it : m_upstreams) {
        if (it.upstream.id == upstream) {
            it.reported = report.running + report.waiting;
        }
    }
}

void BaselineScheduler::onUpstreamLeaving(std::string_view upstream, Milliseconds /*notice*/, SteadyTime /*now*/)
{
    for (auto &it : m_upstreams) {
        if (it.upstream.id == upstream) {
            it.upstream.leaving = true;
        }
    }
}

} // namespace guavafield::bench
