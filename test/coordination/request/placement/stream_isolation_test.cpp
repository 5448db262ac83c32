// Tests of the division of engines between long prompts and streams with short pause targets.
#include "coordination/request/placement/chunked_engine.hpp"

#include <guavafield/coordination/request/placement/stream_isolation.hpp>
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>
#include <guavafield/coordination/request/split_mix.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace guavafield {

namespace {

constexpr double tokensPerSecond = 41'400;

// Requests of one class and how often they arrive.
struct LoadClass
{
    std::string name;
    double perSecond{0};
    std::uint32_t sharedTokens{0};
    std::uint32_t ownTokens{0};
    std::uint32_t prefixes{1};
    std::uint32_t events{1};
    Milliseconds firstTokenTarget{1'000};
    Milliseconds gapTarget{0};
    std::uint8_t priority{0};
};

// What the callers of one class got.
struct ClassResult
{
    int finished{0};
    int lateFirstEvent{0};
    int latePause{0};
    int refused{0};

    [[nodiscard]] double lateFraction() const
    {
        return static_cast<double>(lateFirstEvent + latePause + refused) / std::max(1, finished + refused);
    }
};

LoadClass reports(double perSecond)
{
    return {"report", perSecond, 6'300, 2'890, 400, 12, Milliseconds{1'500}, Milliseconds{1'000}, 2};
}

LoadClass guidance(double perSecond)
{
    return {"guidance", perSecond, 172, 543, 20, 60, Milliseconds{300}, Milliseconds{250}, 1};
}

// Plays a load on engines behind one host and measures what callers get.
class LoadPlayer
{
public:
    LoadPlayer(std::uint32_t engines, std::uint32_t tokensPerEvent) : m_scheduler(SchedulerSettings{"dc", 1, 1})
    {
        Configuration configuration;
        auto &pool = configuration.pools["p"];
        pool.id = "p";
        pool.engine = EngineFacts{200'000, 18'432, 80'000, tokensPerEvent};
        for (std::uint32_t n = 0; n < engines; ++n) {
            Upstream upstream;
            upstream.id = "u" + std::to_string(n);
            upstream.pool = "p";
            upstream.dataCentre = "dc";
            upstream.slots = 96;
            configuration.upstreams[upstream.id] = upstream;
            test::EngineSpeed speed;
            speed.slowness = n % 3 == 0 ? 1.3 : 1;
            m_engines.emplace(upstream.id, Engine{test::ChunkedEngine(speed), std::nullopt, {}});
        }
        m_scheduler.applyConfiguration(configuration, m_now);
    }

    std::map<std::string, ClassResult> play(const std::vector<LoadClass> &load, double seconds)
    {
        const auto end = addSeconds(m_now, seconds);
        std::vector<SteadyTime> next;
        next.reserve(load.size());
        for (const auto &it : load) {
            next.push_back(addSeconds(m_now, interval(it.perSecond)));
        }
        while (true) {
            const auto arrival = static_cast<std::size_t>(std::ranges::min_element(next) - next.begin());
            const auto engine = nextEngine();
            if (engine != m_engines.end() && *engine->second.stepEnd <= next[arrival]) {
                finishStep(engine->first, engine->second);
            } else if (next[arrival] < end) {
                m_now = next[arrival];
                submit(load[arrival]);
                next[arrival] = addSeconds(m_now, interval(load[arrival].perSecond));
            } else if (engine != m_engines.end()) {
                next.assign(next.size(), SteadyTime::max());
            } else {
                return std::exchange(m_results, {});
            }
        }
    }

    [[nodiscard]] std::size_t enginesUsed() const
    {
        return m_used.size();
    }

private:
    struct Engine
    {
        test::ChunkedEngine model;
        std::optional<SteadyTime> stepEnd;
        // Sent at the end of the current step.
        std::vector<test::RunEvent> events;
    };

    struct Caller
    {
        const LoadClass *kind{nullptr};
        SteadyTime submitted{};
        std::optional<SteadyTime> lastEvent;
        bool lateFirstEvent{false};
        bool latePause{false};
        UpstreamId upstream;
    };

    double interval(double perSecond)
    {
        return -std::log(1 - m_random.uniform()) / perSecond;
    }

    std::map<UpstreamId, Engine>::iterator nextEngine()
    {
        auto result = m_engines.end();
        for (auto it = m_engines.begin(); it != m_engines.end(); ++it) {
            if (it->second.stepEnd && (result == m_engines.end() || *it->second.stepEnd < *result->second.stepEnd)) {
                result = it;
            }
        }
        return result;
    }

    void submit(const LoadClass &kind)
    {
        RequestInfo info;
        info.id = "r" + std::to_string(++m_lastId);
        info.team = "t";
        info.className = "p";
        info.model = "p";
        info.firstTokenTarget = kind.firstTokenTarget;
        info.totalTarget = Milliseconds{8'000};
        info.gapTarget = kind.gapTarget;
        info.promptTokens = kind.sharedTokens + kind.ownTokens;
        const auto prefix = static_cast<std::uint64_t>(m_random.uniform() * kind.prefixes) * 7'919 + kind.sharedTokens;
        info.prefixHashes = {prefix};
        info.prefixTokens = {kind.sharedTokens};
        info.enginePriority = kind.priority;
        info.fingerprint[0] = static_cast<std::uint8_t>(m_lastId);
        info.fingerprint[1] = static_cast<std::uint8_t>(m_lastId >> 8U);
        const auto id = info.id;
        m_callers[id] = Caller{&kind, m_now, std::nullopt, false, false, {}};
        if (std::holds_alternative<Refused>(m_scheduler.submit(std::move(info), m_now))) {
            ++m_results[kind.name].refused;
            return;
        }
        for (const auto &it : m_scheduler.step(m_now)) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&it)) {
                dispatchTo(*dispatch, kind, prefix);
            } else if (std::holds_alternative<ShedAction>(it)) {
                ++m_results[kind.name].refused;
            }
        }
    }

