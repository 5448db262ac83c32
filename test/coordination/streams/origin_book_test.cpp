// Tests of a host's memory of streams and of the index of what others wrote.
#include <guavafield/coordination/streams/origin_book.hpp>
#include <guavafield/coordination/streams/origin_index.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>

namespace guavafield {

namespace {

constexpr SteadyTime start{std::chrono::seconds{1'000}};
constexpr std::size_t capacity = 4;
const auto everyStream = [](const BegunStream &) { return true; };

BegunStream streamOf(const std::string &id, const SoftwareVersion &version, SteadyTime dispatched = start)
{
    BegunStream stream;
    stream.stream = streamHash(id);
    stream.origin = {"text", version};
    stream.upstream = "u1";
    stream.incarnation = 1;
    stream.dispatched = dispatched;
    stream.until = start + std::chrono::seconds{60};
    return stream;
}

Configuration configurationWith(Incarnation incarnation, const SoftwareVersion &version)
{
    Configuration configuration;
    auto &upstream = configuration.upstreams["u1"];
    upstream.id = "u1";
    upstream.pool = "text";
    upstream.incarnation = incarnation;
    upstream.softwareVersion = version;
    return configuration;
}

} // namespace

class OriginBookTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OriginBookTest);
    CPPUNIT_TEST(attemptThatBeganTwiceAtDifferentVersionsHasNoOrigin);
    CPPUNIT_TEST(streamThatEndedIsNotFound);
    CPPUNIT_TEST(bookDoesNotGrowBeyondItsCapacity);
    CPPUNIT_TEST(streamOfAnUpstreamReplacedAtItsDispatchIsNeitherFoundNorWritten);
    CPPUNIT_TEST(streamThatBeganLongBeforeItsUpstreamWasReplacedIsFound);
    CPPUNIT_TEST(streamOfANamedProcessIsFoundWhateverEntryFollows);
    CPPUNIT_TEST(streamOfAProcessWithoutAnEntryIsUncertain);
    CPPUNIT_TEST(upstreamRestartedWithItsVersionKeepsItsStreams);
    CPPUNIT_TEST(failedWriteIsRepeatedAndADoneOneIsNot);
    CPPUNIT_TEST(storeThatCameBackOlderIsWrittenAgain);
    CPPUNIT_TEST(rowsThatContradictEachOtherNameNoOrigin);
    CPPUNIT_TEST(indexForgetsStreamsThatEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptThatBeganTwiceAtDifferentVersionsHasNoOrigin()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        book.add(streamOf("a", "1"), start);
        CPPUNIT_ASSERT(book.find(streamHash("a"), start) == (StreamOrigin{"text", "1"}));
        CPPUNIT_ASSERT(!book.isUncertain(streamHash("a")));
        book.add(streamOf("a", "2"), start);
        CPPUNIT_ASSERT(!book.find(streamHash("a"), start));
        CPPUNIT_ASSERT(book.isUncertain(streamHash("a")));
        CPPUNIT_ASSERT(book.takeUnsaved(everyStream, capacity, start).empty());
    }

    void streamThatEndedIsNotFound()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        CPPUNIT_ASSERT(!book.find(streamHash("a"), start + std::chrono::seconds{60}));
        CPPUNIT_ASSERT(book.takeUnsaved(everyStream, capacity, start + std::chrono::seconds{60}).empty());
    }

    void bookDoesNotGrowBeyondItsCapacity()
    {
        OriginBook book(capacity);
        for (int n = 0; n < 100; ++n) {
            book.add(streamOf(std::to_string(n), "1"), start);
        }
        CPPUNIT_ASSERT(!book.find(streamHash("95"), start));
        CPPUNIT_ASSERT(book.find(streamHash("96"), start));
        CPPUNIT_ASSERT_EQUAL(capacity, book.takeUnsaved(everyStream, 100, start).size());
    }

    void streamOfAnUpstreamReplacedAtItsDispatchIsNeitherFoundNorWritten()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        book.onConfiguration(configurationWith(2, "2"), start - std::chrono::seconds{1});
        CPPUNIT_ASSERT(!book.find(streamHash("a"), start));
        CPPUNIT_ASSERT(book.takeUnsaved(everyStream, capacity, start).empty());
    }

    void streamThatBeganLongBeforeItsUpstreamWasReplacedIsFound()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        book.onConfiguration(configurationWith(2, "2"), start + std::chrono::seconds{1});
        CPPUNIT_ASSERT(book.find(streamHash("a"), start));
    }

    void streamOfANamedProcessIsFoundWhateverEntryFollows()
    {
        OriginBook book(capacity);
        auto stream = streamOf("a", "1");
        stream.identified = true;
        book.add(stream, start);
        book.onConfiguration(configurationWith(2, "2"), start - std::chrono::seconds{1});
        CPPUNIT_ASSERT(book.find(streamHash("a"), start));
    }

    void streamOfAProcessWithoutAnEntryIsUncertain()
    {
        OriginBook book(capacity);
        auto stream = streamOf("a", "1");
        stream.certain = false;
        book.add(stream, start);
        CPPUNIT_ASSERT(!book.find(streamHash("a"), start));
        CPPUNIT_ASSERT(book.isUncertain(streamHash("a")));
        CPPUNIT_ASSERT(book.takeUnsaved(everyStream, capacity, start).empty());
    }

    void upstreamRestartedWithItsVersionKeepsItsStreams()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        book.onConfiguration(configurationWith(2, "1"), start - std::chrono::seconds{1});
        CPPUNIT_ASSERT(book.find(streamHash("a"), start));
    }

    void failedWriteIsRepeatedAndADoneOneIsNot()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        const auto taken = book.takeUnsaved(everyStream, capacity, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
        CPPUNIT_ASSERT(book.takeUnsaved(everyStream, capacity, start).empty());
        book.returnUnsaved(taken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.takeUnsaved(everyStream, capacity, start).size());
    }

    void storeThatCameBackOlderIsWrittenAgain()
    {
        OriginBook book(capacity);
        book.add(streamOf("a", "1"), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.takeUnsaved(everyStream, capacity, start).size());
        book.forgetSaved();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.takeUnsaved(everyStream, capacity, start).size());
    }

    void rowsThatContradictEachOtherNameNoOrigin()
    {
        const WallTime until{std::chrono::seconds{100}};
        OriginIndex index;
        index.add({until, {{{"text", "1"}, {1, 2}}}});
        index.add({until, {{{"text", "2"}, {2}}, {{"other", "1"}, {3}}}});
        CPPUNIT_ASSERT(index.find(1) == (StreamOrigin{"text", "1"}));
        CPPUNIT_ASSERT(!index.find(2));
        CPPUNIT_ASSERT(index.find(3) == (StreamOrigin{"other", "1"}));
    }

    void indexForgetsStreamsThatEnded()
    {
        OriginIndex index;
        index.add({WallTime{std::chrono::seconds{100}}, {{{"text", "1"}, {1}}}});
        index.dropEnded(WallTime{std::chrono::seconds{100}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginBookTest);

} // namespace guavafield
