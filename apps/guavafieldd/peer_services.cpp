// Creates the peer service and its callbacks.
#include "apps/guavafieldd/peer_services.hpp"

#include "apps/guavafieldd/peer_setup.hpp"

#include <guavafield/protocol/configuration/configuration_json.hpp>
#include <guavafield/protocol/peer/peer_texts.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Number of teams, busiest first, whose demand a host gossips to its data centre.
constexpr std::size_t maxGossipedTeams = 16;

Error noPeerError()
{
    return Error{ResultCode::PeerUnreachable, "no live peer to fetch the configuration from", {}};
}

} // namespace internal

PeerServices::PeerServices(PeerServicesDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_peers(std::make_unique<PeerService>(m_dependencies.executor,
                                            makePeerServiceSettings(m_dependencies.settings, m_dependencies.incarnation),
                                            peerHooks(),
                                            m_dependencies.clock,
                                            m_dependencies.counters))
{
    m_dependencies.platform.setPeers(configurationHooks(), [this] { return peerStatuses(); });
}

PeerHooks PeerServices::peerHooks()
{
    auto &configuration = m_dependencies.platform.configuration();
    PeerHooks hooks;
    hooks.onMember = [this](const Member &) {
        const auto hosts = m_peers->hostsInDataCentre();
        m_dependencies.path->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.setHostsInDataCentre(hosts, now); });
        m_dependencies.platform.setCandidates(leaseCandidates(m_dependencies.settings.host.id, m_peers->members()));
    };
    hooks.onRevision = [&configuration](const HostId &, const KnownRevision &knowledge) { configuration.onPeerRevision(knowledge.revision, knowledge.age); };
    hooks.onWithdrawal = [&configuration](const KeyId &key) { configuration.onWithdrawal(key); };
    hooks.onCrash = [this](const CrashRecord &record) {
        m_dependencies.path->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onCrashRecord(record, now); });
    };
    hooks.onDemand = [this](const DemandReport &report) {
        m_dependencies.path->driver().withScheduler(
            [&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onPeerDemand(report.host, report.teams, report.age, now); });
    };
    hooks.revisionInForce = [&configuration] { return configuration.status().revision; };
    hooks.newestRevision = [&configuration] { return configuration.knowledge(); };
    hooks.crashRecords = [this] {
        return m_dependencies.path->driver().withScheduler([](RequestScheduler &scheduler, SteadyTime now) { return scheduler.crashRecords(now); });
    };
    hooks.demand = [this] {
        return m_dependencies.path->driver().withScheduler(
            [](RequestScheduler &scheduler, SteadyTime now) { return scheduler.localDemand(internal::maxGossipedTeams, now); });
    };
    hooks.rpc.changes = [&configuration](Revision after) {
        const auto changes = configuration.changesAfter(after);
        return changes ? formatChangeTexts(*changes) : std::string();
    };
    hooks.rpc.snapshot = [&configuration] { return formatSnapshot(*configuration.snapshot()); };
    hooks.rpc.status = [&configuration] { return std::to_string(configuration.status().revision); };
    return hooks;
}

ConfigurationHooks PeerServices::configurationHooks()
{
    ConfigurationHooks hooks;
    hooks.fetchPeerChanges = [this](Revision after) { return fetchChanges(after); };
    hooks.fetchPeerSnapshot = [this] { return fetchSnapshot(); };
    hooks.stopKeys = [this](const std::vector<KeyId> &keys) {
        for (const auto &it : keys) {
            m_peers->announceWithdrawal(it);
        }
    };
    return hooks;
}

DaemonService PeerServices::service()
{
    DaemonService result;
    result.name = "peers";
    result.start = [this] { m_peers->start(); };
    result.announceStop = [this]() -> asio::awaitable<void> {
        m_peers->leave();
        co_return;
    };
    result.stop = [this]() -> asio::awaitable<void> {
        m_peers->stop();
        co_return;
    };
    return result;
}

std::vector<PeerConfigurationStatus> PeerServices::peerStatuses() const
{
    std::vector<PeerConfigurationStatus> result;
    for (const auto &it : m_peers->members()) {
        if (it.state != MemberState::Dead) {
            result.push_back(PeerConfigurationStatus{it.id, it.dataCentre, it.revision, Milliseconds{0}});
        }
    }
    return result;
}

std::optional<Member> PeerServices::choosePeer(Revision revision) const
{
    auto members = m_peers->members();
    std::erase_if(members, [](const Member &it) { return it.state != MemberState::Alive; });
    // Revisions of members arrive by gossip and may be out of date, so peers without a newer revision are ranked last instead of being excluded.
    const auto rank = [&](const Member &it) { return (it.revision > revision ? 0 : 2) + (it.dataCentre == m_dependencies.settings.host.dataCentre ? 0 : 1); };
    std::ranges::sort(members, {}, rank);
    if (members.empty()) {
        return std::nullopt;
    }
    const auto bestRank = rank(members.front());
    const auto bestCount = static_cast<std::size_t>(std::ranges::count(members, bestRank, rank));
    thread_local std::minstd_rand random(std::random_device{}());
    return members[random() % bestCount];
}

asio::awaitable<Outcome<std::string>> PeerServices::callPeer(Revision after, PeerMethod method)
{
    const auto peer = choosePeer(after);
    if (!peer) {
        co_return Outcome<std::string>{std::nullopt, internal::noPeerError()};
    }
    auto outcome = co_await m_peers->asyncCall(peer->address, method, after, asio::use_awaitable);
    co_return outcome;
}

asio::awaitable<Outcome<std::vector<std::string>>> PeerServices::fetchChanges(Revision after)
{
    const auto outcome = co_await callPeer(after, PeerMethod::Changes);
    if (!outcome) {
        co_return Outcome<std::vector<std::string>>{std::nullopt, outcome.error};
    }
    co_return capture([&] { return parseChangeTexts(*outcome.value); });
}

asio::awaitable<Outcome<std::string>> PeerServices::fetchSnapshot()
{
    const auto revision = m_dependencies.platform.configuration().status().revision;
    co_return co_await callPeer(revision, PeerMethod::Snapshot);
}

} // namespace guavafield
