// Tests that a crashing prompt part is told apart from the sound parts that stand beside it in the same requests.
#include "coordination/request/health/shared_part_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace guavafield::test {

namespace {

using Parts = SharedPartFleet::Parts;

constexpr std::uint64_t deadlyPart = 0xDEAD'0001;
constexpr std::uint64_t otherDeadlyPart = 0xDEAD'0002;
constexpr std::uint64_t soundFirstPart = 0x50FA'0001;
constexpr std::uint64_t sharedPart = 0xB10C'0002;
constexpr std::uint64_t otherSharedPart = 0xB10C'0003;
constexpr std::uint64_t formerPart = 0xF000'0001;
// Unique parts are numbered from here on.
constexpr std::uint64_t firstUniquePart = 0x7000'0000;

// Requests with the deadly part that may run later than the contact time after the fifth crash.
constexpr std::size_t maxLateDeadlyRuns = 3;

SharedPartFleet::PartsOfRequest always(Parts parts)
{
    return [parts = std::move(parts)](std::size_t /*n*/) { return parts; };
}

SharedPartFleet::Settings sharedBelow()
{
    SharedPartFleet::Settings settings;
    settings.deadlyParts = always({deadlyPart, sharedPart});
    settings.soundParts = always({soundFirstPart, sharedPart});
    return settings;
}

// Plays the fleet with the first deadly request at different moments between two rounds of sound requests.
void checkSoundRequestsBegin(const SharedPartFleet::Settings &settings, const std::string &name)
{
    for (const Milliseconds offset : {Milliseconds{0}, Milliseconds{300}, Milliseconds{900}, Milliseconds{1'500}, Milliseconds{2'600}}) {
        auto played = settings;
        played.calmTime += offset;
        const auto result = SharedPartFleet(played).run();
        const auto text = name + ", offset " + std::to_string(offset.count()) + " ms: " + std::to_string(result.after.begun) + " of "
            + std::to_string(result.after.sent) + " sound requests begin, " + std::to_string(result.lateDeadlyRuns) + " late runs, "
            + std::to_string(result.crashes) + " crashes";
        CPPUNIT_ASSERT_MESSAGE(text, result.crashes >= 3 && result.before.begun == result.before.sent);
        CPPUNIT_ASSERT_MESSAGE(text, result.after.begun * 2 >= result.after.sent);
        CPPUNIT_ASSERT_MESSAGE(text, result.lateDeadlyRuns <= maxLateDeadlyRuns);
    }
}

} // namespace

class SharedPartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedPartTest);
    CPPUNIT_TEST(soundRequestsWithTheSharedPartAreServed);
    CPPUNIT_TEST(rateOfTheDeadlyRequestsDoesNotMatter);
    CPPUNIT_TEST(seldomSoundRequestsAreServed);
    CPPUNIT_TEST(orderOfThePartsDoesNotMatter);
    CPPUNIT_TEST(sharedPartThatIsNewIsNotAccused);
    CPPUNIT_TEST(deadlyPartThatChangesItsCompanyIsStopped);
    CPPUNIT_TEST(twoDeadlyPartsDoNotAccuseTheirSharedPart);
    CPPUNIT_TEST(hostThatStartsLateServesSoundRequests);
    CPPUNIT_TEST(ordinaryCrashesBesideDoNotAccuseTheSharedPart);
    CPPUNIT_TEST(verdictThatALaterOneExplainsEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the conviction of a sound part that stands below the deadly one, after which no sound request with it begins.
    void soundRequestsWithTheSharedPartAreServed()
    {
        checkSoundRequestsBegin(sharedBelow(), "shared part below");
    }

    // Guards against convictions that depend on how many crashes fit between two sound answers.
    void rateOfTheDeadlyRequestsDoesNotMatter()
    {
        for (const int interval : {300, 450, 1'000, 1'600, 2'500}) {
            auto settings = sharedBelow();
            settings.deadlyInterval = Milliseconds{interval};
            checkSoundRequestsBegin(settings, "deadly request each " + std::to_string(interval) + " ms");
        }
    }

    // Guards against convictions for lack of sound answers while the upstreams crash.
    void seldomSoundRequestsAreServed()
    {
        for (const int interval : {5'000, 10'000}) {
            for (const std::size_t requests : {1U, 3U}) {
                auto settings = sharedBelow();
                settings.roundInterval = Milliseconds{interval};
                settings.requestsPerRound = requests;
                settings.deadlyTime = Milliseconds{60'000};
                checkSoundRequestsBegin(settings, std::to_string(requests) + " sound requests each " + std::to_string(interval) + " ms");
            }
        }
    }

    // Guards against convictions by the position of a part.
    void orderOfThePartsDoesNotMatter()
    {
        auto settings = sharedBelow();
        settings.deadlyParts = always({sharedPart, deadlyPart});
        settings.soundParts = always({sharedPart, soundFirstPart});
        checkSoundRequestsBegin(settings, "shared part above");
        settings.deadlyParts = always({deadlyPart, sharedPart, otherSharedPart});
        settings.soundParts = always({soundFirstPart, sharedPart, otherSharedPart});
        checkSoundRequestsBegin(settings, "two shared parts below");
        settings.deadlyParts = always({sharedPart, deadlyPart, otherSharedPart});
        settings.soundParts = always({sharedPart, soundFirstPart, otherSharedPart});
        checkSoundRequestsBegin(settings, "deadly part between two shared parts");
    }

    // Guards against a rule that clears a part only for the answers before the first crash: a new part has none.
    void sharedPartThatIsNewIsNotAccused()
    {
        for (const int interval : {300, 650, 1'600}) {
            auto settings = sharedBelow();
            settings.deadlyInterval = Milliseconds{interval};
            const auto calmRequests = static_cast<std::size_t>(settings.calmTime / settings.roundInterval) * settings.requestsPerRound;
            settings.soundParts = [calmRequests](std::size_t n) { return Parts{soundFirstPart, n < calmRequests ? formerPart : sharedPart}; };
            checkSoundRequestsBegin(settings, "new shared part, deadly request each " + std::to_string(interval) + " ms");
        }
    }

    // Guards against a verdict on parts that came together by chance, which lets the deadly part through once it comes with others.
    void deadlyPartThatChangesItsCompanyIsStopped()
    {
        constexpr std::size_t requestsInTheFirstCompany = 5;
        for (const int interval : {300, 650, 1'600}) {
            auto settings = sharedBelow();
            settings.deadlyInterval = Milliseconds{interval};
            settings.deadlyParts = [](std::size_t n) { return Parts{deadlyPart, n < requestsInTheFirstCompany ? sharedPart : firstUniquePart + n}; };
            checkSoundRequestsBegin(settings, "other company, deadly request each " + std::to_string(interval) + " ms");
        }
    }

    // Guards against the conviction of the one part that the requests of two deadly parts have in common.
    void twoDeadlyPartsDoNotAccuseTheirSharedPart()
    {
        auto settings = sharedBelow();
        settings.deadlyParts = [](std::size_t n) { return Parts{n % 2 == 0 ? deadlyPart : otherDeadlyPart, sharedPart}; };
        checkSoundRequestsBegin(settings, "two deadly parts");
    }

    // Guards against a verdict that a host takes from another one and that names the wrong part of those convicted.
    void hostThatStartsLateServesSoundRequests()
    {
        for (const int delay : {500, 1'500, 4'000}) {
            auto settings = sharedBelow();
            settings.lateHost = 1;
            settings.lateHostDelay = Milliseconds{delay};
            checkSoundRequestsBegin(settings, "a host that starts " + std::to_string(delay) + " ms after the first deadly request");
        }
    }

    // Guards against sound requests that are accused because their upstreams crash for other reasons.
    void ordinaryCrashesBesideDoNotAccuseTheSharedPart()
    {
        auto settings = sharedBelow();
        settings.ordinaryCrashInterval = Milliseconds{7'000};
        checkSoundRequestsBegin(settings, "ordinary crashes");
    }

    // Guards against a sound part that stays refused, on all hosts, after the part is found that explains its crashes as well.
    void verdictThatALaterOneExplainsEnds()
    {
        constexpr std::size_t upstreams = 40;
        constexpr Milliseconds pause{700};
        const CrashSuspect sound{900, {soundFirstPart}};
        const CrashSuspect deadly{901, {deadlyPart}};
        SteadyTime now{std::chrono::hours{1}};
        CrashEvidence evidence;
        CrashEvidence other;
        // At first this host hears only of the sound requests that run where the upstreams crash.
        CrashKnowledge heardLate;
        for (std::uint64_t n = 0; n < 4; ++n, now += pause) {
            evidence.onCrash({n, 1}, {100 + n, {soundFirstPart, otherSharedPart + n}}, upstreams, now);
            heardLate.crashes.push_back({{n, 1}, pause * static_cast<int>(4 - n), {{200 + n, {deadlyPart, firstUniquePart + n}}}});
        }
        CPPUNIT_ASSERT(evidence.refusedFor(sound, now).has_value());
        const auto early = evidence.knowledge(now);
        evidence.merge(heardLate, now);
        // The crashes go on under requests with the deadly part alone.
        for (std::uint64_t n = 4; n < 8; ++n, now += pause) {
            evidence.onCrash({n, 1}, {200 + n, {deadlyPart, firstUniquePart + n}}, upstreams, now);
        }
        CPPUNIT_ASSERT(evidence.refusedFor(deadly, now).has_value());
        CPPUNIT_ASSERT(!evidence.refusedFor(sound, now).has_value());
        // A host that has heard of the verdict alone must not bring it back, also when the crashes are forgotten.
        other.merge(early, now);
        now += std::chrono::minutes{2};
        evidence.merge(other.knowledge(now), now);
        CPPUNIT_ASSERT(!evidence.refusedFor(sound, now).has_value());
        CPPUNIT_ASSERT(evidence.refusedFor(deadly, now).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedPartTest);

} // namespace guavafield::test