    void dispatchTo(const DispatchAction &dispatch, const LoadClass &kind, std::uint64_t prefix)
    {
        m_callers[dispatch.request].upstream = dispatch.upstream;
        auto &engine = m_engines.at(dispatch.upstream);
        const bool cached = !engine.model.cachedPrefixes.insert(prefix).second || !dispatch.fetchFrom.empty();
        const double tokens = kind.ownTokens + (cached ? 0 : kind.sharedTokens);
        engine.model.add({dispatch.request, tokens, kind.events, dispatch.enginePriority, 0});
        if (kind.name == "report") {
            m_used.insert(dispatch.upstream);
        }
        startStep(engine);
    }

    void startStep(Engine &engine)
    {
        if (!engine.stepEnd && !engine.model.idle()) {
            engine.events.clear();
            engine.stepEnd = addSeconds(m_now, engine.model.step(engine.events));
        }
    }

    void finishStep(const UpstreamId &id, Engine &engine)
    {
        m_now = *engine.stepEnd;
        engine.stepEnd.reset();
        for (const auto &it : engine.events) {
            onEvent(id, it);
        }
        startStep(engine);
    }

    void onEvent(const UpstreamId &upstream, const test::RunEvent &event)
    {
        auto &caller = m_callers.at(event.request);
        const auto &kind = *caller.kind;
        if (caller.lastEvent) {
            caller.latePause |= m_now - *caller.lastEvent > kind.gapTarget;
        } else {
            caller.lateFirstEvent = m_now - caller.submitted > kind.firstTokenTarget;
            (void)m_scheduler.onFirstToken(event.request, upstream, m_now);
        }
        m_scheduler.onTokens(event.request, 1, m_now);
        caller.lastEvent = m_now;
        if (event.last) {
            auto &result = m_results[kind.name];
            ++result.finished;
            result.lateFirstEvent += caller.lateFirstEvent ? 1 : 0;
            result.latePause += !caller.lateFirstEvent && caller.latePause ? 1 : 0;
            (void)m_scheduler.onAttemptEnded(event.request, upstream, AttemptCompleted{}, m_now);
        }
    }

