// Times, headers and addresses of the attempts of a forwarded request.
#include <guavafield/transport/http/forwarding/forward_attempt_plan.hpp>

#include <guavafield/transport/http/forwarding/relay_headers.hpp>
#include <guavafield/transport/http/path_context.hpp>
#include <guavafield/transport/peer/endpoints.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

// A request that may go to another upstream waits for its first byte for this multiple of the target, within its time.
constexpr double firstByteTargets = 2.5;
// For plain services, the part of the time left after which another upstream is tried.
constexpr double firstBytePart = 0.4;
// A stream that can be continued elsewhere is given up after this multiple of its longest pause, and not before a least time.
constexpr double silentPauses = 4;
constexpr Milliseconds leastSilence{1'500};
Milliseconds scaled(Milliseconds time, double factor)
{
    return Milliseconds{static_cast<Milliseconds::rep>(static_cast<double>(time.count()) * factor)};
}

std::string endpointText(const Configuration &configuration, const UpstreamId &upstream)
{
    const auto it = configuration.upstreams.find(upstream);
    return it == configuration.upstreams.end() ? std::string() : it->second.address + ":" + std::to_string(it->second.port);
}

} // namespace internal

ForwardAttemptPlan makeAttemptPlan(const PathContext &context,
                                   const ForwardPlan &request,
                                   const AttemptFacts &facts,
                                   const Configuration &configuration,
                                   const DispatchAction &dispatch,
                                   const Upstream &upstream)
{
    const auto &call = std::get<ForwardCall>(request.grant.target);
    const auto &target = call.target;
    const auto left = facts.left;
    ForwardAttemptPlan plan;
    plan.number = facts.number;
    plan.id = call.envelope.id;
    plan.upstream = dispatch.upstream;
    plan.stream = target.stream;
    plan.endpoint = endpointOf(upstream.address, upstream.port).value_or(UpstreamEndpoint{});
    plan.firstByteTime = left + answerGrace;
    plan.silenceTime = left + answerGrace;
    const bool another = target.repeat != Repeat::Never && facts.number < target.maxAttempts;
    if (another) {
        plan.firstByteTime = target.stream ? internal::scaled(target.target, internal::firstByteTargets) : internal::scaled(left, internal::firstBytePart);
    }
    if (another && target.repeat == Repeat::Resume) {
        plan.silenceTime = std::max(internal::leastSilence, internal::scaled(target.gapTarget, internal::silentPauses));
    }
    ForwardInstructions instructions{call.envelope, {}, dispatch.upstream, left, {}, {}, {}};
    instructions.team = request.grant.team != nullptr ? std::string_view(request.grant.team->id) : std::string_view();
    const auto pool = configuration.pools.find(call.pool);
    if (pool != configuration.pools.end() && pool->second.engine) {
        instructions.enginePriority = dispatch.enginePriority;
    }
    if (!dispatch.fetchFrom.empty()) {
        instructions.fetchFrom = internal::endpointText(configuration, dispatch.fetchFrom);
    }
    instructions.resumeAfter = facts.lastEvent;
    const bool asks = target.stream && target.repeat == Repeat::Resume && request.method != "HEAD";
    if (asks && !dispatch.anyProcess && !context.hooks.forward->process.target.empty()) {
        plan.incarnation = dispatch.incarnation;
    }
    plan.rateLimit = dispatch.rateLimit;
    plan.request.method_string(request.method);
    plan.request.target(request.target);
    context.hooks.forward->writeRequest(request.headers, instructions, plan.request);
    eraseRelayHeaders(plan.request);
    plan.request.body() = request.body;
    plan.request.prepare_payload();
    return plan;
}

ForwardAttemptPlan
makeRelayPlan(const PathContext &context, const ForwardPlan &request, const AttemptFacts &facts, const RelayTarget &target, std::uint32_t attemptsLeft)
{
    const auto &call = std::get<ForwardCall>(request.grant.target);
    const auto left = facts.left;
    ForwardAttemptPlan plan;
    plan.number = facts.number;
    plan.id = call.envelope.id;
    plan.upstream = target.host;
    plan.endpoint = {toIpAddress(target.callers), target.callers.port};
    plan.stream = call.target.stream;
    plan.relay = true;
    // The other host tries as many upstreams as the route allows, so that there is nothing to try after it.
    plan.firstByteTime = left + answerGrace;
    plan.silenceTime = left + answerGrace;
    RelayInstructions instructions{left, {}, {}};
    if (facts.lastEvent != call.envelope.lastEventId) {
        instructions.resumeAfter = facts.lastEvent;
        instructions.resumes = call.envelope.resumes.empty() ? call.envelope.id : call.envelope.resumes;
    }
    plan.request.method_string(request.method);
    plan.request.target(request.target);
    context.hooks.forward->writeRelay(request.headers, instructions, plan.request);
    eraseRelayHeaders(plan.request);
    plan.request.set(relayedHeader, std::to_string(request.grant.configuration->revision));
    if (attemptsLeft > 0) {
        plan.request.set(relayAttemptsHeader, std::to_string(attemptsLeft));
    }
    plan.request.body() = request.body;
    plan.request.prepare_payload();
    return plan;
}

} // namespace guavafield
