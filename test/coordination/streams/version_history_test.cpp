// Tests of what is known of the versions that may have begun a stream.
#include <guavafield/coordination/streams/version_history.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace guavafield {

namespace {

using std::chrono::seconds;

constexpr WallTime start{seconds{1'000'000}};
// Of the route, and with it how long a stream may be taken up.
constexpr Milliseconds timeout{30'000};
constexpr Milliseconds reach = timeout + VersionHistory::takeUpMargin;

using Service = std::pair<PoolId, SoftwareVersion>;

Configuration configurationOf(const std::vector<Service> &upstreams)
{
    Configuration configuration;
    for (const auto &[pool, version] : upstreams) {
        const auto id = "u" + std::to_string(configuration.upstreams.size());
        auto &upstream = configuration.upstreams[id];
        upstream.pool = pool;
        upstream.softwareVersion = version;
        auto &route = configuration.routes[pool];
        route.timeout = timeout;
        PoolTarget target;
        target.pools.push_back({pool, 1.0});
        route.target = target;
    }
    return configuration;
}

VersionRecord recordOf(std::vector<VersionSpan> versions, std::uint64_t epoch = 0)
{
    return VersionRecord{start - seconds{10'000}, epoch, std::move(versions)};
}

// A host that has known a pool with version 1 alone for long.
VersionHistory settledHistory()
{
    VersionHistory history;
    history.onConfiguration(configurationOf({{"text", "1"}}), start);
    history.onRow("text", 5, recordOf({{"1", std::nullopt}}), start);
    return history;
}

} // namespace

class VersionHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionHistoryTest);
    CPPUNIT_TEST(versionThatServedAloneForLongIsSole);
    CPPUNIT_TEST(nothingIsSoleBeforeTheRowWasRead);
    CPPUNIT_TEST(versionThatLeftWhileAllHostsWereDownStillCounts);
    CPPUNIT_TEST(versionThatLeftCountsForAsLongAsItsStreamsCanBeTakenUp);
    CPPUNIT_TEST(releaseUnderWayHasNoSoleVersion);
    CPPUNIT_TEST(threeVersionsAtOnceAreAllWritten);
    CPPUNIT_TEST(versionThatWasRolledBackStillCounts);
    CPPUNIT_TEST(versionThatCameBackAndLeftAgainIsWrittenWithItsLastEnd);
    CPPUNIT_TEST(versionThatBeganAStreamUnseenStillCounts);
    CPPUNIT_TEST(entriesWithoutAVersionAreNotOfTheVersionBesideThem);
    CPPUNIT_TEST(poolsWithTheSameVersionTextAreToldApart);
    CPPUNIT_TEST(frozenHostTrustsItsOldKnowledgeNoMore);
    CPPUNIT_TEST(rowLostOnAFirstReadLeavesThePastUnknown);
    CPPUNIT_TEST(rowOfAnEarlierEpochLeavesThePastUnknown);
    CPPUNIT_TEST(hostThatSawItAllWritesTheRowAgainAfterALoss);
    CPPUNIT_TEST(firstStartDoesNotOutlastAGap);
    CPPUNIT_TEST(nothingIsDueWhileTheRowSaysWhatTheTableShows);
    CPPUNIT_TEST_SUITE_END();

public:
    void versionThatServedAloneForLongIsSole()
    {
        CPPUNIT_ASSERT(settledHistory().sole("text", start) == SoftwareVersion("1"));
    }

    void nothingIsSoleBeforeTheRowWasRead()
    {
        VersionHistory history;
        history.onConfiguration(configurationOf({{"text", "1"}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start + reach * 2));
        CPPUNIT_ASSERT(!history.sole("unknown", start));
    }

    void versionThatLeftWhileAllHostsWereDownStillCounts()
    {
        for (const bool rowFirst : {false, true}) {
            VersionHistory history;
            const auto record = recordOf({{"1", std::nullopt}});
            if (rowFirst) {
                history.onRow("text", 5, record, start);
            }
            history.onConfiguration(configurationOf({{"text", "2"}}), start);
            if (!rowFirst) {
                history.onRow("text", 5, record, start);
            }
            CPPUNIT_ASSERT(!history.sole("text", start + reach));
            CPPUNIT_ASSERT(history.sole("text", start + reach + seconds{1}) == SoftwareVersion("2"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
        }
    }

    void versionThatLeftCountsForAsLongAsItsStreamsCanBeTakenUp()
    {
        VersionHistory history;
        history.onConfiguration(configurationOf({{"text", "2"}}), start);
        history.onRow("text", 5, recordOf({{"1", start - reach}, {"2", std::nullopt}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
        CPPUNIT_ASSERT(history.sole("text", start + seconds{1}) == SoftwareVersion("2"));
    }

    void releaseUnderWayHasNoSoleVersion()
    {
        auto history = settledHistory();
        history.onConfiguration(configurationOf({{"text", "1"}, {"text", "2"}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
    }

    void threeVersionsAtOnceAreAllWritten()
    {
        auto history = settledHistory();
        history.onConfiguration(configurationOf({{"text", "1"}, {"text", "2"}, {"text", "3"}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
        const auto record = history.record("text");
        CPPUNIT_ASSERT(record.versions == (std::vector<VersionSpan>{{"1", std::nullopt}, {"2", std::nullopt}, {"3", std::nullopt}}));
    }

    void versionThatWasRolledBackStillCounts()
    {
        auto history = settledHistory();
        history.onConfiguration(configurationOf({{"text", "1"}, {"text", "2"}}), start);
        history.onConfiguration(configurationOf({{"text", "1"}}), start + seconds{5});
        CPPUNIT_ASSERT(!history.sole("text", start + seconds{5} + reach));
        CPPUNIT_ASSERT(history.sole("text", start + seconds{6} + reach) == SoftwareVersion("1"));
    }

    void entriesWithoutAVersionAreNotOfTheVersionBesideThem()
    {
        auto history = settledHistory();
        history.onConfiguration(configurationOf({{"text", "1"}, {"text", ""}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
    }

    void versionThatCameBackAndLeftAgainIsWrittenWithItsLastEnd()
    {
        auto history = settledHistory();
        const auto first = start + seconds{1};
        history.onConfiguration(configurationOf({{"text", "2"}}), first);
        history.onRow("text", 6, history.record("text"), first);
        CPPUNIT_ASSERT(history.due().empty());
        history.onConfiguration(configurationOf({{"text", "1"}, {"text", "2"}}), start + seconds{40});
        const auto last = start + seconds{50};
        history.onConfiguration(configurationOf({{"text", "2"}}), last);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
        CPPUNIT_ASSERT(history.record("text").versions.front() == (VersionSpan{"1", last}));
    }

    void versionThatBeganAStreamUnseenStillCounts()
    {
        auto history = settledHistory();
        history.onBegan("text", "1", start);
        CPPUNIT_ASSERT(history.sole("text", start) == SoftwareVersion("1"));
        history.onBegan("text", "2", start);
        CPPUNIT_ASSERT(!history.sole("text", start + reach));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
        history.onConfiguration(configurationOf({{"text", "1"}}), start + reach + seconds{1});
        CPPUNIT_ASSERT(history.sole("text", start + reach + seconds{1}) == SoftwareVersion("1"));
    }

    void poolsWithTheSameVersionTextAreToldApart()
    {
        VersionHistory history;
        history.onConfiguration(configurationOf({{"text", "1"}, {"text", "2"}, {"image", "1"}}), start);
        history.onRow("text", 5, recordOf({{"1", std::nullopt}, {"2", std::nullopt}}), start);
        history.onRow("image", 6, recordOf({{"1", std::nullopt}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
        CPPUNIT_ASSERT(history.sole("image", start) == SoftwareVersion("1"));
    }

    void frozenHostTrustsItsOldKnowledgeNoMore()
    {
        auto history = settledHistory();
        history.onGap();
        CPPUNIT_ASSERT(!history.sole("text", start));
        history.onConfiguration(configurationOf({{"text", "1"}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
        CPPUNIT_ASSERT(!history.areRowsKnown());
        // Version 2 came and went.
        history.onRow("text", 7, recordOf({{"1", std::nullopt}, {"2", start - seconds{1}}}), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
    }

    void rowLostOnAFirstReadLeavesThePastUnknown()
    {
        VersionHistory history;
        history.onConfiguration(configurationOf({{"text", "1"}}), start);
        history.onRow("text", 0, std::nullopt, start);
        CPPUNIT_ASSERT(!history.sole("text", start + reach - seconds{1}));
        CPPUNIT_ASSERT(history.sole("text", start + reach) == SoftwareVersion("1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
    }

    void rowOfAnEarlierEpochLeavesThePastUnknown()
    {
        VersionHistory history;
        history.onConfiguration(configurationOf({{"text", "1"}}), start);
        history.onRow("text", versionInEpoch(1, 3), recordOf({{"1", std::nullopt}}, 0), start);
        CPPUNIT_ASSERT(!history.sole("text", start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, history.record("text").epoch);
    }

    void hostThatSawItAllWritesTheRowAgainAfterALoss()
    {
        auto history = settledHistory();
        history.forgetRows();
        CPPUNIT_ASSERT(!history.sole("text", start));
        history.onRow("text", versionInEpoch(1, 0), std::nullopt, start);
        CPPUNIT_ASSERT(history.sole("text", start) == SoftwareVersion("1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.due().size());
        CPPUNIT_ASSERT(history.record("text").since < start);
    }

    void firstStartDoesNotOutlastAGap()
    {
        VersionHistory history(WallTime{});
        history.onConfiguration(configurationOf({{"text", "1"}}), start);
        history.onRow("text", 0, std::nullopt, start);
        CPPUNIT_ASSERT(history.sole("text", start) == SoftwareVersion("1"));
        history.onGap();
        history.onConfiguration(configurationOf({{"text", "1"}}), start);
        history.onRow("text", 0, std::nullopt, start);
        CPPUNIT_ASSERT(!history.sole("text", start));
    }

    void nothingIsDueWhileTheRowSaysWhatTheTableShows()
    {
        auto history = settledHistory();
        CPPUNIT_ASSERT(history.areRowsKnown());
        CPPUNIT_ASSERT(history.due().empty());
        history.onConfiguration(configurationOf({{"text", "1"}}), start + seconds{100});
        CPPUNIT_ASSERT(history.due().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionHistoryTest);

} // namespace guavafield