    RequestScheduler m_scheduler;
    std::map<UpstreamId, Engine> m_engines;
    std::map<RequestId, Caller> m_callers;
    std::map<std::string, ClassResult> m_results;
    std::set<UpstreamId> m_used;
    SplitMix m_random{20'261'204};
    SteadyTime m_now{std::chrono::seconds{1'000}};
    std::uint32_t m_lastId{0};
};

RequestInfo longPrompt()
{
    RequestInfo info;
    info.promptTokens = 9'000;
    info.gapTarget = Milliseconds{1'000};
    return info;
}

RequestInfo shortPrompt(Milliseconds gapTarget)
{
    RequestInfo info;
    info.promptTokens = 700;
    info.gapTarget = gapTarget;
    return info;
}

constexpr std::uint32_t engineCount = 12;
constexpr std::uint32_t tokensPerEvent = 4;

} // namespace

class StreamIsolationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamIsolationTest);
    CPPUNIT_TEST(streamsAreInTimeBesideLongPrompts);
    CPPUNIT_TEST(surgeOfLongPromptsOverflowsIntoReservedEngines);
    CPPUNIT_TEST(longPromptsAloneUseAllEngines);
    CPPUNIT_TEST(lenientTargetsNeedNoDivision);
    CPPUNIT_TEST(boundaryFollowsDemand);
    CPPUNIT_TEST(smallChangesOfDemandKeepTheBoundary);
    CPPUNIT_TEST(hostsWithFewRequestsAgreeThroughReports);
    CPPUNIT_TEST_SUITE_END();

public:
    // Chunks of a long prompt delay each token of the streams beside it, so that their events come later than the pause target.
    void streamsAreInTimeBesideLongPrompts()
    {
        const std::vector<LoadClass> load{reports(50), guidance(60)};
        const auto playAfterWarmUp = [&](LoadPlayer player) {
            (void)player.play(load, 10);
            return player.play(load, 40);
        };
        auto together = playAfterWarmUp(LoadPlayer(engineCount, 0));
        auto divided = playAfterWarmUp(LoadPlayer(engineCount, tokensPerEvent));
        CPPUNIT_ASSERT(together["guidance"].lateFraction() > 0.05);
        CPPUNIT_ASSERT(divided["guidance"].lateFraction() < 0.5 * together["guidance"].lateFraction());
        CPPUNIT_ASSERT(divided["report"].lateFraction() <= together["report"].lateFraction() + 0.01);
    }

    // The division is a preference: when long prompts need more engines than their part has, they are not left waiting for it.
    void surgeOfLongPromptsOverflowsIntoReservedEngines()
    {
        LoadPlayer player(engineCount, tokensPerEvent);
        (void)player.play({reports(8), guidance(40)}, 20);
        LoadPlayer together(engineCount, 0);
        (void)together.play({reports(8), guidance(40)}, 20);
        const std::vector<LoadClass> surge{reports(60), guidance(10)};
        auto divided = player.play(surge, 10);
        auto undivided = together.play(surge, 10);
        CPPUNIT_ASSERT(divided["report"].lateFraction() <= undivided["report"].lateFraction() + 0.02);
        CPPUNIT_ASSERT_EQUAL(std::size_t{engineCount}, player.enginesUsed());
    }

    void longPromptsAloneUseAllEngines()
    {
        LoadPlayer player(engineCount, tokensPerEvent);
        (void)player.play({reports(30)}, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{engineCount}, player.enginesUsed());
    }

