// Tests of evacuated data centres, home regions and cold upstreams, as one host's scheduler treats them.
#include "support/request/placement_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace guavafield {

using test::PlacementFixture;

namespace {

constexpr Milliseconds coldStart{3'000};
constexpr double coldPerSecond = 8;

// One host, and two upstreams in each of two data centres in different regions.
struct TwoDataCentres : PlacementFixture
{
    TwoDataCentres() : PlacementFixture(1, 0, {{"near", "north"}, {"far", "south"}})
    {
        auto &pool = configuration.pools.at("p");
        pool.coldStart = coldStart;
        pool.coldPerSecond = coldPerSecond;
        for (const std::string it : {"near", "far"}) {
            addUpstream(it + "0", it);
            addUpstream(it + "1", it);
        }
        apply();
    }
};

} // namespace

class LocalityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LocalityTest);
    CPPUNIT_TEST(evacuatedDataCentreGetsNoNewRequest);
    CPPUNIT_TEST(requestThatWaitsForAnEvacuatedUpstreamGoesElsewhere);
    CPPUNIT_TEST(retryAvoidsAnEvacuatedDataCentre);
    CPPUNIT_TEST(prefixIsNotCopiedFromAnEvacuatedUpstream);
    CPPUNIT_TEST(evacuatedUpstreamIsNotProbed);
    CPPUNIT_TEST(requestIsRefusedWithItsReasonWhileAllIsEvacuated);
    CPPUNIT_TEST(requestStaysInItsHomeRegions);
    CPPUNIT_TEST(requestWithoutAnUpstreamAtHomeIsRefused);
    CPPUNIT_TEST(returnedDataCentreIsFilledAtTheColdRate);
    CPPUNIT_TEST(restartedUpstreamIsLimitedFromItsFirstRequest);
    CPPUNIT_TEST(upstreamThatSaysThatItIsColdIsLimited);
    CPPUNIT_TEST(newProcessIsLimitedBeforeItsEntryComes);
    CPPUNIT_TEST(upstreamThatIsReachedAgainIsNotTakenForCold);
    CPPUNIT_TEST(firstConfigurationFindsNoColdUpstreams);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against new requests at a data centre that operators are emptying; what runs there goes on.
    void evacuatedDataCentreGetsNoNewRequest()
    {
        TwoDataCentres host;
        const auto running = sendTo(host, "far");
        evacuate(host, {"far"});
        for (int n = 0; n < 200; ++n) {
            const auto dispatch = host.send(host.request(next()));
            CPPUNIT_ASSERT(dispatch.has_value());
            CPPUNIT_ASSERT_EQUAL(DataCentreId("near"), dataCentreOf(host, *dispatch));
            complete(host, *dispatch);
        }
        CPPUNIT_ASSERT(host.scheduler.onFirstToken(running.request, running.upstream, host.now));
        evacuate(host, {});
        (void)sendTo(host, "far");
    }

    // Guards against a refusal of a request that waits while its upstreams are evacuated and others come back.
    void requestThatWaitsForAnEvacuatedUpstreamGoesElsewhere()
    {
        TwoDataCentres host;
        host.configuration.pools.at("p").coldPerSecond = 0;
        evacuate(host, {"far", "near"});
        CPPUNIT_ASSERT(!host.send(host.request(next())).has_value());
        evacuate(host, {"far"});
        const auto dispatch = host.step();
        CPPUNIT_ASSERT(dispatch.has_value());
        CPPUNIT_ASSERT_EQUAL(DataCentreId("near"), dataCentreOf(host, *dispatch));
    }

    // Guards against a second attempt in a data centre that was evacuated after the first one began.
    void retryAvoidsAnEvacuatedDataCentre()
    {
        for (int n = 0; n < 30; ++n) {
            TwoDataCentres host;
            auto info = host.request(next());
            info.repeatable = true;
            const auto first = host.send(info);
            evacuate(host, {"far"});
            (void)host.scheduler.onAttemptEnded(first->request, first->upstream, AttemptFailed{}, host.now);
            const auto second = host.step();
            CPPUNIT_ASSERT(second.has_value());
            CPPUNIT_ASSERT_EQUAL(DataCentreId("near"), dataCentreOf(host, *second));
        }
    }

    // Guards against load on an evacuated engine by copies of its cache.
    void prefixIsNotCopiedFromAnEvacuatedUpstream()
    {
        TwoDataCentres host;
        // Engines are assumed to hold prefixes only some time after they were added.
        host.now += std::chrono::seconds{30};
        evacuate(host, {"far"});
        for (int n = 0; n < 200; ++n) {
            const auto dispatch = host.send(host.request(next()));
            CPPUNIT_ASSERT(dispatch.has_value());
            CPPUNIT_ASSERT(dispatch->fetchFrom.empty() || host.configuration.upstreams.at(dispatch->fetchFrom).dataCentre == "near");
            complete(host, *dispatch);
        }
    }

    // Guards against probes of an upstream that was down before its data centre was evacuated.
    void evacuatedUpstreamIsNotProbed()
    {
        TwoDataCentres host;
        const auto dispatch = sendTo(host, "far");
        AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
        failure.notExecuted = true;
        (void)host.scheduler.onAttemptEnded(dispatch.request, dispatch.upstream, failure, host.now);
        evacuate(host, {"far"});
        const auto probed = [&] {
            bool found = false;
            for (const auto end = host.now + std::chrono::seconds{20}; host.now < end; host.now += Milliseconds{100}) {
                for (const auto &it : host.scheduler.dueProbes(host.now)) {
                    found |= it.upstream == dispatch.upstream;
                }
            }
            return found;
        };
        CPPUNIT_ASSERT(!probed());
        evacuate(host, {});
        CPPUNIT_ASSERT(probed());
    }

    // Guards against a refusal that does not say why; the caller and the operator take it for a lack of upstreams.
    void requestIsRefusedWithItsReasonWhileAllIsEvacuated()
    {
        TwoDataCentres host;
        evacuate(host, {"far", "near"});
        CPPUNIT_ASSERT(!host.send(host.request(next())).has_value());
        host.now += Milliseconds{200};
        CPPUNIT_ASSERT(!host.step().has_value());
        CPPUNIT_ASSERT(host.refused == ResultCode::UpstreamsEvacuated);
        CPPUNIT_ASSERT(host.retryAfter.count() > 0);
    }

    // Guards against a request, or a copy of its prompt, outside of the regions in which it may be processed.
    void requestStaysInItsHomeRegions()
    {
        TwoDataCentres host;
        host.now += std::chrono::seconds{30};
        for (int n = 0; n < 200; ++n) {
            auto info = host.request(next());
            info.homes = HomeRegions{{"south"}};
            const auto dispatch = host.send(info);
            CPPUNIT_ASSERT(dispatch.has_value());
            CPPUNIT_ASSERT_EQUAL(DataCentreId("far"), dataCentreOf(host, *dispatch));
            CPPUNIT_ASSERT(dispatch->fetchFrom.empty() || host.configuration.upstreams.at(dispatch->fetchFrom).dataCentre == "far");
            complete(host, *dispatch);
        }
    }

    // Guards against a request that leaves its home regions because no upstream is there, or whose region is not known.
    void requestWithoutAnUpstreamAtHomeIsRefused()
    {
        for (const auto &homes : {HomeRegions{{"west"}}, HomeRegions{std::vector<RegionId>()}, HomeRegions{{""}}}) {
            TwoDataCentres host;
            host.addUpstream("stray", "nowhere");
            host.apply();
            auto info = host.request(next());
            info.homes = homes;
            CPPUNIT_ASSERT(!host.send(info).has_value());
            host.now += Milliseconds{200};
            CPPUNIT_ASSERT(!host.step().has_value());
            CPPUNIT_ASSERT(host.refused == ResultCode::HomeUnavailable);
        }
    }

    // Guards against a wave of requests at a data centre whose upstreams may have lost their caches while it was evacuated.
    void returnedDataCentreIsFilledAtTheColdRate()
    {
        TwoDataCentres host;
        evacuate(host, {"far"});
        host.now += std::chrono::seconds{10};
        evacuate(host, {});
        CPPUNIT_ASSERT(countAt(host, "far", coldStart) <= mostCold(2, coldStart));
        CPPUNIT_ASSERT(countAt(host, "far", coldStart) > mostCold(2, coldStart));
    }

    // Guards against full load at a new process, which crashes under it.
    void restartedUpstreamIsLimitedFromItsFirstRequest()
    {
        TwoDataCentres host;
        host.configuration.upstreams.at("far0").incarnation = 7;
        host.apply();
        CPPUNIT_ASSERT(countAtUpstream(host, "far0", coldStart) <= mostCold(1, coldStart));
        host.addUpstream("new", "near");
        host.apply();
        CPPUNIT_ASSERT(countAtUpstream(host, "new", coldStart) <= mostCold(1, coldStart));
    }

    // Guards against an upstream's own statement that is not heard, in an answer or in its entry.
    void upstreamThatSaysThatItIsColdIsLimited()
    {
        TwoDataCentres host;
        host.scheduler.onCold("far0", coldStart, host.now);
        host.configuration.upstreams.at("near0").coldUntil = host.now + coldStart;
        host.apply();
        const auto begin = host.now;
        CPPUNIT_ASSERT(countAtUpstream(host, "far0", coldStart) <= mostCold(1, coldStart));
        host.now = begin;
        CPPUNIT_ASSERT(countAtUpstream(host, "near0", coldStart) <= mostCold(1, coldStart));
    }

    // Guards against full load at a new process of which only its own answer to a question tells, as its entry comes later.
    void newProcessIsLimitedBeforeItsEntryComes()
    {
        TwoDataCentres host;
        host.scheduler.onProcessReplaced("far0", 0, host.now);
        CPPUNIT_ASSERT(countAtUpstream(host, "far0", coldStart) <= mostCold(1, coldStart));
    }

    // Guards against a limit on upstreams that turned connections away under load: the others would be overloaded in turn.
    void upstreamThatIsReachedAgainIsNotTakenForCold()
    {
        TwoDataCentres host;
        const auto dispatch = sendTo(host, "far");
        AttemptFailed failure{ResultCode::UpstreamUnreachable, RetryReason::ConnectFailed};
        failure.notExecuted = true;
        (void)host.scheduler.onAttemptEnded(dispatch.request, dispatch.upstream, failure, host.now);
        host.now += std::chrono::seconds{2};
        host.scheduler.onProbe(dispatch.upstream, ProbeResult::Answered, host.now);
        CPPUNIT_ASSERT(countAtUpstream(host, dispatch.upstream, coldStart) > mostCold(1, coldStart));
    }

    // Guards against a host that starts and takes all upstreams for cold, so that it refuses its first callers.
    void firstConfigurationFindsNoColdUpstreams()
    {
        TwoDataCentres host;
        CPPUNIT_ASSERT(countAt(host, "near", Milliseconds{1'000}) + countAt(host, "far", Milliseconds{1'000}) > mostCold(4, Milliseconds{2'000}));
    }

private:
    static void evacuate(PlacementFixture &host, std::set<DataCentreId, std::less<>> dataCentres)
    {
        host.configuration.evacuated = std::move(dataCentres);
        host.apply();
    }

    static void complete(PlacementFixture &host, const DispatchAction &dispatch)
    {
        (void)host.scheduler.onAttemptEnded(dispatch.request, dispatch.upstream, AttemptCompleted{}, host.now);
    }

    static DataCentreId dataCentreOf(const PlacementFixture &host, const DispatchAction &dispatch)
    {
        return host.configuration.upstreams.at(dispatch.upstream).dataCentre;
    }

    std::uint64_t next()
    {
        return ++m_prefix * 7'919;
    }

    // Sends requests until one goes to the data centre; the others end at once.
    DispatchAction sendTo(PlacementFixture &host, const DataCentreId &dataCentre)
    {
        for (int n = 0; n < 1'000; ++n) {
            const auto dispatch = host.send(host.request(next()));
            CPPUNIT_ASSERT(dispatch.has_value());
            if (dataCentreOf(host, *dispatch) == dataCentre) {
                return *dispatch;
            }
            complete(host, *dispatch);
            host.now += Milliseconds{2};
        }
        CPPUNIT_FAIL("no request went to " + dataCentre);
        return {};
    }

    template <typename Predicate>
    double count(PlacementFixture &host, Milliseconds time, Predicate counts)
    {
        double result = 0;
        for (const auto end = host.now + time; host.now < end; host.now += Milliseconds{5}) {
            const auto dispatch = host.send(host.request(next()));
            if (dispatch) {
                result += counts(*dispatch) ? 1 : 0;
                complete(host, *dispatch);
            }
        }
        return result;
    }

    double countAt(PlacementFixture &host, const DataCentreId &dataCentre, Milliseconds time)
    {
        return count(host, time, [&](const DispatchAction &it) { return dataCentreOf(host, it) == dataCentre; });
    }

    double countAtUpstream(PlacementFixture &host, const UpstreamId &upstream, Milliseconds time)
    {
        return count(host, time, [&](const DispatchAction &it) { return it.upstream == upstream; });
    }

    // What so many cold upstreams take in a time, with the permits that may be used at its beginning.
    static double mostCold(int upstreams, Milliseconds time)
    {
        return upstreams * coldPerSecond * (std::chrono::duration<double>(time).count() + 1);
    }

    std::uint64_t m_prefix{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LocalityTest);

} // namespace guavafield
