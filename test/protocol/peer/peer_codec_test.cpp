// Tests of the datagram codec: nothing that was altered, cut or forged may be decoded, and size bounds must hold.
#include <guavafield/protocol/peer/peer_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace guavafield {

namespace {

constexpr std::uint64_t testSeed = 4711;

class MessageMaker
{
public:
    explicit MessageMaker(std::uint64_t seed) : m_random(seed) { }

    PeerMessage make()
    {
        PeerMessage message;
        message.kind = static_cast<PeerMessageKind>(below(static_cast<std::uint64_t>(PeerMessageKind::Count)));
        message.self = member(true);
        message.self.state = below(2) == 0 ? MemberState::Alive : MemberState::Leaving;
        message.counter = word();
        message.recipient = word();
        message.probe = static_cast<std::uint32_t>(word());
        message.target = {word(), word(), static_cast<std::uint16_t>(below(65'536))};
        message.targetTag = word();
        message.cursor = below(2) == 0 ? "" : name();
        if (below(2) == 0) {
            message.newestRevision = KnownRevision{word(), Milliseconds(below(1U << 30U))};
        }
        for (auto n = below(4); n > 0; --n) {
            message.updates.push_back(member(below(2) == 0));
        }
        for (auto n = below(3); n > 0; --n) {
            message.withdrawals.push_back(name());
        }
        for (auto n = below(2); n > 0; --n) {
            CrashRecord record;
            std::ranges::generate(record.fingerprint, [&] { return static_cast<std::uint8_t>(m_random()); });
            record.remaining = Milliseconds(below(600'000));
            message.crashes.push_back(record);
        }
        for (auto n = below(2); n > 0; --n) {
            message.demand.push_back({name(), Milliseconds(below(30'000)), {{name(), 12.5}, {name(), 1e9}}});
        }
        if (message.kind == PeerMessageKind::Report) {
            message.report = report();
        }
        return message;
    }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        return m_random() % limit;
    }
    // Words of all lengths, since packing depends on the zero bytes.
    std::uint64_t word()
    {
        return m_random() >> below(64);
    }
    std::string name()
    {
        return std::string(1 + below(24), static_cast<char>('a' + below(26)));
    }
    HostReport report()
    {
        HostReport made;
        made.wall = WallTime{std::chrono::microseconds{below(1ULL << 50U)}};
        made.reportedUpTo = word();
        made.reportSentUpTo = word();
        made.slowLink = below(2) == 0;
        made.dutyFence = word();
        for (auto n = below(9); n > 0; --n) {
            made.relayTo.push_back({word(), word(), static_cast<std::uint16_t>(below(65'536))});
        }
        if (below(2) == 0) {
            made.document = TableKnowledge{word(), word(), Milliseconds(below(60'000))};
        }
        for (auto n = below(20); n > 0; --n) {
            made.work.push_back({word(), static_cast<std::uint32_t>(word()), static_cast<std::uint32_t>(below(64))});
        }
        for (auto n = below(3); n > 0; --n) {
            made.windows.push_back({word(), {{word(), static_cast<std::uint32_t>(word())}, {word(), 1}}});
        }
        for (auto n = below(3); n > 0; --n) {
            made.crashes.crashes.push_back({{word(), word()}, Milliseconds(below(8'000)), {{word(), {word(), word()}, true}, {word(), {}, false}}});
            made.crashes.survivals.push_back({word(), Milliseconds(below(8'000))});
            auto &verdict = made.crashes.verdicts.emplace_back(CrashVerdict{{word()}, Milliseconds(below(600'000))});
            for (auto k = below(4); k > 0; --k) {
                verdict.features.push_back(word());
            }
            made.unreachablePools.push_back(word());
            made.rateLimits.push_back({word(), word(), below(2) == 0 ? unlimitedRate : 0.5 * below(100), Milliseconds(below(10'000))});
        }
        return made;
    }
    Member member(bool reachable)
    {
        Member made{name(), "", {}, word(), static_cast<std::uint32_t>(word()), static_cast<MemberState>(below(4)), word()};
        if (reachable) {
            made.dataCentre = name();
            made.address = {word(), word(), static_cast<std::uint16_t>(1 + below(65'535))};
        }
        return made;
    }

    std::mt19937_64 m_random;
};

ResultCode codeOf(const PeerCodec &codec, std::span<const std::uint8_t> datagram)
{
    return capture([&] { return codec.decode(datagram); }).error.code;
}

/*! @brief Returns a message with little in it. */
PeerMessage smallMessage()
{
    PeerMessage message;
    message.self = {"host-1", "beja", {0, 0xFFFF'0A00'0001, 7946}, 3, 0, MemberState::Alive, 7};
    message.counter = 12;
    message.withdrawals = {"key-1"};
    return message;
}

} // namespace

void checkCrashes(const CrashKnowledge &expected, const CrashKnowledge &decoded)
{
    CPPUNIT_ASSERT_EQUAL(expected.crashes.size(), decoded.crashes.size());
    for (std::size_t n = 0; n < expected.crashes.size(); ++n) {
        CPPUNIT_ASSERT(expected.crashes[n].crash == decoded.crashes[n].crash);
        CPPUNIT_ASSERT(expected.crashes[n].suspects == decoded.crashes[n].suspects);
    }
    CPPUNIT_ASSERT_EQUAL(expected.survivals.size(), decoded.survivals.size());
    CPPUNIT_ASSERT_EQUAL(expected.verdicts.size(), decoded.verdicts.size());
    for (std::size_t n = 0; n < expected.verdicts.size(); ++n) {
        CPPUNIT_ASSERT(expected.verdicts[n].features == decoded.verdicts[n].features);
        CPPUNIT_ASSERT(expected.verdicts[n].age == decoded.verdicts[n].age);
    }
}

class PeerCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerCodecTest);
    CPPUNIT_TEST(roundTripWithinBound);
    CPPUNIT_TEST(alteredDatagramsAreRejected);
    CPPUNIT_TEST(forgedContentIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bounds that are too low, by which a message would be dropped, and against lost fields.
    void roundTripWithinBound()
    {
        std::cout << " seed " << testSeed << std::flush;
        const PeerCodec codec("secret");
        MessageMaker maker(testSeed);
        std::size_t fitting = 0;
        for (int n = 0; n < 3000; ++n) {
            const auto message = maker.make();
            const auto bytes = capture([&] { return codec.encode(message); });
            if (!bytes) {
                CPPUNIT_ASSERT(encodedBound(message) > maxDatagramBytes);
                continue;
            }
            ++fitting;
            CPPUNIT_ASSERT(bytes.value->size() <= (message.report ? maxReportBytes : encodedBound(message)));
            const auto decoded = capture([&] { return codec.decode(*bytes.value); });
            CPPUNIT_ASSERT_MESSAGE(decoded.error.message, decoded);
            // Encoding is deterministic, so that equal bytes mean equal messages.
            CPPUNIT_ASSERT(capture([&] { return codec.encode(*decoded.value); }).value == bytes.value);
            CPPUNIT_ASSERT_EQUAL(message.self.id, decoded.value->self.id);
            CPPUNIT_ASSERT_EQUAL(message.updates.size(), decoded.value->updates.size());
            CPPUNIT_ASSERT(message.withdrawals == decoded.value->withdrawals);
            CPPUNIT_ASSERT_EQUAL(message.report.has_value(), decoded.value->report.has_value());
            if (message.report) {
                CPPUNIT_ASSERT(message.report->wall == decoded.value->report->wall);
                CPPUNIT_ASSERT_EQUAL(message.report->work.size(), decoded.value->report->work.size());
                CPPUNIT_ASSERT_EQUAL(message.report->windows.size(), decoded.value->report->windows.size());
                checkCrashes(message.report->crashes, decoded.value->report->crashes);
                CPPUNIT_ASSERT(message.report->rateLimits == decoded.value->report->rateLimits);
                CPPUNIT_ASSERT_EQUAL(message.report->callerPort, decoded.value->report->callerPort);
                CPPUNIT_ASSERT(message.report->unreachablePools == decoded.value->report->unreachablePools);
            }
        }
        CPPUNIT_ASSERT(fitting > 1000);
    }

    // Guards against a code that does not cover the whole datagram.
    void alteredDatagramsAreRejected()
    {
        const PeerCodec codec("secret");
        auto bytes = *capture([&] { return codec.encode(smallMessage()); }).value;
        CPPUNIT_ASSERT(codeOf(PeerCodec("other"), bytes) == ResultCode::PeerUnauthenticated);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            bytes[n] ^= 1U;
            CPPUNIT_ASSERT(codeOf(codec, bytes) == ResultCode::PeerUnauthenticated);
            bytes[n] ^= 1U;
            CPPUNIT_ASSERT(codeOf(codec, std::span(bytes).first(n)) != ResultCode::Ok);
        }
    }

    // Guards against content from a faulty peer that knows the secret: a code over garbage must not be enough.
    void forgedContentIsRejected()
    {
        const PeerCodec codec("secret");
        const KeyHasher hasher("secret");
        std::mt19937_64 random(testSeed);
        for (int n = 0; n < 2000; ++n) {
            std::string content(1 + random() % (maxDatagramBytes - PeerCodec::codeBytes), '\0');
            // Mostly zero words with long runs, which unpack to far more than a datagram.
            std::ranges::generate(content, [&] { return static_cast<char>(random() % 3 == 0 ? random() : 0); });
            const auto digest = hasher.digest("guavafield datagram 1:" + content);
            std::vector<std::uint8_t> datagram(digest.begin(), digest.begin() + PeerCodec::codeBytes);
            datagram.insert(datagram.end(), content.begin(), content.end());
            CPPUNIT_ASSERT(codeOf(codec, datagram) == ResultCode::PeerMessageInvalid);
        }
        auto anonymous = smallMessage();
        anonymous.self.address.port = 0;
        const auto bytes = *capture([&] { return codec.encode(anonymous); }).value;
        CPPUNIT_ASSERT(codeOf(codec, bytes) == ResultCode::PeerMessageInvalid);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

} // namespace guavafield