    void lenientTargetsNeedNoDivision()
    {
        StreamIsolation isolation(tokensPerEvent);
        SteadyTime now{std::chrono::seconds{1'000}};
        for (int n = 0; n < 200; ++n) {
            now += Milliseconds{50};
            isolation.onDispatch(longPrompt(), 0.1, now);
            isolation.onDispatch(shortPrompt(Milliseconds{600}), 0.02, now);
            isolation.update(tokensPerSecond, now);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, isolation.reservedFraction());
        CPPUNIT_ASSERT_EQUAL(0.0, isolation.rangeFor(longPrompt()).penaltySeconds);
    }

    void boundaryFollowsDemand()
    {
        StreamIsolation isolation(tokensPerEvent);
        SteadyTime now{std::chrono::seconds{1'000}};
        const auto play = [&](double longSeconds, double otherSeconds) {
            for (int n = 0; n < 2'000; ++n) {
                now += Milliseconds{50};
                isolation.update(tokensPerSecond, now);
                isolation.onDispatch(longPrompt(), longSeconds, now);
                isolation.onDispatch(shortPrompt(Milliseconds{250}), otherSeconds, now);
            }
        };
        play(0.1, 0.02);
        const double few = isolation.reservedFraction();
        CPPUNIT_ASSERT(few > 0 && few < 0.3);
        CPPUNIT_ASSERT(isolation.rangeFor(longPrompt()).contains(0.9));
        CPPUNIT_ASSERT(!isolation.rangeFor(longPrompt()).contains(0.05));
        CPPUNIT_ASSERT(isolation.rangeFor(shortPrompt(Milliseconds{250})).contains(0.05));
        play(0.02, 0.1);
        CPPUNIT_ASSERT(isolation.reservedFraction() > 0.7);
        CPPUNIT_ASSERT(isolation.reservedFraction() < 1);
    }

    // A boundary that moved with every request would move prefixes to engines that do not hold them.
    void smallChangesOfDemandKeepTheBoundary()
    {
        StreamIsolation isolation(tokensPerEvent);
        SteadyTime now{std::chrono::seconds{1'000}};
        SplitMix random(7);
        std::set<double> boundaries;
        for (int n = 0; n < 4'000; ++n) {
            now += Milliseconds{50};
            isolation.onDispatch(longPrompt(), 0.05 * (0.5 + random.uniform()), now);
            isolation.onDispatch(shortPrompt(Milliseconds{250}), 0.05 * (0.5 + random.uniform()), now);
            isolation.update(tokensPerSecond, now);
            if (n > 400) {
                boundaries.insert(isolation.reservedFraction());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, boundaries.size());
    }

    // In a large fleet one host sees few requests. Hosts that disagreed on the boundary would choose different owners for the same prefix.
    void hostsWithFewRequestsAgreeThroughReports()
    {
        constexpr std::size_t hostCount = 60;
        std::vector<StreamIsolation> hosts(hostCount, StreamIsolation(tokensPerEvent));
        std::vector<std::vector<EngineDemand>> known(hostCount, std::vector<EngineDemand>(hostCount));
        SteadyTime now{std::chrono::seconds{1'000}};
        SplitMix random(11);
        for (int n = 0; n < 3'000; ++n) {
            now += Milliseconds{20};
            auto &host = hosts[random.below(hostCount)];
            const bool isLong = random.uniform() < 0.4;
            host.update(tokensPerSecond, now);
            host.onDispatch(isLong ? longPrompt() : shortPrompt(Milliseconds{250}), isLong ? 0.08 : 0.03, now);
            // One host reports to all others at a time, so that a report is 1.2 s old at most.
            const auto sender = static_cast<std::size_t>(n) % hostCount;
            const auto demand = hosts[sender].localDemand(now);
            for (std::size_t k = 0; k < hostCount; ++k) {
                if (k != sender) {
                    hosts[k].addPeerDemand(known[k][sender], -1);
                    hosts[k].addPeerDemand(demand, 1);
                    known[k][sender] = demand;
                }
            }
        }
        std::set<double> boundaries;
        for (auto &it : hosts) {
            it.update(tokensPerSecond, now);
            boundaries.insert(it.reservedFraction());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, boundaries.size());
        CPPUNIT_ASSERT(*boundaries.begin() > 0.2 && *boundaries.begin() < 0.6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamIsolationTest);

} // namespace guavafield
