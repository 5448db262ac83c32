// Tests of pools of plain services that run kinds of request of very different length.
#include <guavafield/coordination/request/scheduler/request_scheduler.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace guavafield {

namespace {

struct Kind
{
    std::string name;
    Milliseconds work{20};
    Milliseconds deadline{800};
    std::uint32_t promptTokens{0};
};

struct Outcomes
{
    std::size_t sent{0};
    std::size_t refused{0};
    std::size_t late{0};
};

// One host before upstreams that run as many requests at once as they have slots, and the others in the order of their arrival.
class PlainService
{
public:
    explicit PlainService(std::uint32_t slots, std::optional<EngineFacts> engine = std::nullopt) : m_scheduler(SchedulerSettings{"dc", 1, 7})
    {
        Configuration configuration;
        configuration.pools["p"].id = "p";
        configuration.pools["p"].engine = engine;
        for (int n = 0; n < 3; ++n) {
            Upstream upstream;
            upstream.id = "u" + std::to_string(n);
            upstream.pool = "p";
            upstream.dataCentre = "dc";
            upstream.slots = slots;
            configuration.upstreams[upstream.id] = upstream;
        }
        m_slots = slots;
        m_scheduler.applyConfiguration(configuration, m_now);
    }

    // Sends a kind of request at a steady rate until it is stopped.
    void setRate(const Kind &kind, double perSecond)
    {
        m_sources[kind.name] = {kind, perSecond, 0};
    }

    void run(Milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (auto &[name, it] : m_sources) {
                it.due += it.perSecond * std::chrono::duration<double>(step).count();
                for (; it.due >= 1; it.due -= 1) {
                    send(it.kind);
                }
            }
            perform();
            serve();
        }
    }

    // The host stands still; its upstreams go on.
    void freeze(Milliseconds time)
    {
        m_now += time;
    }

    // Returns what became of the requests that were sent since the last call.
    Outcomes take(const Kind &kind)
    {
        return std::exchange(m_outcomes[kind.name], {});
    }

private:
    static constexpr Milliseconds step{5};

    struct Source
    {
        Kind kind;
        double perSecond{0};
        double due{0};
    };
    struct Run
    {
        RequestId id;
        Kind kind;
        SteadyTime sent{};
        SteadyTime end{};
    };
    struct Server
    {
        std::vector<Run> running;
        std::deque<Run> waiting;
    };

    void send(const Kind &kind)
    {
        RequestInfo info;
        info.id = "r" + std::to_string(++m_lastId);
        info.team = "t";
        info.className = "p";
        info.kind = kind.name;
        info.model = "p";
        info.firstTokenTarget = Milliseconds{100};
        info.totalTarget = kind.deadline;
        info.promptTokens = kind.promptTokens;
        info.fingerprint[0] = static_cast<std::uint8_t>(m_lastId);
        info.fingerprint[1] = static_cast<std::uint8_t>(m_lastId >> 8U);
        ++m_outcomes[kind.name].sent;
        m_kinds[info.id] = {kind, m_now};
        if (!std::holds_alternative<Queued>(m_scheduler.submit(info, m_now))) {
            ++m_outcomes[kind.name].refused;
        }
    }

    void perform()
    {
        for (const auto &it : m_scheduler.step(m_now)) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&it)) {
                const auto &[kind, sent] = m_kinds.at(dispatch->request);
                m_servers[dispatch->upstream].waiting.push_back({dispatch->request, kind, sent, {}});
            } else if (const auto *shed = std::get_if<ShedAction>(&it)) {
                ++m_outcomes[m_kinds.at(shed->request).first.name].refused;
            }
        }
    }

    void serve()
    {
        for (auto &[id, server] : m_servers) {
            std::erase_if(server.running, [&, upstream = id](const Run &it) {
                if (it.end > m_now) {
                    return false;
                }
                (void)m_scheduler.onFirstToken(it.id, upstream, m_now);
                (void)m_scheduler.onAttemptEnded(it.id, upstream, AttemptCompleted{}, m_now);
                m_outcomes[it.kind.name].late += m_now - it.sent > it.kind.deadline ? 1 : 0;
                return true;
            });
            while (server.running.size() < m_slots && !server.waiting.empty()) {
                server.running.push_back(server.waiting.front());
                server.running.back().end = m_now + server.running.back().kind.work;
                server.waiting.pop_front();
            }
        }
    }

    RequestScheduler m_scheduler;
    std::uint32_t m_slots{1};
    SteadyTime m_now{std::chrono::hours{1}};
    std::uint64_t m_lastId{0};
    std::map<std::string, Source> m_sources;
    std::map<RequestId, std::pair<Kind, SteadyTime>> m_kinds;
    std::map<UpstreamId, Server> m_servers;
    std::map<std::string, Outcomes> m_outcomes;
};

