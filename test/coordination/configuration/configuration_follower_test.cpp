// Tests of the follower: the revision never decreases, withdrawals take effect at once, and readiness depends on the known revisions.
#include <support/configuration_host.hpp>
#include <support/configuration_samples.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace guavafield {

using namespace std::chrono_literals;
using test::ConfigurationHost;
using test::MemoryPlatform;

namespace {

constexpr SteadyTime start{1'000s};

ConfigurationChange withdrawal(const ApiKey &key)
{
    ConfigurationChange change;
    change.upsert.keys = {key};
    change.upsert.keys.front().withdrawn = true;
    return change;
}

void writeRow(test::MemoryTable &table, const RowKey &key, std::string value)
{
    static_cast<void>(table.transact({"x", {}, {{key, std::move(value)}}}));
}

} // namespace

class ConfigurationFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationFollowerTest);
    CPPUNIT_TEST(followsCommittedChanges);
    CPPUNIT_TEST(revisionNeverDecreases);
    CPPUNIT_TEST(staleRevisionIsNoConfirmation);
    CPPUNIT_TEST(largeGapUsesSnapshot);
    CPPUNIT_TEST(peersAreTriedBeforeTable);
    CPPUNIT_TEST(newHostNeedsPlatformOrPeers);
    CPPUNIT_TEST(restartDuringOutage);
    CPPUNIT_TEST(restartFromPeerSnapshot);
    CPPUNIT_TEST(confirmationExpires);
    CPPUNIT_TEST(unknownFieldKeepsTheLastGoodRevision);
    CPPUNIT_TEST(newerMinimumSchemaEndsReadiness);
    CPPUNIT_TEST(withdrawalTakesEffectBeforeItsChange);
    CPPUNIT_TEST(withdrawalOfAnUnknownKey);
    CPPUNIT_TEST(removedKeyIdIsNotBlocked);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_platform = {};
        test::commitNext(m_platform.table, test::sampleChange(3, 1));
    }

    // Guards against a change that is fetched but not applied, or applied twice.
    void followsCommittedChanges()
    {
        ConfigurationHost host("h1", m_platform, start);
        host.settle(start);
        CPPUNIT_ASSERT_EQUAL(Revision{1}, host.inForce->revision);
        CPPUNIT_ASSERT(host.follower.status(start).ready && !host.follower.status(start).behind);
        test::commitNext(m_platform.table, test::teamChange("late"));
        host.settle(start + 4s);
        CPPUNIT_ASSERT(host.inForce->teams.contains("late"));
        CPPUNIT_ASSERT_EQUAL(Revision{2}, host.inForce->revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.follower.changesAfter(1)->size());
        CPPUNIT_ASSERT(host.follower.changesAfter(2)->empty());
    }

    // Guards against an older configuration in force after late, repeated, reordered or stale replies.
    void revisionNeverDecreases()
    {
        const auto property = [](const std::vector<std::uint16_t> &schedule) {
            MemoryPlatform platform;
            test::commitNext(platform.table, test::sampleChange(2, 1));
            ConfigurationHost old("old", platform, start);
            ConfigurationHost host("h1", platform, start);
            host.peers = {&old};
            auto now = start;
            std::vector<ConfigurationHost::Reply> heldReplies;
            std::size_t teams = 0;
            for (const auto it : schedule) {
                now += std::chrono::milliseconds(it % 3000);
                host.step(now);
                std::ranges::move(std::exchange(host.replies, {}), std::back_inserter(heldReplies));
                switch (it % 7) {
                case 0:
                    test::commitNext(platform.table, test::teamChange("t" + std::to_string(++teams)));
                    break;
                case 1:
                    platform.table.staleReads();
                    break;
                case 2:
                    platform.table.freshReads();
                    break;
                case 3:
                    old.settle(now);
                    host.follower.onPeerRevision(it / 7 % 4, std::chrono::milliseconds(it % 5000), now);
                    break;
                case 4:
                    host.follower.onPeerSnapshot(it, *old.follower.snapshot(), now);
                    break;
                default:
                    if (!heldReplies.empty()) {
                        // Kept in the list, so that it may be delivered again much later.
                        heldReplies[it / 7 % heldReplies.size()](now);
                    }
                }
                host.step(now);
                const auto status = host.follower.status(now);
                RC_ASSERT(!host.fell);
                RC_ASSERT(status.revision == host.inForce->revision && status.newestKnown >= status.revision);
            }
            platform.table.freshReads();
            // Gossip may have announced revisions up to 3.
            while (teams < 2) {
                test::commitNext(platform.table, test::teamChange("t" + std::to_string(++teams)));
            }
            for (int n = 0; n < 12; ++n) {
                now += 4s;
                host.settle(now);
            }
            RC_ASSERT(!host.fell);
            RC_ASSERT(host.inForce->revision == 1 + teams);
            RC_ASSERT(host.inForce->teams.size() == 2 + teams);
        };
        CPPUNIT_ASSERT(rc::check("the revision never decreases and catches up", property));
    }

    // Guards against confirmation by an outdated revision, which would prolong trust in the configuration.
    void staleRevisionIsNoConfirmation()
    {
        ConfigurationHost host("h1", m_platform, start);
        test::commitNext(m_platform.table, test::teamChange("late"));
        host.settle(start);
        CPPUNIT_ASSERT_EQUAL(Revision{2}, host.inForce->revision);
        host.follower.onPeerRevision(1, 0ms, start + 70s);
        CPPUNIT_ASSERT(host.follower.status(start + 70s).unconfirmed);
        host.follower.onPeerRevision(2, 1s, start + 70s);
        CPPUNIT_ASSERT(host.follower.status(start + 70s).confirmationAge == 1s);
    }

    // Guards against reading thousands of rows after a long absence.
    void largeGapUsesSnapshot()
    {
        ConfigurationHost writer("w", m_platform, start);
        writer.settle(start);
        while (writer.inForce->revision < snapshotInterval) {
            test::commitNext(m_platform.table, test::teamChange("team-0", static_cast<double>(writer.inForce->revision)));
            writer.settle(start + writer.inForce->revision * 4s);
        }
        m_platform.objects[snapshotObjectName(snapshotInterval)] = formatSnapshot(*writer.follower.snapshot());
        for (int n = 0; n < 10; ++n) {
            test::commitNext(m_platform.table, test::teamChange("late-" + std::to_string(n)));
        }
        const auto reads = m_platform.table.counts().readBytes;
        const auto now = start + 2'000s;
        ConfigurationHost host("h1", m_platform, now);
        host.settle(now);
        CPPUNIT_ASSERT_EQUAL(Revision{snapshotInterval + 10}, host.inForce->revision);
        writer.settle(now);
        CPPUNIT_ASSERT(isEmpty(difference(*writer.inForce, *host.inForce)));
        CPPUNIT_ASSERT(m_platform.table.counts().readBytes - reads < 10'000);
        CPPUNIT_ASSERT(!host.follower.changesAfter(snapshotInterval - 1).has_value());
    }

    // Guards against all 330 hosts reading the table after each change.
    void peersAreTriedBeforeTable()
    {
        ConfigurationHost peer("h1", m_platform, start);
        ConfigurationHost host("h2", m_platform, start);
        host.peers = {&peer};
        peer.settle(start);
        const auto reads = m_platform.table.counts().reads;
        host.follower.onPeerRevision(1, 100ms, start);
        host.settle(start);
        CPPUNIT_ASSERT_EQUAL(Revision{1}, host.inForce->revision);
        CPPUNIT_ASSERT_EQUAL(reads + 1, m_platform.table.counts().reads);
    }

    // Guards against readiness without a configuration.
    void newHostNeedsPlatformOrPeers()
    {
        m_platform.table.setOutage(true);
        ConfigurationHost host("h1", m_platform, start);
        for (auto now = start; now < start + 120s; now += 1s) {
            host.settle(now);
            CPPUNIT_ASSERT(!host.follower.status(now).ready);
        }
        CPPUNIT_ASSERT(!host.follower.knownRevision(start + 120s).has_value());
    }

    // Guards against a restarted host that stays unready, or becomes ready with an older one of its peers' revisions.
    void restartDuringOutage()
    {
        ConfigurationHost behind("h1", m_platform, start);
        behind.settle(start);
        test::commitNext(m_platform.table, test::teamChange("late"));
        ConfigurationHost current("h2", m_platform, start);
        current.settle(start);
        m_platform.table.setOutage(true);
        ConfigurationHost host("h3", m_platform, start + 10s);
        host.peers = {&behind, &current};
        host.settle(start + 10s);
        host.follower.onPeerRevision(1, 10s, start + 11s);
        host.settle(start + 11s);
        CPPUNIT_ASSERT(!host.follower.status(start + 11s).ready);
        host.follower.onPeerRevision(2, 10s, start + 12s);
        for (auto now = start + 12s; now < start + 20s; now += 1s) {
            host.settle(now);
            CPPUNIT_ASSERT(!host.follower.status(now).ready || host.inForce->revision == 2);
        }
        CPPUNIT_ASSERT(host.follower.status(start + 20s).ready);
        CPPUNIT_ASSERT(host.follower.status(start + 20s).confirmationAge == 18s);
    }

    // Guards against a restarted host that stays unready because its peers no longer keep the changes it needs.
    void restartFromPeerSnapshot()
    {
        ConfigurationHost peer("h1", m_platform, start);
        peer.follower.onPeerSnapshot(0, test::sampleConfiguration(2, 1), start);
        m_platform.table.setOutage(true);
        peer.settle(start);
        ConfigurationHost host("h2", m_platform, start);
        host.peers = {&peer};
        host.follower.onPeerRevision(1, 5s, start);
        for (auto now = start; now < start + 5s; now += 1s) {
            host.settle(now);
        }
        CPPUNIT_ASSERT_EQUAL(Revision{1}, host.inForce->revision);
        CPPUNIT_ASSERT(host.follower.status(start + 5s).ready);
    }

    // Guards against serving teams with strict withdrawal while withdrawals cannot reach this host.
    void confirmationExpires()
    {
        ConfigurationHost host("h1", m_platform, start);
        host.settle(start);
        m_platform.table.setOutage(true);
        for (auto now = start; now < start + 60s; now += 1s) {
            host.settle(now);
            CPPUNIT_ASSERT(!host.follower.status(now).unconfirmed);
        }
        CPPUNIT_ASSERT(host.follower.status(start + 60s).unconfirmed);
        CPPUNIT_ASSERT(host.follower.status(start + 60s).ready);
        CPPUNIT_ASSERT(host.follower.knownRevision(start + 60s)->age == 60s);
        m_platform.table.setOutage(false);
        host.settle(start + 64s);
        CPPUNIT_ASSERT(!host.follower.status(start + 64s).unconfirmed);
    }

    // Guards against applying a change without its fields that this daemon does not know.
    void unknownFieldKeepsTheLastGoodRevision()
    {
        ConfigurationHost host("h1", m_platform, start);
        writeRow(m_platform.table, configurationHeadKey(), R"({"revision":3,"id":"c","schema":1})");
        writeRow(m_platform.table, configurationChangeKey(2), formatChangeRecord({0, 1, 2, "b"}, test::teamChange("good")));
        writeRow(m_platform.table, configurationChangeKey(3), R"({"revision":3,"id":"c","schema":1,"change":{"upsert":{"models":[{"id":"m","quota":1}]}}})");
        host.settle(start);
        const auto status = host.follower.status(start);
        CPPUNIT_ASSERT_EQUAL(Revision{2}, status.revision);
        CPPUNIT_ASSERT(host.inForce->teams.contains("good") && !host.inForce->models.contains("m"));
        CPPUNIT_ASSERT(status.behind && status.applyFault.has_value());
        CPPUNIT_ASSERT_EQUAL(ResultCode::ConfigurationUnknownField, status.applyFault->code);
        CPPUNIT_ASSERT_EQUAL(std::string("change.upsert.models[0].quota"), status.applyFault->path);
        const auto reads = m_platform.table.counts().reads;
        for (auto now = start; now < start + 20s; now += 500ms) {
            host.settle(now);
        }
        CPPUNIT_ASSERT(m_platform.table.counts().reads - reads <= 6);
    }

    // Guards against readiness while the platform's configuration needs a newer schema version.
    void newerMinimumSchemaEndsReadiness()
    {
        ConfigurationHost host("h1", m_platform, start);
        host.settle(start);
        CPPUNIT_ASSERT(host.follower.status(start).ready);
        writeRow(m_platform.table, configurationHeadKey(), R"({"revision":2,"id":"b","schema":2})");
        host.settle(start + 4s);
        CPPUNIT_ASSERT(!host.follower.status(start + 4s).ready);
        CPPUNIT_ASSERT_EQUAL(Revision{1}, host.inForce->revision);
    }

    // Guards against a withdrawn key that works until its change arrives, and against early withdrawals in snapshots for peers.
    void withdrawalTakesEffectBeforeItsChange()
    {
        ConfigurationHost host("h1", m_platform, start);
        host.settle(start);
        host.follower.onWithdrawal("team-0-a", start + 1s);
        host.settle(start + 1s);
        CPPUNIT_ASSERT(host.inForce->keys.at("team-0-a").withdrawn);
        CPPUNIT_ASSERT(host.stopped == std::vector<KeyId>{"team-0-a"});
        CPPUNIT_ASSERT(host.follower.recentWithdrawals(start + 2s) == std::vector<KeyId>{"team-0-a"});
        CPPUNIT_ASSERT(!host.follower.snapshot()->keys.at("team-0-a").withdrawn);

        test::commitNext(m_platform.table, test::teamChange("unrelated"));
        host.settle(start + 5s);
        CPPUNIT_ASSERT(host.inForce->keys.at("team-0-a").withdrawn);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.follower.uncommittedWithdrawals().size());

        test::commitNext(m_platform.table, withdrawal(host.follower.snapshot()->keys.at("team-0-a")));
        host.settle(start + 9s);
        CPPUNIT_ASSERT(host.follower.uncommittedWithdrawals().empty());
        CPPUNIT_ASSERT(host.inForce->keys.at("team-0-a").withdrawn);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.stopped.size());
    }

    // Guards against a key that becomes valid on a host that received its withdrawal before its creation.
    void withdrawalOfAnUnknownKey()
    {
        ConfigurationHost host("h1", m_platform, start);
        host.settle(start);
        host.follower.onWithdrawal("new", start + 1s);
        ConfigurationChange change;
        change.upsert.keys = {test::sampleKey("new", "team-0")};
        test::commitNext(m_platform.table, change);
        host.settle(start + 5s);
        CPPUNIT_ASSERT(host.inForce->keys.at("new").withdrawn);
    }

    // Guards against gossiping a removed key, which would keep its id blocked on other hosts.
    void removedKeyIdIsNotBlocked()
    {
        ConfigurationHost host("h1", m_platform, start);
        host.settle(start);
        ConfigurationChange change;
        change.remove.keys = {"team-0-a"};
        test::commitNext(m_platform.table, change);
        host.settle(start + 4s);
        CPPUNIT_ASSERT(host.stopped == std::vector<KeyId>{"team-0-a"});
        CPPUNIT_ASSERT(host.follower.recentWithdrawals(start + 4s).empty());
    }

private:
    MemoryPlatform m_platform;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFollowerTest);

} // namespace guavafield
