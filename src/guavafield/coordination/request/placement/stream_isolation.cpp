// Demand of both groups and the boundary between their engines.
#include <guavafield/coordination/request/placement/stream_isolation.hpp>

#include <algorithm>
#include <cmath>

namespace guavafield {

namespace internal {

constexpr double demandTimeConstantSeconds = 20;
// Common chunk size of engines that prefill between decoding steps.
constexpr double prefillChunkTokens = 2'048;
// Prompts below this size take one chunk, most of the time.
constexpr double minLongPromptTokens = 1.5 * prefillChunkTokens;
constexpr double initialStepSeconds = 0.005;
// The tracked step time settles where one sample in five is shorter, as most longer ones include a chunk.
constexpr double stepLearningWeight = 0.01;
constexpr double undisturbedFraction = 0.2;
// Engines of one pool differ in speed, and full batches slow them down further.
constexpr double slowestEngineFactor = 1.4;
// With fewer recent streams that have a short target, there is nothing to protect.
constexpr double minSensitiveStreams = 0.5;
constexpr double millisecondsPerSecond = 1'000;
// A coarse boundary, so that hosts whose demand differs a little agree on it.
constexpr double boundaryStep = 0.125;
constexpr double boundaryHysteresis = 0.04;
// Waiting time after which a long prompt moves to the other range; it delays all streams there.
constexpr double longPenaltySeconds = 0.1;
constexpr double otherPenaltySeconds = 0.06;

} // namespace internal

StreamIsolation::StreamIsolation(std::uint32_t tokensPerEvent) noexcept
    : m_tokensPerEvent(tokensPerEvent)
    , m_stepSeconds(internal::initialStepSeconds)
    , m_longDemand(internal::demandTimeConstantSeconds)
    , m_otherDemand(internal::demandTimeConstantSeconds)
    , m_sensitiveStreams(internal::demandTimeConstantSeconds)
{
}

void StreamIsolation::onDispatch(const RequestInfo &request, double prefillSeconds, SteadyTime now)
{
    demandOf(request).add(prefillSeconds, now);
    if (isSensitive(request)) {
        m_sensitiveStreams.add(1, now);
    }
}

void StreamIsolation::onEnded(const RequestInfo &request, double runSeconds, double slotFraction, SteadyTime now)
{
    demandOf(request).add(runSeconds * slotFraction, now);
}

void StreamIsolation::onPause(double seconds) noexcept
{
    if (m_tokensPerEvent == 0) {
        return;
    }
    const double sample = seconds / m_tokensPerEvent;
    const double direction = sample > m_stepSeconds ? internal::undisturbedFraction : internal::undisturbedFraction - 1;
    m_stepSeconds += internal::stepLearningWeight * direction * m_stepSeconds;
}

void StreamIsolation::update(double tokensPerSecond, SteadyTime now)
{
    const double chunkSeconds = internal::prefillChunkTokens / tokensPerSecond;
    m_disturbedPause = internal::slowestEngineFactor * m_tokensPerEvent * (m_stepSeconds + chunkSeconds);
    const double longDemand = m_longDemand.valueAt(now) + static_cast<double>(m_peerLong) / internal::millisecondsPerSecond;
    const double otherDemand = m_otherDemand.valueAt(now) + static_cast<double>(m_peerOther) / internal::millisecondsPerSecond;
    const double sensitive = m_sensitiveStreams.valueAt(now) + static_cast<double>(m_peerSensitive);
    if (sensitive < internal::minSensitiveStreams || longDemand <= 0 || otherDemand <= 0) {
        m_boundary = 0;
        return;
    }
    const double wanted = std::clamp(otherDemand / (otherDemand + longDemand), internal::boundaryStep, 1 - internal::boundaryStep);
    if (std::abs(wanted - m_boundary) > internal::boundaryStep / 2 + internal::boundaryHysteresis || m_boundary == 0) {
        m_boundary = internal::boundaryStep * std::round(wanted / internal::boundaryStep);
    }
}

EngineDemand StreamIsolation::localDemand(SteadyTime now) const noexcept
{
    const auto rounded = [](double value) { return static_cast<std::uint32_t>(std::lround(value)); };
    return {0,
            rounded(m_longDemand.valueAt(now) * internal::millisecondsPerSecond),
            rounded(m_otherDemand.valueAt(now) * internal::millisecondsPerSecond),
            rounded(m_sensitiveStreams.valueAt(now))};
}

void StreamIsolation::addPeerDemand(const EngineDemand &demand, int sign) noexcept
{
    m_peerLong += sign * static_cast<std::int64_t>(demand.longMilliseconds);
    m_peerOther += sign * static_cast<std::int64_t>(demand.otherMilliseconds);
    m_peerSensitive += sign * static_cast<std::int64_t>(demand.sensitiveStreams);
}

EngineRange StreamIsolation::rangeFor(const RequestInfo &request) const noexcept
{
    if (m_boundary == 0) {
        return {};
    }
    return hasLongPrompt(request) ? EngineRange{m_boundary, 1, internal::longPenaltySeconds} : EngineRange{0, m_boundary, internal::otherPenaltySeconds};
}

bool StreamIsolation::isSensitive(const RequestInfo &request) const noexcept
{
    return request.gapTarget.count() > 0 && Seconds(request.gapTarget).count() < m_disturbedPause;
}

bool StreamIsolation::hasLongPrompt(const RequestInfo &request) noexcept
{
    return request.promptTokens >= internal::minLongPromptTokens;
}

} // namespace guavafield
