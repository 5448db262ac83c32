// Tests of the mirrored table: versions never decrease, and peers can be sent the changes that they lack.
#include <guavafield/coordination/fleet/table_mirror.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class TableMirrorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TableMirrorTest);
    CPPUNIT_TEST(staleReadIsIgnored);
    CPPUNIT_TEST(olderRowDoesNotReplaceNewer);
    CPPUNIT_TEST(fullReadRemovesMissingRows);
    CPPUNIT_TEST(removalReachesPeers);
    CPPUNIT_TEST(compactedRemovalRequiresAllRows);
    CPPUNIT_TEST(unseenRemovalIsDetected);
    CPPUNIT_TEST(confirmationNeverGoesBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // A store may answer with an old state, whose rows must not replace newer ones.
    void staleReadIsIgnored()
    {
        TableMirror mirror;
        mirror.replace(std::vector<MirroredRow>{{"a", 5, "new"}}, 9, at(0));
        CPPUNIT_ASSERT(!mirror.replace(std::vector<MirroredRow>{{"a", 3, "old"}, {"b", 2, "gone"}}, 4, at(1)));
        CPPUNIT_ASSERT(mirror.rows() == (std::vector<MirroredRow>{{"a", 5, "new"}}));
        CPPUNIT_ASSERT_EQUAL(RowVersion{9}, mirror.complete());
    }

    // Changes may arrive twice or out of order through two peers.
    void olderRowDoesNotReplaceNewer()
    {
        TableMirror mirror;
        mirror.apply(std::vector<MirroredRow>{{"a", 7, "seven"}}, 7, at(0));
        CPPUNIT_ASSERT(!mirror.apply(std::vector<MirroredRow>{{"a", 6, "six"}}, 6, at(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("seven"), *mirror.rows().front().value);
        CPPUNIT_ASSERT_EQUAL(RowVersion{7}, mirror.content());
    }

    // An upstream must not stay in use when its row was removed while the change history was lost.
    void fullReadRemovesMissingRows()
    {
        TableMirror mirror;
        mirror.replace(std::vector<MirroredRow>{{"a", 1, "x"}, {"b", 2, "y"}}, 2, at(0));
        CPPUNIT_ASSERT(mirror.replace(std::vector<MirroredRow>{{"a", 1, "x"}}, 8, at(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mirror.rows().size());
        CPPUNIT_ASSERT_EQUAL(RowVersion{8}, mirror.content());
    }

    // Peers must be sent removals, not only the remaining rows.
    void removalReachesPeers()
    {
        TableMirror reader;
        reader.replace(std::vector<MirroredRow>{{"a", 1, "x"}, {"b", 2, "y"}}, 2, at(0));
        TableMirror follower = reader;
        reader.apply(std::vector<MirroredRow>{{"b", 3, std::nullopt}}, 3, at(1));
        const auto changes = reader.changesAfter(follower.content());
        CPPUNIT_ASSERT(changes.has_value());
        follower.apply(*changes, reader.complete(), at(1));
        CPPUNIT_ASSERT(follower.rows() == reader.rows());
        CPPUNIT_ASSERT_EQUAL(reader.content(), follower.content());
    }

    // A list of changes must not be returned if removals in its range were compacted.
    void compactedRemovalRequiresAllRows()
    {
        TableMirror mirror;
        mirror.replace({}, 1, at(0));
        constexpr RowVersion rows = 3'000;
        for (RowVersion n = 0; n < rows; ++n) {
            const auto key = "k" + std::to_string(n);
            mirror.apply(std::vector<MirroredRow>{{key, 2 + 2 * n, "v"}}, 2 + 2 * n, at(0));
            mirror.apply(std::vector<MirroredRow>{{key, 3 + 2 * n, std::nullopt}}, 3 + 2 * n, at(0));
        }
        CPPUNIT_ASSERT(!mirror.changesAfter(2).has_value());
        CPPUNIT_ASSERT(mirror.changesAfter(mirror.content() - 2).has_value());
    }

    // Two mirrors must not have the same version if one of them still has a row that was removed.
    void unseenRemovalIsDetected()
    {
        TableMirror old;
        old.replace(std::vector<MirroredRow>{{"a", 1, "x"}, {"b", 2, "y"}}, 2, at(0));
        TableMirror fresh;
        fresh.replace(std::vector<MirroredRow>{{"b", 2, "y"}}, 3, at(1));
        CPPUNIT_ASSERT(old.content() < fresh.content());
        CPPUNIT_ASSERT(!fresh.changesAfter(old.content()).has_value());
        old.replace(fresh.rows(), fresh.complete(), at(1));
        old.advanceContent(fresh.content());
        CPPUNIT_ASSERT(old.rows() == fresh.rows() && old.content() == fresh.content());
    }

    // A late message must not reduce the confirmed version or time, nor may the age be understated.
    void confirmationNeverGoesBack()
    {
        TableMirror mirror;
        CPPUNIT_ASSERT(!mirror.hasBeenRead());
        mirror.replace({}, 4, at(100));
        mirror.confirm(3, at(50));
        CPPUNIT_ASSERT_EQUAL(RowVersion{4}, mirror.complete());
        CPPUNIT_ASSERT(mirror.knowledge(at(130)).age == Milliseconds{30});
    }

private:
    static SteadyTime at(int milliseconds)
    {
        return SteadyTime{Milliseconds{milliseconds}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableMirrorTest);

} // namespace guavafield
