// Scheduler with simulated upstreams and a manual clock, for tests over many steps.
#pragma once

#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Scheduler of one host with upstreams that complete each attempt after a fixed time. */
class SchedulerFixture
{
public:
    struct Running
    {
        std::string upstream;
        SteadyTime started{};
        bool firstToken{false};
    };

    explicit SchedulerFixture(std::uint32_t upstreams, std::uint32_t slots = 4) : scheduler(SchedulerSettings{"dc", 1, 7})
    {
        configuration.models["m"] = Model{"m", "1"};
        for (std::uint32_t n = 0; n < upstreams; ++n) {
            Upstream upstream;
            upstream.id = "u" + std::to_string(n);
            upstream.dataCentre = "dc";
            upstream.slots = slots;
            upstream.models = {"m"};
            configuration.upstreams[upstream.id] = upstream;
        }
        scheduler.applyConfiguration(configuration, now);
    }

    /*! @brief Creates a request with loose targets, which tests may tighten. */
    [[nodiscard]] RequestInfo request(const std::string &team, Tier tier, const std::string &className = "c")
    {
        RequestInfo info;
        info.id = "r" + std::to_string(++m_lastId);
        info.team = team;
        info.className = className;
        info.model = "m";
        info.tier = tier;
        info.firstTokenTarget = Milliseconds{tier == 0 ? 1'000 : 30'000};
        info.totalTarget = Milliseconds{tier == 0 ? 10'000 : 60'000};
        info.promptTokens = 200;
        info.maxOutputTokens = 40;
        info.resumable = true;
        // Unique per request, like the fingerprints of different bodies.
        info.fingerprint[0] = static_cast<std::uint8_t>(m_lastId);
        info.fingerprint[1] = static_cast<std::uint8_t>(m_lastId >> 8U);
        info.fingerprint[2] = static_cast<std::uint8_t>(m_lastId >> 16U);
        return info;
    }

    /*! @brief Submits and returns whether the request was queued. */
    bool submit(RequestInfo info)
    {
        const auto id = info.id;
        infos[id] = info;
        const auto admission = scheduler.submit(std::move(info), now);
        if (const auto *refused = std::get_if<Refused>(&admission)) {
            refusals.emplace_back(id, refused->code);
            return false;
        }
        return true;
    }

    /*! @brief Advances the clock in steps of 10 ms and completes attempts that have run for serviceTime. */
    void run(Milliseconds time)
    {
        for (const auto end = now + time; now < end; now += Milliseconds{10}) {
            completeDue();
            step();
        }
    }

    void step()
    {
        for (const auto &it : scheduler.step(now)) {
            std::visit([this](const auto &action) { perform(action); }, it);
            if (onAction) {
                onAction(it);
            }
        }
    }

    /*! @brief Fails all attempts at an upstream as by a crash of its process. */
    void crash(const std::string &upstream)
    {
        AttemptFailed failure;
        failure.upstreamCrashed = true;
        failure.reason = RetryReason::UpstreamCrashed;
        failAt(upstream, failure);
    }

    void failAt(const std::string &upstream, const AttemptFailed &failure)
    {
        const auto before = running;
        for (const auto &[id, attempt] : before) {
            if (attempt.upstream != upstream) {
                continue;
            }
            running.erase(id);
            const auto verdict = scheduler.onAttemptEnded(id, upstream, failure, now);
            if (const auto *refused = std::get_if<Refused>(&verdict)) {
                refusals.emplace_back(id, refused->code);
            }
        }
    }

    /*! @brief Sends the load report of an upstream whose process has restarted. */
    void restart(const std::string &upstream)
    {
        LoadReport report;
        report.slots = configuration.upstreams.at(upstream).slots;
        report.incarnation = ++m_incarnation;
        scheduler.onLoadReport(upstream, report, now);
    }

    [[nodiscard]] std::size_t runningOf(const std::string &team) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(running, [&](const auto &it) { return infos.at(it.first).team == team; }));
    }

    RequestScheduler scheduler;
    Configuration configuration;
    SteadyTime now = SteadyTime{} + std::chrono::hours{1};
    Milliseconds serviceTime{1'000};
    std::map<std::string, RequestInfo> infos;
    std::map<std::string, Running> running;
    // Completed requests by team.
    std::map<std::string, int> completed;
    std::vector<std::pair<std::string, ResultCode>> refusals;
    std::vector<std::pair<std::string, ResultCode>> sheds;
    int dispatches{0};
    int retriesSent{0};
    std::function<void(const SchedulerAction &)> onAction;

private:
    void perform(const DispatchAction &action)
    {
        ++dispatches;
        retriesSent += action.attempt > 1 ? 1 : 0;
        running[action.request] = {action.upstream, now};
    }
    void perform(const ShedAction &action)
    {
        sheds.emplace_back(action.request, action.refusal.code);
    }
    void perform(const PreemptAction &action)
    {
        running.erase(action.request);
    }
    void perform(const RelayAction &action)
    {
        CPPUNIT_FAIL("request " + action.request + " is relayed although no other host is known");
    }

    void perform(const HedgeAction &action)
    {
        (void)action;
        ++retriesSent;
    }

    void completeDue()
    {
        const auto before = running;
        for (const auto &[id, attempt] : before) {
            if (!attempt.firstToken && now - attempt.started >= Milliseconds{50}) {
                running[id].firstToken = true;
                (void)scheduler.onFirstToken(id, attempt.upstream, now);
                scheduler.onTokens(id, 1, now);
            }
            if (now - attempt.started >= serviceTime) {
                scheduler.onTokens(id, 30, now);
                running.erase(id);
                ++completed[infos.at(id).team];
                (void)scheduler.onAttemptEnded(id, attempt.upstream, AttemptCompleted{}, now);
            }
        }
    }

    std::uint32_t m_lastId{0};
    Incarnation m_incarnation{1};
};

} // namespace guavafield
