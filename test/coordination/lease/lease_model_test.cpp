// Model checking of the lease rules over interleavings of hosts that pause at any point.
#include "lease_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

namespace guavafield {

using test::LeaseWorld;

namespace {

constexpr std::size_t exhaustiveDepth = 6;
constexpr std::uint64_t randomRuns = 4'000;

// One event of the exhaustive search over two hosts; returns false past the last event.
constexpr std::size_t eventKinds = 8;

void play(LeaseWorld &world, std::size_t event)
{
    switch (event) {
    case 0:
        world.advance(Milliseconds{4'000});
        break;
    case 1:
        world.advance(Milliseconds{11'000});
        break;
    case 2:
        world.pump(0);
        break;
    case 3:
        world.pump(1);
        break;
    case 4:
        world.check(0, SendRule::SoleHolder);
        break;
    case 5:
        world.send(0);
        break;
    case 6:
        world.check(1, SendRule::SoleHolder);
        world.send(1);
        break;
    default:
        // The first host's next operation takes effect, but the reply is lost.
        world.step(0);
        world.apply(0);
        world.lose(0);
        break;
    }
}

void playRandom(LeaseWorld &world, std::mt19937_64 &random, std::size_t &awake)
{
    const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    // A paused host does nothing until the mask is drawn again.
    if (pick(12) == 0) {
        awake = 1 + pick((1U << world.size()) - 1);
    }
    const auto host = pick(world.size());
    const bool runs = (awake & (1U << host)) != 0 && !world.dead(host);
    const auto event = pick(24);
    if (event < 6) {
        world.advance(Milliseconds{1 + static_cast<Milliseconds::rep>(pick(event == 0 ? 12'000 : 800))});
    } else if (event == 6) {
        world.applyLate();
    } else if (event == 7 && pick(20) == 0) {
        world.table.staleReads();
    } else if (event == 8) {
        world.table.freshReads();
    } else if (event == 9) {
        world.table.setOutage(pick(10) == 0);
    } else if (!runs || event == 16) {
        world.apply(host);
    } else if (event < 13) {
        world.pump(host);
    } else if (event < 16) {
        world.step(host);
    } else if (event == 17) {
        world.deliver(host);
    } else if (event == 18) {
        world.lose(host);
    } else if (event == 19 && pick(30) == 0) {
        world.die(host);
    } else if (event == 20 && pick(15) == 0) {
        world.stop(host);
    } else if (event < 22) {
        world.check(host, pick(4) == 0 ? SendRule::Holder : SendRule::SoleHolder);
    } else {
        world.send(host);
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
    // Guards against two senders when the holder pauses between check and send, for all sequences of events up to a length.
    void everyShortInterleavingOfTwoHosts()
    {
        std::size_t sequences = 1;
        for (std::size_t n = 0; n < exhaustiveDepth; ++n) {
            sequences *= eventKinds;
        }
        std::size_t sent = 0;
        for (const auto start : {Start::Holding, Start::TakenOver, Start::Stopping}) {
            for (std::size_t sequence = 0; sequence < sequences; ++sequence) {
                LeaseWorld world({0.95, 1.05});
                prepare(world, start);
                for (std::size_t n = 0, rest = sequence; n < exhaustiveDepth; ++n, rest /= eventKinds) {
                    play(world, rest % eventKinds);
                }
                if (!world.faults.empty()) {
                    CPPUNIT_FAIL(world.faults.front() + ", sequence " + std::to_string(sequence));
                }
                sent += world.sent;
            }
        }
        CPPUNIT_ASSERT(sent > sequences / 100);
    }

    // Guards against the same with clocks 5% apart each way, lost and late writes, stale reads, outages, deaths and graceful stops.
    void randomInterleavingsOfThreeHosts()
    {
        std::cout << "seeds 1 to " << randomRuns << std::endl;
        std::size_t sent = 0;
        Fence takeOvers = 0;
        for (std::uint64_t seed = 1; seed <= randomRuns; ++seed) {
            std::mt19937_64 random(seed);
            LeaseWorld world({seed % 2 == 0 ? 0.951 : 1.049, 1.0, seed % 2 == 0 ? 1.049 : 0.951});
            std::size_t awake = 7;
            for (int n = 0; n < 600; ++n) {
                playRandom(world, random, awake);
            }
            if (!world.faults.empty()) {
                CPPUNIT_FAIL(world.faults.front() + ", seed " + std::to_string(seed));
            }
            sent += world.sent;
            const auto record = leaseCodec().decode(world.table.peek({"lease", "orders/x"}).value);
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
    static void prepare(LeaseWorld &world, Start start)
    {
        world.pump(0);
        world.check(0, SendRule::SoleHolder);
        world.pump(1);
        if (start == Start::TakenOver) {
            world.advance(Milliseconds{12'000});
            world.pump(1);
        } else if (start == Start::Stopping) {
            world.stop(0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseModelTest);

} // namespace guavafield
