// Tests of event loops that outlive errors of single handlers.
#include <guavafield/transport/log/event_loop.hpp>

#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace guavafield {

class EventLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLoopTest);
    CPPUNIT_TEST(errorOfOneHandlerEndsNoOther);
    CPPUNIT_TEST(failedLoopIsRestarted);
    CPPUNIT_TEST(finishedLoopIsNotRestarted);
    CPPUNIT_TEST_SUITE_END();

public:
    // An unexpected error in one handler must not take the process down, nor the handlers behind it.
    void errorOfOneHandlerEndsNoOther()
    {
        boost::asio::io_context io;
        Counters counters;
        int handled = 0;
        boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
        boost::asio::post(io, [&] { ++handled; });
        boost::asio::post(io, [] { throw 7; });
        boost::asio::post(io, [&] { ++handled; });
        runEventLoop(io, counters);
        CPPUNIT_ASSERT_EQUAL(2, handled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.value(CounterId::UnexpectedErrors));
    }

    // A loop that keeps the host up to date, e.g. with its configuration, must not end with one bad message.
    void failedLoopIsRestarted()
    {
        boost::asio::io_context io;
        Counters counters;
        int runs = 0;
        spawnLoop(io.get_executor(), [&]() -> boost::asio::awaitable<void> {
            if (++runs < 3) {
                throw std::out_of_range("bad message");
            }
            co_return;
        });
        runEventLoop(io, counters);
        CPPUNIT_ASSERT_EQUAL(3, runs);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.value(CounterId::UnexpectedErrors));
    }

    void finishedLoopIsNotRestarted()
    {
        boost::asio::io_context io;
        Counters counters;
        int runs = 0;
        spawnLoop(io.get_executor(), [&]() -> boost::asio::awaitable<void> {
            ++runs;
            co_return;
        });
        runEventLoop(io, counters);
        CPPUNIT_ASSERT_EQUAL(1, runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

} // namespace guavafield
