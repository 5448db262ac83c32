// Tests of telling a removed upstream's old entries from those that it writes again.
#include <guavafield/coordination/fleet/removed_upstreams.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class RemovedUpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RemovedUpstreamsTest);
    CPPUNIT_TEST(firstEntryOfALaterEpochIsFromTheCopy);
    CPPUNIT_TEST(laterEntryIsWrittenByTheUpstream);
    CPPUNIT_TEST(entryOfTheSameEpochIsWrittenByTheUpstream);
    CPPUNIT_TEST(entryOfARestartedUpstreamIsWrittenByIt);
    CPPUNIT_TEST(removalIsForgottenOnceNoCopyCanHoldTheEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_removed = RemovedUpstreams();
        m_upstream.id = "u1";
        m_upstream.incarnation = 7;
        m_removed.add(m_upstream, versionInEpoch(1, 50), SteadyTime{});
    }

    void firstEntryOfALaterEpochIsFromTheCopy()
    {
        CPPUNIT_ASSERT(returns(versionInEpoch(2, 20)));
        CPPUNIT_ASSERT(returns(versionInEpoch(2, 20)));
    }

    void laterEntryIsWrittenByTheUpstream()
    {
        CPPUNIT_ASSERT(returns(versionInEpoch(2, 20)));
        CPPUNIT_ASSERT(!returns(versionInEpoch(2, 21)));
    }

    void entryOfTheSameEpochIsWrittenByTheUpstream()
    {
        CPPUNIT_ASSERT(!returns(versionInEpoch(1, 51)));
    }

    void entryOfARestartedUpstreamIsWrittenByIt()
    {
        m_upstream.incarnation = 8;
        CPPUNIT_ASSERT(!returns(versionInEpoch(2, 20)));
    }

    void removalIsForgottenOnceNoCopyCanHoldTheEntry()
    {
        Upstream other;
        other.id = "u2";
        m_removed.add(other, versionInEpoch(1, 60), SteadyTime{} + std::chrono::minutes{10});
        CPPUNIT_ASSERT(!returns(versionInEpoch(2, 20)));
    }

private:
    bool returns(RowVersion version)
    {
        m_removed.onEntry(m_upstream.id, version);
        return m_removed.isFromCopy(m_upstream, version);
    }

    RemovedUpstreams m_removed;
    Upstream m_upstream;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemovedUpstreamsTest);

} // namespace guavafield
