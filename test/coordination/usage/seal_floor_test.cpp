// Tests of the last window that must not be sealed anew.
#include <guavafield/coordination/usage/seal_floor.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace guavafield {

namespace {

std::string encode(const SealFloorRecord &record)
{
    return std::to_string(record.epoch) + " " + std::to_string(record.window);
}

std::optional<SealFloorRecord> decode(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    return SealFloorRecord{std::stoull(std::string(text.substr(0, space))), std::stoull(std::string(text.substr(space + 1)))};
}

const RowKey key{"sealed", "floor"};

} // namespace

class SealFloorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SealFloorTest);
    CPPUNIT_TEST(windowsThatEndedBeforeTheEpochWasSeenAreCovered);
    CPPUNIT_TEST(laterHoldersKeepTheFloorOfTheirEpoch);
    CPPUNIT_TEST(floorOfAnEarlierEpochIsReplaced);
    CPPUNIT_TEST(unreadableRowIsReplaced);
    CPPUNIT_TEST(tenureOfAnEarlierEpochClaimsNothing);
    CPPUNIT_TEST(lateReadingOfTheSameEpochMovesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sealing anew what an earlier epoch may have sealed, and against passing over what it cannot have sealed.
    void windowsThatEndedBeforeTheEpochWasSeenAreCovered()
    {
        m_floor.onVersionKnown(versionInEpoch(2, 50), 200);
        m_floor.beginTenure(versionInEpoch(2, 7));
        CPPUNIT_ASSERT(!m_floor.known());
        claim(Row{key, versionInEpoch(2, 0), {}}, 204);
        CPPUNIT_ASSERT(m_floor.known());
        CPPUNIT_ASSERT(m_floor.covers(199) && !m_floor.covers(200));
    }

    // Guards against losing windows at each change of the holder.
    void laterHoldersKeepTheFloorOfTheirEpoch()
    {
        m_floor.onVersionKnown(versionInEpoch(2, 90), 300);
        m_floor.beginTenure(versionInEpoch(2, 9));
        claim(Row{key, versionInEpoch(2, 60), encode({versionInEpoch(2, 0), 199})}, 305);
        CPPUNIT_ASSERT(m_floor.covers(199) && !m_floor.covers(200));
        CPPUNIT_ASSERT_EQUAL(versionInEpoch(2, 61), m_floor.condition().version);
    }

    // Guards against a copy of the store that still has the floor of the epoch before.
    void floorOfAnEarlierEpochIsReplaced()
    {
        m_floor.onVersionKnown(versionInEpoch(2, 90), 300);
        m_floor.onVersionKnown(versionInEpoch(3, 80), 310);
        m_floor.beginTenure(versionInEpoch(3, 9));
        claim(Row{key, versionInEpoch(3, 60), encode({versionInEpoch(2, 0), 199})}, 315);
        CPPUNIT_ASSERT(m_floor.covers(309) && !m_floor.covers(310));
    }

    void unreadableRowIsReplaced()
    {
        m_floor.beginTenure(versionInEpoch(2, 9));
        claim(Row{key, versionInEpoch(2, 60), "nonsense"}, 315);
        // Nothing is known of the time at which the epoch began.
        CPPUNIT_ASSERT(m_floor.covers(314) && !m_floor.covers(315));
    }

    // Guards against a holder that has not noticed yet that the store lost its lease.
    void tenureOfAnEarlierEpochClaimsNothing()
    {
        m_floor.onVersionKnown(versionInEpoch(2, 90), 300);
        m_floor.beginTenure(versionInEpoch(2, 9));
        CPPUNIT_ASSERT(!m_floor.claim(Row{key, versionInEpoch(3, 60), {}}, 305).has_value());
        CPPUNIT_ASSERT(m_floor.claim(Row{key, versionInEpoch(2, 60), {}}, 305).has_value());
        m_floor.onClaimed(versionInEpoch(3, 61));
        CPPUNIT_ASSERT(!m_floor.known());
        m_floor.onClaimed(0);
        CPPUNIT_ASSERT(!m_floor.known());
    }

    void lateReadingOfTheSameEpochMovesNothing()
    {
        m_floor.onVersionKnown(versionInEpoch(2, 50), 200);
        m_floor.onVersionKnown(versionInEpoch(2, 90), 230);
        m_floor.onVersionKnown(versionInEpoch(1, 95), 231);
        m_floor.beginTenure(versionInEpoch(2, 7));
        claim(Row{key, versionInEpoch(2, 0), {}}, 240);
        CPPUNIT_ASSERT(m_floor.covers(199) && !m_floor.covers(200));
    }

private:
    // Claims the floor and has the claim committed as the next version.
    void claim(const Row &row, BillingWindow openWindow)
    {
        const auto transaction = m_floor.claim(row, openWindow);
        CPPUNIT_ASSERT(transaction.has_value());
        CPPUNIT_ASSERT_EQUAL(row.version, transaction->conditions.at(0).version);
        m_floor.onClaimed(row.version + 1);
    }

    SealFloor m_floor{key, {&encode, &decode}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SealFloorTest);

} // namespace guavafield
