// Model checking of the lease over interleavings of hosts that may be paused at any point.
#include "lease_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

namespace guavafield {

using test::LeaseHarness;

namespace {

constexpr std::size_t exhaustiveDepth = 6;
constexpr std::uint64_t randomRuns = 4'000;

// Number of different events in the exhaustive search over two hosts.
constexpr std::size_t eventKinds = 8;

void applyEvent(LeaseHarness &harness, std::size_t event)
{
    switch (event) {
    case 0:
        harness.advance(Milliseconds{4'000});
        break;
    case 1:
        harness.advance(Milliseconds{11'000});
        break;
    case 2:
        harness.runUntilIdle(0);
        break;
    case 3:
        harness.runUntilIdle(1);
        break;
    case 4:
        harness.check(0, SendRule::SoleHolder);
        break;
    case 5:
        harness.send(0);
        break;
    case 6:
        harness.check(1, SendRule::SoleHolder);
        harness.send(1);
        break;
    default:
        // The first host's next operation takes effect, but the reply is lost.
        harness.step(0);
        harness.apply(0);
        harness.loseReply(0);
        break;
    }
}

void applyRandomEvent(LeaseHarness &harness, std::mt19937_64 &random, std::size_t &awake)
{
    const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    // Hosts outside the mask are paused until the mask is drawn again.
    if (pick(12) == 0) {
        awake = 1 + pick((1U << harness.size()) - 1);
    }
    const auto host = pick(harness.size());
    const bool runs = (awake & (1U << host)) != 0 && !harness.dead(host);
    const auto event = pick(24);
    if (event < 6) {
        harness.advance(Milliseconds{1 + static_cast<Milliseconds::rep>(pick(event == 0 ? 12'000 : 800))});
    } else if (event == 6) {
        harness.applyDelayed();
    } else if (event == 7 && pick(20) == 0) {
        harness.table.staleReads();
    } else if (event == 8) {
        harness.table.freshReads();
    } else if (event == 9) {
        harness.table.setOutage(pick(10) == 0);
    } else if (!runs || event == 16) {
        harness.apply(host);
    } else if (event < 13) {
        harness.runUntilIdle(host);
    } else if (event < 16) {
        harness.step(host);
    } else if (event == 17) {
        harness.deliver(host);
    } else if (event == 18) {
        harness.loseReply(host);
    } else if (event == 19 && pick(30) == 0) {
        harness.die(host);
    } else if (event == 20 && pick(15) == 0) {
        harness.stop(host);
    } else if (event < 22) {
        harness.check(host, pick(4) == 0 ? SendRule::Holder : SendRule::SoleHolder);
    } else {
        harness.send(host);
    }
}

} // namespace

class LeaseModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseModelTest);
    CPPUNIT_TEST(everyShortInterleavingOfTwoHosts);
    CPPUNIT_TEST(randomInterleavingsOfThreeHosts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two senders when the holder is paused between check and send, for all event sequences of a fixed length.
    void everyShortInterleavingOfTwoHosts()
    {
        std::size_t sequences = 1;
        for (std::size_t n = 0; n < exhaustiveDepth; ++n) {
            sequences *= eventKinds;
        }
        std::size_t sent = 0;
        for (const auto start : {Start::Holding, Start::TakenOver, Start::Stopping}) {
            for (std::size_t sequence = 0; sequence < sequences; ++sequence) {
                LeaseHarness harness({0.95, 1.05});
                prepare(harness, start);
                for (std::size_t n = 0, rest = sequence; n < exhaustiveDepth; ++n, rest /= eventKinds) {
                    applyEvent(harness, rest % eventKinds);
                }
                if (!harness.faults.empty()) {
                    CPPUNIT_FAIL(harness.faults.front() + ", sequence " + std::to_string(sequence));
                }
                sent += harness.sent;
            }
        }
        CPPUNIT_ASSERT(sent > sequences / 100);
    }

    // Guards against the same with clocks that drift by up to 5% each way, lost and delayed writes, stale reads, outages, crashes and graceful stops.
    void randomInterleavingsOfThreeHosts()
    {
        std::cout << "seeds 1 to " << randomRuns << std::endl;
        std::size_t sent = 0;
        Fence takeOvers = 0;
        for (std::uint64_t seed = 1; seed <= randomRuns; ++seed) {
            std::mt19937_64 random(seed);
            LeaseHarness harness({seed % 2 == 0 ? 0.951 : 1.049, 1.0, seed % 2 == 0 ? 1.049 : 0.951});
            std::size_t awake = 7;
            for (int n = 0; n < 600; ++n) {
                applyRandomEvent(harness, random, awake);
            }
            if (!harness.faults.empty()) {
                CPPUNIT_FAIL(harness.faults.front() + ", seed " + std::to_string(seed));
            }
            sent += harness.sent;
            const auto record = leaseCodec().decode(harness.table.peek({"lease", "orders/x"}).value);
            takeOvers += record ? record->fence : 0;
        }
        std::cout << sent << " sends, " << takeOvers << " take-overs" << std::endl;
        CPPUNIT_ASSERT(sent > randomRuns);
        CPPUNIT_ASSERT(takeOvers > randomRuns);
    }

private:
    enum class Start {
        Holding,
        // The holder has paused and the second host has taken over.
        TakenOver,
        Stopping,
    };

    // The first host holds the lease and has checked a send.
    static void prepare(LeaseHarness &harness, Start start)
    {
        harness.runUntilIdle(0);
        harness.check(0, SendRule::SoleHolder);
        harness.runUntilIdle(1);
        if (start == Start::TakenOver) {
            harness.advance(Milliseconds{12'000});
            harness.runUntilIdle(1);
        } else if (start == Start::Stopping) {
            harness.stop(0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseModelTest);

} // namespace guavafield
