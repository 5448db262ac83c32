// Scheduler of one host with a self-queueing pool, on a manual clock.
#pragma once

#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <optional>
#include <string>

namespace guavafield::test {

constexpr std::uint32_t sharedTokens = 12'000;

// Scheduler of one host with a pool of engines and a manual clock.
struct PlacementFixture
{
    explicit PlacementFixture(std::uint64_t seed, std::uint32_t upstreams = 6, const StringMap<RegionId> &regions = {})
        : scheduler(SchedulerSettings{"dc", 1, seed, regions})
    {
        auto &pool = configuration.pools["p"];
        pool.id = "p";
        pool.engine = EngineFacts{600'000, 18'432, 80'000};
        for (std::uint32_t n = 0; n < upstreams; ++n) {
            addUpstream("u" + std::to_string(n));
        }
        apply();
    }

    void addUpstream(const std::string &id, const DataCentreId &dataCentre = "dc")
    {
        Upstream upstream;
        upstream.id = id;
        upstream.pool = "p";
        upstream.dataCentre = dataCentre;
        upstream.slots = 64;
        configuration.upstreams[id] = upstream;
    }

    void apply()
    {
        scheduler.applyConfiguration(configuration, now);
    }

    RequestInfo request(std::uint64_t prefix)
    {
        RequestInfo info;
        info.id = "r" + std::to_string(++lastId);
        info.team = "t";
        info.className = "p";
        info.model = "p";
        info.firstTokenTarget = Milliseconds{1'000};
        info.totalTarget = Milliseconds{10'000};
        info.promptTokens = sharedTokens + 1'000;
        info.prefixHashes = {prefix};
        info.prefixTokens = {sharedTokens};
        info.resumable = true;
        info.maxAttempts = 2;
        info.fingerprint[0] = static_cast<std::uint8_t>(lastId);
        info.fingerprint[1] = static_cast<std::uint8_t>(lastId >> 8U);
        return info;
    }

    // Submits a request and returns its dispatch, if there is one.
    std::optional<DispatchAction> send(RequestInfo info)
    {
        refused.reset();
        const auto admission = scheduler.submit(std::move(info), now);
        if (const auto *refusal = std::get_if<Refused>(&admission)) {
            refused = refusal->code;
            return std::nullopt;
        }
        return step();
    }

    std::optional<DispatchAction> step()
    {
        std::optional<DispatchAction> result;
        for (const auto &it : scheduler.step(now)) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&it)) {
                result = *dispatch;
            } else if (const auto *shed = std::get_if<ShedAction>(&it)) {
                refused = shed->refusal.code;
                retryAfter = shed->refusal.retryAfter;
            }
        }
        return result;
    }

    void complete(const DispatchAction &dispatch, Milliseconds firstToken)
    {
        now += firstToken;
        (void)scheduler.onFirstToken(dispatch.request, dispatch.upstream, now);
        scheduler.onTokens(dispatch.request, 1, now);
        for (int n = 0; n < 20; ++n) {
            now += Milliseconds{50};
            // The driver may report the first token with every event.
            (void)scheduler.onFirstToken(dispatch.request, dispatch.upstream, now);
            scheduler.onTokens(dispatch.request, 1, now);
        }
        (void)scheduler.onAttemptEnded(dispatch.request, dispatch.upstream, AttemptCompleted{}, now);
    }

    /*! @brief Lets the scheduler find out that the upstream's process has ended: others are reached, it refuses connections. */
    void endProcess(const UpstreamId &upstream)
    {
        now += Milliseconds{200};
        for (const auto &[id, it] : configuration.upstreams) {
            if (id != upstream) {
                scheduler.onProbe(id, ProbeResult::Answered, now);
            }
        }
        scheduler.onProbe(upstream, ProbeResult::Refused, now);
    }

    Configuration configuration;
    RequestScheduler scheduler;
    SteadyTime now{std::chrono::seconds{1'000}};
    std::uint32_t lastId{0};
    std::optional<ResultCode> refused;
    Milliseconds retryAfter{0};
};

inline AttemptFailed brokenConnection()
{
    AttemptFailed failure{ResultCode::UpstreamIncomplete, RetryReason::AnswerIncomplete};
    failure.upstreamCrashed = true;
    return failure;
}

} // namespace guavafield::test
