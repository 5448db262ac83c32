// Admission control: predicts the queueing delay of a request and compares it with its targets.
#include <guavafield/coordination/request/admission/admission_control.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// Quantile of the output length whose time has to fit the total target.
constexpr double lengthQuantile = 0.95;
// Prefill time depends on concurrent prefills of the engine; this multiple of the mean is reserved for it.
constexpr double prefillReserve = 1.5;
// A request is refused for its length alone only if an answer of median length would miss the target.
constexpr double medianQuantile = 0.5;
// Fraction of the target that remains for queueing when the reserved times would exceed it.
constexpr double minWaitFraction = 0.1;
// The prediction is a mean, so the predicted wait has to stay below this fraction of the allowance.
constexpr double admittedFractionOfAllowance = 0.8;
// Later requests of teams that received less service overtake queued ones. A top-tier request, whose wait is short,
// assumes this multiple of the queue ahead of it.
constexpr double overtakingFactor = 3;
constexpr std::size_t maxQueuedPerTier = 20'000;
constexpr double minRetrySeconds = 0.25;
constexpr double maxRetrySeconds = 60;
constexpr double minJitter = 0.8;
constexpr double jitterRange = 0.5;

double seconds(Milliseconds time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

/*! @brief Expected number of queued requests that are served before a new one of a team. */
double requestsAhead(const FairQueue &queue, const RequestInfo &request)
{
    if (queue.waitingCost() <= 0) {
        return 0;
    }
    return static_cast<double>(queue.size()) * queue.costAhead(request) / queue.waitingCost();
}

} // namespace internal

void AdmissionControl::estimate(RequestEntry &entry, const Model &model)
{
    const auto &info = entry.info;
    const double tokens = m_times.expectedTokens(info);
    entry.expectedCost = model.promptCost * info.promptTokens + model.outputCost * tokens;
    entry.work = m_times.prefillSeconds(info) + tokens * m_times.speed(info.model, info.tier).tokenSeconds;
    const auto allowed = allowance(info, entry.submitted);
    entry.latestStart = addSeconds(entry.submitted, std::max(0.0, std::min(allowed.firstToken, allowed.total)));
}

AdmissionControl::Allowance AdmissionControl::allowance(const RequestInfo &request, SteadyTime now)
{
    const double firstTarget = internal::seconds(request.firstTokenTarget);
    const double totalTarget = internal::seconds(request.totalTarget);
    const double prefill = m_times.prefillSeconds(request);
    const bool measured = m_times.measuredRecently(request, now);
    Allowance allowed;
    allowed.firstToken =
        std::max(firstTarget - internal::prefillReserve * prefill, !measured || prefill < firstTarget ? internal::minWaitFraction * firstTarget : -1.0);
    const double median = prefill + m_times.outputSeconds(request, internal::medianQuantile);
    const double conservative = internal::prefillReserve * prefill + m_times.outputSeconds(request, internal::lengthQuantile);
    allowed.total = std::max(totalTarget - conservative, !measured || median < totalTarget ? internal::minWaitFraction * totalTarget : -1.0);
    return allowed;
}

AdmissionControl::Prediction AdmissionControl::predictTopTier(const Pool &pool, const RequestEntry &entry)
{
    const auto &stats = pool.tiers[0];
    const double slots = std::max(1.0, pool.slots * fractionOutsideFloors);
    const double secondsPerTurn = std::max(stats.meanWork, entry.work) / slots;
    // Counts only requests that lack a slot because of their own tier; those blocked by lower tiers preempt them.
    const double excess = stats.running + static_cast<double>(pool.queue.tier(0).size()) + 1 - slots;
    const double busy = std::clamp(stats.running + 1 - slots, 0.0, std::max(0.0, excess));
    const double ahead = std::min(internal::requestsAhead(pool.queue.tier(0), entry.info), std::max(0.0, excess - busy));
    return {(busy + internal::overtakingFactor * ahead) * secondsPerTurn, busy * secondsPerTurn};
}

AdmissionControl::Prediction AdmissionControl::predictLowerTier(const Pool &pool, const RequestEntry &entry, SteadyTime now)
{
    const auto tier = entry.info.tier;
    const auto &queue = pool.queue.tier(tier);
    double higherWork = 0;
    double higherLoad = 0;
    double running = 0;
    for (Tier it = 0; it <= tier; ++it) {
        running += pool.tiers[it].running;
        if (it < tier) {
            higherWork += pool.queue.tier(it).waitingWork();
            higherLoad += pool.tiers[it].admittedWork.rateAt(now);
        }
    }
    const double slots = pool.slots * (1 - floorFraction * (tierCount - 1 - tier));
    const double left = std::max(slots - higherLoad, floorFraction * pool.slots);
    const double shareWork = queue.waitingCost() > 0 ? queue.waitingWork() * queue.costAhead(entry.info) / queue.waitingCost() : 0;
    const double turn = running + 1 > slots ? std::max(pool.tiers[tier].meanWork, entry.work) : 0;
    Prediction prediction;
    prediction.waitWithoutShare = (higherWork + turn) / left;
    prediction.wait = prediction.waitWithoutShare + shareWork / left;
    if (higherLoad > slots / 2) {
        prediction.cause = ResultCode::ShedForHigherTier;
    }
    return prediction;
}

bool AdmissionControl::floorServesInTime(const Pool &pool, const RequestEntry &entry, double allowed, SteadyTime now)
{
    const auto &queue = pool.queue.tier(entry.info.tier);
    if (entry.info.tier == 0 || queue.hasWaitingRequest(entry.info)) {
        return false;
    }
    const double turns = pool.queue.dispatchesToFloor(entry.info.tier) + floorInterval * static_cast<double>(queue.classesAhead(entry.info)) + 1;
    return turns <= allowed * pool.dispatches.rateAt(now);
}

std::optional<Refused> AdmissionControl::check(const Pool &pool, const RequestEntry &entry, SteadyTime now)
{
    if (pool.slots <= 0) {
        return refusal(ResultCode::NoUpstream, 1);
    }
    if (pool.queue.tier(entry.info.tier).size() >= internal::maxQueuedPerTier) {
        return refusal(ResultCode::QueueFull, 1);
    }
    const auto allowed = allowance(entry.info, entry.submitted);
    const bool firstTokenBinds = allowed.firstToken <= allowed.total;
    const auto unreachable = firstTokenBinds ? ResultCode::FirstTokenTargetUnreachable : ResultCode::TotalTargetUnreachable;
    const double wait = internal::admittedFractionOfAllowance * std::min(allowed.firstToken, allowed.total);
    const auto prediction = entry.info.tier == 0 ? predictTopTier(pool, entry) : predictLowerTier(pool, entry, now);
    if (wait >= 0 && (prediction.wait <= wait || floorServesInTime(pool, entry, wait, now))) {
        return std::nullopt;
    }
    if (wait < 0) {
        return refusal(unreachable, internal::maxRetrySeconds);
    }
    if (prediction.waitWithoutShare <= wait) {
        return refusal(ResultCode::ShareExceeded, prediction.wait);
    }
    const auto code = prediction.cause == ResultCode::ShedForHigherTier ? prediction.cause : unreachable;
    return refusal(code, prediction.wait);
}

Refused AdmissionControl::refusal(ResultCode code, double drainSeconds)
{
    const double bounded = std::clamp(drainSeconds, internal::minRetrySeconds, internal::maxRetrySeconds);
    const double jittered = bounded * (internal::minJitter + internal::jitterRange * m_random.uniform());
    return {code, Milliseconds{static_cast<std::int64_t>(jittered * 1000)}};
}

} // namespace guavafield
