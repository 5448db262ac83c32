// Tests of streams that are put together from several runs.
#include <guavafield/coordination/streams/event_sequence.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace guavafield {

namespace {

constexpr auto noNumber = std::nullopt;

} // namespace

class EventSequenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSequenceTest);
    CPPUNIT_TEST(numberThatFallsWithinARunIsNoRepetition);
    CPPUNIT_TEST(missingEventIsNotPassedOver);
    CPPUNIT_TEST(laterRunRepeatsWhatTheCallerHas);
    CPPUNIT_TEST(eventsWithoutANumberDoNotComeTwice);
    CPPUNIT_TEST(takenUpStreamBeginsAfterTheCallersLastEvent);
    CPPUNIT_TEST(runThatEndsBeforeTheCallersLastEventIsNotWhole);
    CPPUNIT_TEST(commentsAreNeitherCountedNorHeldBack);
    CPPUNIT_TEST(randomRunsJoinToTheWholeStream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs in one answer, of which the second's lower numbers are dropped and its higher ones passed on.
    void numberThatFallsWithinARunIsNoRepetition()
    {
        EventSequence events(noNumber);
        CPPUNIT_ASSERT(events.take(1, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(2, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(1, true) == EventVerdict::OutOfOrder);
        EventSequence twice(noNumber);
        CPPUNIT_ASSERT(twice.take(1, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(twice.take(1, true) == EventVerdict::OutOfOrder);
    }

    void missingEventIsNotPassedOver()
    {
        EventSequence events(noNumber);
        CPPUNIT_ASSERT(events.take(1, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(3, true) == EventVerdict::OutOfOrder);
        CPPUNIT_ASSERT(events.last() == 1);
    }

    void laterRunRepeatsWhatTheCallerHas()
    {
        EventSequence events(noNumber);
        for (unsigned n = 1; n <= 3; ++n) {
            CPPUNIT_ASSERT(events.take(n, true) == EventVerdict::Pass);
        }
        events.beginRun();
        CPPUNIT_ASSERT(events.take(2, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(3, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(4, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.last() == 4);
    }

    // Guards against an event that the caller gets from the run that broke and again from the one that goes on.
    void eventsWithoutANumberDoNotComeTwice()
    {
        EventSequence events(noNumber);
        CPPUNIT_ASSERT(events.take(1, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Pass);
        events.beginRun();
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Repeated);
        events.beginRun();
        CPPUNIT_ASSERT(events.take(1, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(2, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Pass);
    }

    void takenUpStreamBeginsAfterTheCallersLastEvent()
    {
        EventSequence events(7);
        CPPUNIT_ASSERT(events.take(6, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(7, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.take(8, true) == EventVerdict::Pass);
    }

    // Guards against an end that is told as whole though the run had not got as far as the one before it.
    void runThatEndsBeforeTheCallersLastEventIsNotWhole()
    {
        EventSequence events(7);
        CPPUNIT_ASSERT(events.mayEnd());
        CPPUNIT_ASSERT(events.take(6, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(!events.mayEnd());
        CPPUNIT_ASSERT(events.take(7, true) == EventVerdict::Repeated);
        CPPUNIT_ASSERT(events.mayEnd());
        CPPUNIT_ASSERT(events.take(8, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.mayEnd());
    }

    void commentsAreNeitherCountedNorHeldBack()
    {
        EventSequence events(noNumber);
        CPPUNIT_ASSERT(events.take(1, true) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(noNumber, false) == EventVerdict::Pass);
        events.beginRun();
        CPPUNIT_ASSERT(events.take(noNumber, false) == EventVerdict::Pass);
        CPPUNIT_ASSERT(events.take(noNumber, true) == EventVerdict::Pass);
    }

    // Guards against a seam at which an event is missing or comes twice, wherever runs break and however much they repeat.
    void randomRunsJoinToTheWholeStream()
    {
        constexpr std::uint64_t seed = 45;
        std::cout << " seed " << seed << std::flush;
        std::mt19937_64 random(seed);
        for (int n = 0; n < 2'000; ++n) {
            // 0 stands for an event without a number.
            std::vector<std::uint64_t> stream;
            for (std::uint64_t number = 1; number <= 12; ++number) {
                stream.push_back(number);
                stream.insert(stream.end(), random() % 3, 0);
            }
            EventSequence events(noNumber);
            std::vector<std::uint64_t> received;
            while (received.size() < stream.size()) {
                events.beginRun();
                // The run goes on after the last numbered event, or sends some numbered ones again before.
                const auto after = events.last().value_or(0);
                const auto from = after - std::min(after, random() % 4);
                auto at = from == 0 ? std::size_t{0} : static_cast<std::size_t>(std::ranges::find(stream, from) - stream.begin());
                at += from == after && after > 0 ? 1 : 0;
                for (const auto end = at + 1 + random() % stream.size(); at < std::min(end, stream.size()); ++at) {
                    const auto number = stream[at] == 0 ? std::nullopt : std::optional(stream[at]);
                    const auto verdict = events.take(number, true);
                    CPPUNIT_ASSERT(verdict != EventVerdict::OutOfOrder);
                    if (verdict == EventVerdict::Pass) {
                        received.push_back(stream[at]);
                    }
                }
            }
            CPPUNIT_ASSERT(received == stream);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSequenceTest);

} // namespace guavafield
