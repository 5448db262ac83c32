// Tests of replay protection: datagrams received before or addressed to another incarnation must not be applied.
#include <guavafield/coordination/membership/membership.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace guavafield {

namespace {

const PeerAddress addressOfA{0, 0xFFFF'0A00'0001, 7946};
const PeerAddress addressOfB{0, 0xFFFF'0A00'0002, 7946};

MembershipSettings settingsOf(const HostId &id, const PeerAddress &address, Incarnation incarnation)
{
    MembershipSettings settings;
    settings.id = id;
    settings.dataCentre = "beja";
    settings.address = address;
    settings.incarnation = incarnation;
    return settings;
}

PeerMessage probeOfA(std::uint64_t counter, Incarnation incarnationOfB)
{
    PeerMessage message;
    message.self = {"a", "beja", addressOfA, 1, 0, MemberState::Alive, 0};
    message.counter = counter;
    message.recipient = recipientTag("b", incarnationOfB);
    message.withdrawals = {"key-" + std::to_string(counter)};
    return message;
}

template <typename Action>
std::size_t countOf(const Membership::Actions &actions)
{
    return static_cast<std::size_t>(std::ranges::count_if(actions, [](const auto &it) { return std::holds_alternative<Action>(it); }));
}

} // namespace

class ReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplayTest);
    CPPUNIT_TEST(windowAcceptsEachCounterOnce);
    CPPUNIT_TEST(repeatedDatagramIsRejected);
    CPPUNIT_TEST(datagramForEarlierIncarnationIsNotApplied);
    CPPUNIT_TEST(datagramFromEarlierIncarnationIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Checks both ends of the window for off-by-one errors.
    void windowAcceptsEachCounterOnce()
    {
        ReplayWindow window;
        CPPUNIT_ASSERT(!window.accept(0));
        CPPUNIT_ASSERT(window.accept(5));
        CPPUNIT_ASSERT(window.accept(3));
        CPPUNIT_ASSERT(!window.accept(3));
        CPPUNIT_ASSERT(!window.accept(5));
        CPPUNIT_ASSERT(window.accept(500));
        CPPUNIT_ASSERT(!window.accept(436));
        CPPUNIT_ASSERT(window.accept(437));
        CPPUNIT_ASSERT(!window.accept(437));
    }

    // A captured datagram that is sent again must be rejected.
    void repeatedDatagramIsRejected()
    {
        const SteadyTime now{};
        Membership membership(settingsOf("b", addressOfB, 7), now);
        const auto message = probeOfA(10, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<WithdrawalReceived>(membership.onMessage(message, addressOfA, now)));
        const auto repeated = membership.onMessage(message, addressOfA, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<MessageRejected>(repeated));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<WithdrawalReceived>(membership.onMessage(probeOfA(11, 7), addressOfA, now)));
    }

    // A restarted host has no window yet and must not apply a captured datagram for its previous incarnation.
    void datagramForEarlierIncarnationIsNotApplied()
    {
        const SteadyTime now{};
        Membership membership(settingsOf("b", addressOfB, 8), now);
        const auto actions = membership.onMessage(probeOfA(10, 7), addressOfA, now);
        // The Ack tells a genuine sender the new incarnation.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<SendPeerMessage>(actions));
        CPPUNIT_ASSERT(membership.table().entries().empty());
    }

    // A late datagram of the sender's earlier incarnation and a repeat of the first one of its new incarnation must be rejected.
    void datagramFromEarlierIncarnationIsRejected()
    {
        const SteadyTime now{};
        Membership membership(settingsOf("b", addressOfB, 8), now);
        auto later = probeOfA(1, 8);
        later.self.incarnation = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<MemberChanged>(membership.onMessage(later, addressOfA, now)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<MessageRejected>(membership.onMessage(probeOfA(99, 8), addressOfA, now)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf<MessageRejected>(membership.onMessage(later, addressOfA, now)));
        CPPUNIT_ASSERT_EQUAL(Incarnation{2}, membership.table().find("a")->member.incarnation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);

} // namespace guavafield
