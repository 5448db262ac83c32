// Tests of the peer service over loopback sockets: hosts find each other, strangers are kept out, replies arrive whole.
#include <guavafield/protocol/peer/peer.capnp.h>
#include <guavafield/transport/peer/endpoints.hpp>
#include <guavafield/transport/peer/handshake.hpp>
#include <guavafield/transport/peer/peer_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/ez-rpc.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace guavafield {

namespace asio = boost::asio;

namespace {

// Ends a test whose condition never holds; no test succeeds by waiting.
constexpr std::chrono::seconds testLimit{60};

PeerAddress loopback(std::uint16_t port)
{
    return toPeerAddress(asio::ip::make_address("127.0.0.1"), port);
}

/*! @brief A host on a loopback port. */
struct Host
{
    Host(asio::io_context &io, const HostId &id, std::vector<PeerAddress> seeds, PeerHooks hooks, const std::string &secret = "fleet secret")
        : service(io.get_executor(), settingsOf(id, std::move(seeds), secret), std::move(hooks), clock, counters)
    {
        service.start();
    }

    static PeerServiceSettings settingsOf(const HostId &id, std::vector<PeerAddress> seeds, const std::string &secret)
    {
        PeerServiceSettings settings;
        settings.membership.id = id;
        settings.membership.dataCentre = "beja";
        settings.membership.seed = std::hash<std::string>()(id);
        // Ten times faster than in service.
        settings.membership.probeInterval = Milliseconds{100};
        settings.listenAddress = "127.0.0.1";
        settings.seeds = std::move(seeds);
        settings.fleetSecret = secret;
        return settings;
    }