const Kind lookups{"lookups", Milliseconds{20}, Milliseconds{800}};
const Kind exports{"exports", Milliseconds{2'000}, Milliseconds{10'000}};

} // namespace

class PlainServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlainServiceTest);
    CPPUNIT_TEST(fastRequestsAreServedAfterManySlowOnes);
    CPPUNIT_TEST(fastRequestsAreServedBesideFrequentSlowOnes);
    CPPUNIT_TEST(fastRequestsAreServedWhileSlowOnesTakeAllSlots);
    CPPUNIT_TEST(requestsAreServedAfterAFreeze);
    CPPUNIT_TEST(kindThatIsSlowByNatureIsNotRefused);
    CPPUNIT_TEST(requestsThatWouldWaitTooLongAreRefused);
    CPPUNIT_TEST(longPromptsAreServedAfterAFreeze);
    CPPUNIT_TEST_SUITE_END();

public:
    // Many slow requests must not make the host expect that fast ones of the same service are as slow, and refuse them for good.
    void fastRequestsAreServedAfterManySlowOnes()
    {
        for (const std::uint32_t slots : {6U, 64U}) {
            PlainService service(slots);
            service.setRate(lookups, 40);
            service.setRate(exports, 5);
            service.run(Milliseconds{10'000});
            service.setRate(exports, 30);
            service.run(Milliseconds{11'000});
            service.setRate(exports, 5);
            service.run(Milliseconds{8'000});
            (void)service.take(lookups);
            service.run(Milliseconds{20'000});
            const auto outcomes = service.take(lookups);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused + outcomes.late);
        }
    }

    // The same without a burst, where slow requests are the more frequent ones.
    void fastRequestsAreServedBesideFrequentSlowOnes()
    {
        PlainService service(64);
        service.setRate(lookups, 10);
        service.setRate(exports, 20);
        service.run(Milliseconds{15'000});
        (void)service.take(lookups);
        service.run(Milliseconds{10'000});
        const auto outcomes = service.take(lookups);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused + outcomes.late);
    }

    // A short queue at upstreams whose slots are all taken is no reason to refuse.
    void fastRequestsAreServedWhileSlowOnesTakeAllSlots()
    {
        PlainService service(64);
        service.setRate(lookups, 40);
        service.setRate(exports, 95);
        service.run(Milliseconds{15'000});
        (void)service.take(lookups);
        service.run(Milliseconds{10'000});
        const auto outcomes = service.take(lookups);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused + outcomes.late);
    }

    // A request that was under way while the host stood still took no longer than usual.
    void requestsAreServedAfterAFreeze()
    {
        PlainService service(12);
        const Kind kind{"lookups", Milliseconds{100}, Milliseconds{800}};
        service.setRate(kind, 120);
        for (int n = 0; n < 3; ++n) {
            service.run(Milliseconds{3'000});
            service.freeze(Milliseconds{7'000});
        }
        service.run(Milliseconds{4'000});
        (void)service.take(kind);
        service.run(Milliseconds{10'000});
        const auto outcomes = service.take(kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused + outcomes.late);
    }

    // A kind whose requests need nearly all of their time is served as long as the upstreams have room.
    void kindThatIsSlowByNatureIsNotRefused()
    {
        PlainService service(12);
        const Kind kind{"slow", Milliseconds{780}, Milliseconds{800}};
        service.setRate(kind, 10);
        service.setRate(lookups, 10);
        service.run(Milliseconds{60'000});
        const auto outcomes = service.take(kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes.refused + outcomes.late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, service.take(lookups).refused);
    }

    // Above the capacity of the service, requests are refused at once instead of failing at their deadline.
    void requestsThatWouldWaitTooLongAreRefused()
    {
        PlainService service(2);
        const Kind kind{"lookups", Milliseconds{200}, Milliseconds{800}};
        service.setRate(kind, 60);
        service.run(Milliseconds{20'000});
        const auto outcomes = service.take(kind);
        CPPUNIT_ASSERT(outcomes.refused > outcomes.sent / 4);
        CPPUNIT_ASSERT(outcomes.late * 10 < outcomes.sent);
    }

    // The prefill rate that was learned from a freeze must not keep requests with long prompts from idle engines.
    void longPromptsAreServedAfterAFreeze()
    {
        PlainService service(64, EngineFacts{600'000, 18'432, 80'000});
        const Kind kind{"summary", Milliseconds{300}, Milliseconds{4'000}, 16'000};
        service.setRate(kind, 4);
        for (int n = 0; n < 80; ++n) {
            service.run(Milliseconds{300});
            service.freeze(Milliseconds{7'000});
        }
        service.run(Milliseconds{10'000});
        (void)service.take(kind);
        service.run(Milliseconds{10'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, service.take(kind).refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlainServiceTest);

} // namespace guavafield
