// Learns service times from completed requests and arriving tokens.
#include <guavafield/coordination/request/admission/service_times.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

constexpr double tokenTimeWeight = 0.005;
constexpr double prefillTimeWeight = 0.03;
// The 90% quantile of the prior is this fraction of the time that the targets leave for output.
constexpr double priorFractionOfTarget = 0.6;
// Ratio of the 90% quantile to the median of the prior.
constexpr double priorSpread = 2.8;
// Even a short prompt takes one engine iteration, which is counted as this many tokens.
constexpr double minPromptTokens = 100;
constexpr Milliseconds measurementValidity{30'000};

double promptWeight(const RequestInfo &request) noexcept
{
    return std::max<double>(minPromptTokens, request.promptTokens);
}

double capAtCallerLimit(const RequestInfo &request, double tokens) noexcept
{
    return request.maxOutputTokens > 0 ? std::min<double>(tokens, request.maxOutputTokens) : tokens;
}

} // namespace internal

LengthModel &ServiceTimes::lengths(const RequestInfo &request)
{
    return answerLengthsOf(request).model;
}

ServiceTimes::AnswerLengths &ServiceTimes::answerLengthsOf(const RequestInfo &request)
{
    const LengthKey key{request.team, request.className, request.model};
    if (const auto it = m_lengths.find(key); it != m_lengths.end()) {
        return it->second;
    }
    const double left = std::chrono::duration<double>(request.totalTarget - request.firstTokenTarget).count();
    const double median = internal::priorFractionOfTarget * std::max(left, 0.0) / ModelSpeed{}.tokenSeconds / internal::priorSpread;
    return m_lengths.emplace(key, AnswerLengths{LengthModel(median)}).first->second;
}

ModelSpeed &ServiceTimes::speedOf(const ModelId &model, Tier tier)
{
    const auto it = m_speeds.find(model);
    return (it != m_speeds.end() ? it->second : m_speeds[model])[tier];
}

const ModelSpeed &ServiceTimes::speed(const ModelId &model, Tier tier)
{
    return speedOf(model, tier);
}

double ServiceTimes::prefillSeconds(const RequestInfo &request)
{
    return speedOf(request.model, request.tier).prefillSeconds * internal::promptWeight(request);
}

double ServiceTimes::outputSeconds(const RequestInfo &request, double probability, std::uint32_t delivered)
{
    const double tokens = internal::capAtCallerLimit(request, lengths(request).quantile(probability, delivered));
    return std::max(0.0, tokens - delivered) * speedOf(request.model, request.tier).tokenSeconds;
}

double ServiceTimes::expectedTokens(const RequestInfo &request, std::uint32_t delivered)
{
    const double remaining = lengths(request).meanRemaining(delivered);
    return std::max(0.0, internal::capAtCallerLimit(request, delivered + remaining) - delivered);
}

bool ServiceTimes::measuredRecently(const RequestInfo &request, SteadyTime now)
{
    const auto &firstToken = speedOf(request.model, request.tier).lastFirstToken;
    const auto &end = answerLengthsOf(request).lastEnd;
    return firstToken && end && now - std::min(*firstToken, *end) < internal::measurementValidity;
}

void ServiceTimes::onEnded(const RequestInfo &request, std::uint32_t tokens, SteadyTime now)
{
    auto &answers = answerLengthsOf(request);
    answers.model.onEnded(LengthModel::bucketOf(tokens));
    answers.lastEnd = now;
}

void ServiceTimes::onFirstToken(const RequestInfo &request, double seconds, SteadyTime now)
{
    auto &speed = speedOf(request.model, request.tier);
    speed.lastFirstToken = now;
    speed.prefillSeconds += internal::prefillTimeWeight * (seconds / internal::promptWeight(request) - speed.prefillSeconds);
}

void ServiceTimes::onTokens(const RequestInfo &request, double seconds, std::uint32_t count)
{
    auto &speed = speedOf(request.model, request.tier);
    const double weight = std::min(1.0, internal::tokenTimeWeight * count);
    speed.tokenSeconds += weight * (seconds / count - speed.tokenSeconds);
}

void ServiceTimes::retainTeams(const std::set<std::string, std::less<>> &teams)
{
    std::erase_if(m_lengths, [&](const auto &it) { return !teams.contains(std::get<0>(it.first)); });
}

} // namespace guavafield