    SystemClock clock;
    Counters counters;
    PeerService service;
};

void runUntil(asio::io_context &io, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + testLimit;
    while (!condition() && std::chrono::steady_clock::now() < limit) {
        io.run_one_for(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(condition());
}

enum class Proof {
    Right,
    Wrong,
    Reflected,
};

capnp::Data::Reader dataOf(std::string_view bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

/*! @brief Gives proofs one after the other on a connection; says whether the last one was accepted. */
bool opens(std::uint16_t port, const std::vector<Proof> &proofs)
{
    capnp::EzRpcClient connection("127.0.0.1", port);
    auto gate = connection.getMain<wire::Gate>();
    const Handshake handshake("fleet secret");
    const auto nonce = Handshake::makeNonce();
    auto challenge = gate.challengeRequest();
    challenge.setClientNonce(dataOf(nonce));
    const auto answer = challenge.send().wait(connection.getWaitScope());
    const std::string serverNonce(answer.getServerNonce().asChars().begin(), answer.getServerNonce().size());
    bool accepted = false;
    for (const auto it : proofs) {
        auto proof = it == Proof::Reflected ? handshake.serverProof(nonce, serverNonce) : handshake.clientProof(nonce, serverNonce);
        proof[0] ^= it == Proof::Wrong ? 1U : 0U;
        auto open = gate.openRequest();
        open.setProof(kj::arrayPtr(proof.data(), proof.size()));
        accepted = open.send().then([](auto &&) { return true; }, [](kj::Exception &&) { return false; }).wait(connection.getWaitScope());
    }
    return accepted;
}

/*! @brief Calls a peer and waits for the outcome. */
Outcome<std::string> callAndWait(asio::io_context &io, PeerService &service, std::uint16_t port, PeerMethod method, Revision after = 0)
{
    std::optional<Outcome<std::string>> outcome;
    service.call(loopback(port), method, after, [&](Outcome<std::string> it) { outcome = std::move(it); });
    runUntil(io, [&] { return outcome.has_value(); });
    return std::move(*outcome);
}

} // namespace

class PeerServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerServiceTest);
    CPPUNIT_TEST(hostsFindEachOtherAndPassNewsOn);
    CPPUNIT_TEST(listOfMembersHoldsTheChangeThatIsReported);
    CPPUNIT_TEST(changesReachManyHostsThroughRelays);
    CPPUNIT_TEST(strangersAreRejected);
    CPPUNIT_TEST(callsAreAnswered);
    CPPUNIT_TEST(callsNeedTheSecret);
    CPPUNIT_TEST(gateOpensToTheRightProofOnly);
    CPPUNIT_TEST(callsEndWhenTheServiceStops);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a driver that loses actions, timers or datagrams.
    void hostsFindEachOtherAndPassNewsOn()
    {
        asio::io_context io;
        std::atomic<int> withdrawals{0};
        std::atomic<int> demand{0};
        std::atomic<Revision> revision{0};
        PeerHooks hooks;
        hooks.onWithdrawal = [&](const KeyId &key) { withdrawals += key == "key-1" ? 1 : 0; };
        hooks.onDemand = [&](const DemandReport &report) { demand += report.host == "host-a" ? 1 : 0; };
        hooks.onRevision = [&](const HostId &, const KnownRevision &knowledge) { revision = std::max(revision.load(), knowledge.revision); };
        PeerHooks providers;
        providers.demand = [] { return std::vector<TeamDemand>{{"team", 5}}; };
        providers.revisionInForce = [] { return Revision{7}; };
        providers.newestRevision = [] { return std::optional(KnownRevision{9, Milliseconds{5}}); };
        Host first(io, "host-a", {}, providers);
        Host second(io, "host-b", {loopback(first.service.port())}, hooks);
        Host third(io, "host-c", {loopback(first.service.port())}, hooks);
        const auto allMet = [&] {
            return first.service.hostsInDataCentre() == 3 && second.service.hostsInDataCentre() == 3 && third.service.hostsInDataCentre() == 3;
        };
        runUntil(io, allMet);
        first.service.announceWithdrawal("key-1");
        runUntil(io, [&] { return withdrawals == 2 && demand >= 2 && revision == 9; });
        third.service.leave();
        runUntil(io, [&] { return first.service.hostsInDataCentre() == 2 && second.service.hostsInDataCentre() == 2; });
    }

    // Guards against lease candidates and shares that lag behind the membership by one change.
    void listOfMembersHoldsTheChangeThatIsReported()
    {
        asio::io_context io;
        int changes = 0;
        int missing = 0;
        const PeerService *service = nullptr;
        PeerHooks hooks;
        hooks.onMember = [&](const Member &changed) {
            const auto members = service->members();
            const auto listed = [&](const Member &it) { return it.id == changed.id && it.state == changed.state; };
            ++changes;
            missing += std::ranges::any_of(members, listed) ? 0 : 1;
        };
        Host first(io, "host-a", {}, hooks);
        service = &first.service;
        Host second(io, "host-b", {loopback(first.service.port())}, {});
        runUntil(io, [&] { return changes >= 1; });
        second.service.leave();
        runUntil(io, [&] { return changes >= 2; });
        CPPUNIT_ASSERT_EQUAL(0, missing);
    }

    // Guards against a host that sends many changes to each of many others, and against hosts that a relay leaves out.
    void changesReachManyHostsThroughRelays()
    {
        constexpr int peers = 30;
        asio::io_context io;
        Host sender(io, "sender", {}, {});
        std::vector<int> heard(peers, 0);
        std::vector<std::unique_ptr<Host>> others;
        std::vector<PeerAddress> addresses;
        for (int n = 0; n < peers; ++n) {
            PeerHooks hooks;
            hooks.onReport = [&heard, n](const Member &, const HostReport &report) { heard[n] += report.changes.size() == 1 ? 1 : 0; };
            others.push_back(std::make_unique<Host>(io, "host-" + std::to_string(n), std::vector<PeerAddress>{}, hooks));
            addresses.push_back(loopback(others.back()->service.port()));
        }
        HostReport report;
        report.changesOnly = true;
        report.upstreams = TableKnowledge{1, 1, Milliseconds{5}};
        report.changes.push_back({"upstream", 1, "entry"});
        sender.service.sendReport(report, addresses);
        runUntil(io, [&] { return std::ranges::all_of(heard, [](int it) { return it == 1; }); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, sender.counters.value(CounterId::PeerDatagramsSent));
    }

    // Guards against datagrams without the secret that change the view of the fleet, or stop the service.
    void strangersAreRejected()
    {
        asio::io_context io;
        Host member(io, "host-a", {}, {});
        Host stranger(io, "host-x", {loopback(member.service.port())}, {}, "another secret");
        asio::ip::udp::socket raw(io, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const std::string garbage(600, 'x');
        raw.send_to(asio::buffer(garbage), asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), member.service.port()));
        runUntil(io, [&] { return member.counters.value(CounterId::PeerDatagramsRejected) >= 3; });
        CPPUNIT_ASSERT(member.service.members().empty());
        CPPUNIT_ASSERT(stranger.service.members().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, member.counters.value(CounterId::PeerDatagramsSent));
    }

    // Guards against payloads that are cut, mixed up or answered from the wrong hook.
    void callsAreAnswered()
    {
        asio::io_context io;
        const std::string large(3'000'000, 'c');
        PeerHooks hooks;
        hooks.rpc.changes = [](Revision after) { return "after " + std::to_string(after); };
        hooks.rpc.snapshot = [&large] { return std::string(large); };
        hooks.rpc.status = [] { return std::string("fine"); };
        Host server(io, "host-a", {}, hooks);
        Host client(io, "host-b", {}, {});
        const auto port = server.service.port();
        CPPUNIT_ASSERT_EQUAL(std::string("after 42"), callAndWait(io, client.service, port, PeerMethod::Changes, 42).value.value());
        CPPUNIT_ASSERT(callAndWait(io, client.service, port, PeerMethod::Snapshot).value == large);
        std::string status;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const auto outcome = co_await client.service.asyncCall(loopback(port), PeerMethod::Status, 0, asio::use_awaitable);
                status = outcome.value.value_or("failed");
            },
            [](const std::exception_ptr &) {});
        runUntil(io, [&] { return !status.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), status);
    }

    // Guards against an interface that is open to those who do not know the secret, on either side.
    void callsNeedTheSecret()
    {
        asio::io_context io;
        bool asked = false;
        PeerHooks hooks;
        hooks.rpc.status = [&] {
            asked = true;
            return std::string("fine");
        };
        Host server(io, "host-a", {}, hooks);
        Host stranger(io, "host-x", {}, {}, "another secret");
        const auto outcome = callAndWait(io, stranger.service, server.service.port(), PeerMethod::Status);
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(outcome.error.code == ResultCode::PeerUnauthenticated);
        CPPUNIT_ASSERT(!asked);
        const auto unreachable = callAndWait(io, stranger.service, 1, PeerMethod::Status);
        CPPUNIT_ASSERT(unreachable.error.code == ResultCode::PeerUnreachable);
    }

    // Guards against a server that hands out its interface without a valid proof, to its own proof or at a second attempt.
    void gateOpensToTheRightProofOnly()
    {
        asio::io_context io;
        Host server(io, "host-a", {}, {});
        CPPUNIT_ASSERT(!opens(server.service.port(), {Proof::Reflected}));
        CPPUNIT_ASSERT(!opens(server.service.port(), {Proof::Wrong}));
        CPPUNIT_ASSERT(!opens(server.service.port(), {Proof::Wrong, Proof::Right}));
        CPPUNIT_ASSERT(opens(server.service.port(), {Proof::Right}));
    }

    // Guards against a caller that waits for ever for a service that has stopped.
    void callsEndWhenTheServiceStops()
    {
        asio::io_context io;
        std::optional<Outcome<std::string>> outcome;
        // Accepts connections but never answers.
        asio::ip::tcp::acceptor silent(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        Host client(io, "host-b", {}, {});
        client.service.call(loopback(silent.local_endpoint().port()), PeerMethod::Status, 0, [&](Outcome<std::string> it) { outcome = std::move(it); });
        client.service.stop();
        runUntil(io, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome->error.code == ResultCode::PeerUnreachable);
        const auto later = callAndWait(io, client.service, silent.local_endpoint().port(), PeerMethod::Status);
        CPPUNIT_ASSERT(later.error.code == ResultCode::PeerUnreachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerServiceTest);

} // namespace guavafield
