// Tests of the storage of verdicts.
#include <guavafield/coordination/request/health/crash_verdicts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace guavafield {

namespace {

constexpr SteadyTime convictedAt{std::chrono::hours{1}};
constexpr std::uint64_t requestId = 99;

CrashSuspect requestWith(std::vector<std::uint64_t> parts)
{
    return {requestId, std::move(parts), false};
}

} // namespace

class CrashVerdictsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashVerdictsTest);
    CPPUNIT_TEST(requestIsRefusedOnlyWithAllFeatures);
    CPPUNIT_TEST(clearedFeatureLeavesTheOthersRefused);
    CPPUNIT_TEST(answerBeforeTheVerdictClearsNothing);
    CPPUNIT_TEST(narrowerVerdictReplacesWiderOnes);
    CPPUNIT_TEST(verdictOnComparableFeaturesIsCovered);
    CPPUNIT_TEST(oldestVerdictsYield);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the refusal of requests that share only some of the suspected parts.
    void requestIsRefusedOnlyWithAllFeatures()
    {
        CrashVerdicts verdicts;
        verdicts.add({{1, 2}, convictedAt});
        CPPUNIT_ASSERT(verdicts.refusedSince(requestWith({1, 2, 3})) == convictedAt);
        CPPUNIT_ASSERT(!verdicts.refusedSince(requestWith({1, 3})));
        CPPUNIT_ASSERT(!verdicts.refusedSince(requestWith({2})));
        verdicts.add({{requestId}, convictedAt});
        CPPUNIT_ASSERT(verdicts.refusedSince(requestWith({})).has_value());
    }

    // Guards against the loss of the guilty part when a sound one is cleared.
    void clearedFeatureLeavesTheOthersRefused()
    {
        CrashVerdicts verdicts;
        verdicts.add({{1, 2}, convictedAt});
        CPPUNIT_ASSERT(verdicts.clear(2, convictedAt + Milliseconds{1}));
        CPPUNIT_ASSERT(verdicts.refusedSince(requestWith({1})).has_value());
        CPPUNIT_ASSERT(!verdicts.names(2));
        CPPUNIT_ASSERT(verdicts.clear(1, convictedAt + Milliseconds{1}));
        CPPUNIT_ASSERT(verdicts.begin() == verdicts.end());
    }

    // Guards against an old answer that lifts a verdict which knew of it.
    void answerBeforeTheVerdictClearsNothing()
    {
        CrashVerdicts verdicts;
        verdicts.add({{1, 2}, convictedAt});
        CPPUNIT_ASSERT(!verdicts.clear(2, convictedAt));
        CPPUNIT_ASSERT(verdicts.names(2));
    }

    // Guards against verdicts that pile up while one combination is narrowed.
    void narrowerVerdictReplacesWiderOnes()
    {
        CrashVerdicts verdicts;
        verdicts.add({{1, 2}, convictedAt});
        verdicts.add({{3, 1}, convictedAt});
        verdicts.add({{1}, convictedAt + Milliseconds{1}});
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::distance(verdicts.begin(), verdicts.end()));
        CPPUNIT_ASSERT(verdicts.refusedSince(requestWith({1})) == convictedAt + Milliseconds{1});
    }

    // Guards against a verdict of another host that widens what this host has narrowed, or names one part of a combination.
    void verdictOnComparableFeaturesIsCovered()
    {
        CrashVerdicts verdicts;
        verdicts.add({{1, 2}, convictedAt});
        CPPUNIT_ASSERT(verdicts.covers(std::array<std::uint64_t, 1>{2}));
        CPPUNIT_ASSERT(verdicts.covers(std::array<std::uint64_t, 3>{1, 2, 3}));
        CPPUNIT_ASSERT(!verdicts.covers(std::array<std::uint64_t, 2>{2, 3}));
        CPPUNIT_ASSERT(verdicts.nameTogether(1, 2) && !verdicts.nameTogether(1, 3));
    }

    // Guards against memory that callers use up by crashing upstreams.
    void oldestVerdictsYield()
    {
        CrashVerdicts verdicts;
        for (std::uint64_t n = 0; n < 300; ++n) {
            verdicts.add({{n + 1}, convictedAt + Milliseconds{n}});
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{256}, std::distance(verdicts.begin(), verdicts.end()));
        CPPUNIT_ASSERT(!verdicts.names(1) && verdicts.names(300));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashVerdictsTest);

} // namespace guavafield
