// Creates and connects the services on the machines platform.
#include "apps/guavafieldd/machines_platform_services.hpp"

#include "apps/guavafieldd/peer_setup.hpp"
#include "platform/directory_codec.hpp"
#include "platform/duties.hpp"
#include "platform/names.hpp"
#include "platform/request_dialect.hpp"
#include "platform/store.hpp"

#include <guavafield/protocol/settings/settings_table.hpp>
#include <guavafield/transport/durable/sleep.hpp>
#include <guavafield/transport/log/event_loop.hpp>
#include <guavafield/transport/log/log.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

// Platform table with the peer address of each host.
constexpr std::string_view hostAddressTable = "hosts";
constexpr Milliseconds addressRetryInterval{1'000};
constexpr Milliseconds addressRefreshInterval{60'000};
PlatformClientSettings makeStoreSettings(Milliseconds connectTimeout)
{
    PlatformClientSettings settings;
    settings.connectTimeout = connectTimeout;
    settings.epochHeader = std::string(platform::names::storeEra);
    return settings;
}

PlatformClientSettings makeDutySettings(Milliseconds connectTimeout)
{
    PlatformClientSettings settings;
    settings.connectTimeout = connectTimeout;
    // A call that was given up must not arrive later.
    settings.resetOnClose = true;
    return settings;
}

constexpr Milliseconds storeConnectTimeout{300};
constexpr Milliseconds dutyConnectTimeout{300};
constexpr Milliseconds dutyReleaseTimeout{500};

} // namespace internal

MachinesPlatformServices::MachinesPlatformServices(MachinesPlatformServicesDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_storeClient(m_dependencies.executor,
                    m_dependencies.settings.platform.address,
                    m_dependencies.settings.platform.port,
                    m_dependencies.counters,
                    internal::makeStoreSettings(internal::storeConnectTimeout))
    , m_dutyClient(m_dependencies.executor,
                   m_dependencies.settings.platform.dutyEndpoint.address,
                   m_dependencies.settings.platform.dutyEndpoint.port,
                   m_dependencies.counters,
                   internal::makeDutySettings(internal::dutyConnectTimeout))
    , m_peers(makePeers())
    , m_directory(makeDirectory())
    , m_duties(m_dependencies.settings.platform.dutyEndpoint.address.empty() ? nullptr : makeDuties())
    , m_streams(makeStreams())
{
}

std::unique_ptr<PeerService> MachinesPlatformServices::makePeers()
{
    PeerHooks hooks;
    hooks.onMember = [this](const Member &member) { onMember(member); };
    hooks.onReport = [this](const Member &from, const HostReport &report) { onReport(from, report); };
    hooks.onCrash = [this](const CrashRecord &record) {
        m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) { scheduler.onCrashRecord(record, now); });
    };
    hooks.revisionInForce = [this] { return m_dependencies.configuration.load()->revision; };
    hooks.crashRecords = [this] {
        return m_requestPath->driver().withScheduler([](RequestScheduler &scheduler, SteadyTime now) { return scheduler.crashRecords(now); });
    };
    hooks.rpc.changes = [this](Revision after) { return m_directory->format(DirectoryTable::Upstreams, after); };
    hooks.rpc.snapshot = [this] { return m_directory->format(DirectoryTable::Document, 0); };
    hooks.rpc.status = [this] { return std::to_string(m_dependencies.configuration.load()->revision); };
    return std::make_unique<PeerService>(m_dependencies.executor,
                                         makePeerServiceSettings(m_dependencies.settings, m_dependencies.incarnation),
                                         std::move(hooks),
                                         m_dependencies.clock,
                                         m_dependencies.counters);
}

std::shared_ptr<DirectoryService> MachinesPlatformServices::makeDirectory()
{
    DirectoryDependencies dependencies{m_dependencies.executor,
                                       m_dependencies.clock,
                                       m_dependencies.settings.host.id,
                                       hasSlowLink(),
                                       platform::storeFeed(m_storeClient),
                                       {std::string(platform::names::operatorTable), std::string(platform::names::serverTable)},
                                       platform::directoryCodec(KeyHasher(m_dependencies.settings.host.fleetSecret)),
                                       m_dependencies.applyConfiguration,
                                       [this](DirectoryTable table, SteadyTime at) { confirmTable(table, at); },
                                       [this] { sendReport(); },
                                       [this](PeerAddress peer, DirectoryTable table, RowVersion after) { return fetchTable(peer, table, after); }};
    return std::make_shared<DirectoryService>(std::move(dependencies));
}

void MachinesPlatformServices::confirmTable(DirectoryTable table, SteadyTime at)
{
    if (table == DirectoryTable::Document) {
        m_requestPath->configurationConfirmed(at);
    } else {
        m_requestPath->upstreamsConfirmed(at);
        m_streams->onUpstreamsConfirmed(m_bootClock.now() - (m_dependencies.clock.now() - at));
    }
}

std::shared_ptr<DutyService> MachinesPlatformServices::makeDuties()
{
    const auto &settings = m_dependencies.settings;
    DutySettings result;
    result.self = LeaseHolder{settings.host.id, m_dependencies.incarnation};
    result.holderGap = settings.platform.dutyHandoverDelay;
    result.windowLength = std::chrono::seconds{settings.platform.usageWindowSeconds};
    DutyDependencies dependencies{
        m_dependencies.executor,
        m_bootClock,
        m_dependencies.counters,
        platform::storeAccess(m_storeClient),
        platform::dutyCalls(m_dutyClient),
        [this] { return m_dependencies.configuration.load(); },
        [this] { return m_requestPath->driver().withScheduler([](RequestScheduler &scheduler, SteadyTime /*now*/) { return scheduler.poolLoads(); }); },
        [this] {
            const auto known = m_directory->known(DirectoryTable::Upstreams);
            return known ? std::optional(m_directory->knowledge(DirectoryTable::Upstreams).complete) : std::nullopt;
        }};
    return std::make_shared<DutyService>(std::move(dependencies), std::move(result));
}

std::shared_ptr<StreamOriginService> MachinesPlatformServices::makeStreams()
{
    StreamOriginDependencies dependencies{m_dependencies.executor,
                                          m_bootClock,
                                          m_dependencies.counters,
                                          platform::storeAccess(m_storeClient),
                                          platform::storeFeed(m_storeClient),
                                          [this] { return m_dependencies.configuration.load(); },
                                          [this] { return fleetTime(); },
                                          [this] { return m_addressBook.countResponsive(m_dependencies.clock.now()) + 1; },
                                          [this] { return m_directory->reads(); },
                                          [this] { return m_directory->readUpstreams(); }};
    const auto &settings = m_dependencies.settings;
    const auto completeSince = settings.platform.firstStart != 0 ? std::optional(WallTime{}) : std::nullopt;
    return std::make_shared<StreamOriginService>(std::move(dependencies), settings.host.id, m_dependencies.incarnation, completeSince);
}

PathHooks MachinesPlatformServices::pathHooks()
{
    PathHooks hooks;
    hooks.forward = std::make_shared<const ForwardDialect>(platform::requestDialect());
    hooks.started = [this](const TeamId &team) {
        if (m_duties) {
            m_duties->onStarted(team);
        }
    };
    hooks.streams = m_streams->hooks();
    return hooks;
}

DaemonService MachinesPlatformServices::service()
{
    DaemonService result;
    result.name = "machines";
    result.start = [this] { start(); };
    result.unreadyReason = [this] { return unreadyReason(); };
    result.announceStop = [this]() -> asio::awaitable<void> {
        if (m_duties) {
            co_await m_duties->stop(internal::dutyReleaseTimeout);
        }
    };
    result.stop = [this]() -> asio::awaitable<void> {
        // Sends the final usage counts before the host leaves.
        sendReport();
        co_await sleepFor(ReportSchedule::interval);
        m_peers->leave();
        m_stopped = true;
        m_directory->stop();
        m_streams->stop();
        co_await sleepFor(Milliseconds{10});
        m_peers->stop();
    };
    return result;
}

void MachinesPlatformServices::setSeeds(const std::vector<SocketAddress> &seeds)
{
    m_peers->setSeeds(toPeerAddresses(seeds));
}

void MachinesPlatformServices::start()
{
    m_peers->start();
    m_directory->start();
    m_streams->start();
    if (m_duties) {
        m_duties->start();
    }
    for (auto loop : {&MachinesPlatformServices::reportLoop, &MachinesPlatformServices::registerHost}) {
        spawnLoop(m_dependencies.executor, [this, loop] { return (this->*loop)(); });
    }
}

std::optional<std::string> MachinesPlatformServices::unreadyReason() const
{
    if (!m_directory->known(DirectoryTable::Upstreams)) {
        return "the upstreams are not known yet";
    }
    return std::nullopt;
}

asio::awaitable<Outcome<std::string>> MachinesPlatformServices::fetchTable(PeerAddress peer, DirectoryTable table, RowVersion after)
{
    const auto method = table == DirectoryTable::Upstreams ? PeerMethod::Changes : PeerMethod::Snapshot;
    auto outcome = co_await m_peers->asyncCall(peer, method, after, asio::use_awaitable);
    co_return outcome;
}

WallTime MachinesPlatformServices::fleetTime() const
{
    const auto agreed = m_duties ? m_duties->agreedTime() : std::nullopt;
    return agreed.value_or(m_dependencies.clock.wallNow());
}

void MachinesPlatformServices::updateFleetClock()
{
    const auto time = fleetTime();
    m_requestPath->driver().withScheduler(
        [&](RequestScheduler &scheduler, SteadyTime now) { scheduler.setFleetClock(time.time_since_epoch() - now.time_since_epoch(), now); });
}

asio::awaitable<bool> MachinesPlatformServices::writeAddress()
{
    const auto &settings = m_dependencies.settings;
    const RowKey key{std::string(internal::hostAddressTable), settings.host.id};
    Transaction transaction;
    transaction.writes.push_back({key, settings.listen.address + ":" + std::to_string(m_peers->port())});
    const auto reply = co_await platform::storeAccess(m_storeClient).transact(std::move(transaction));
    co_return std::holds_alternative<TransactionCommitted>(reply);
}

asio::awaitable<bool> MachinesPlatformServices::readAddresses()
{
    const auto reply = co_await platform::storeFeed(m_storeClient).readAll(std::string(internal::hostAddressTable));
    const auto *page = std::get_if<TablePage>(&reply);
    if (page == nullptr) {
        co_return false;
    }
    const auto now = m_dependencies.clock.now();
    for (const auto &row : page->rows) {
        std::vector<SocketAddress> addresses;
        if (row.value && row.key != m_dependencies.settings.host.id && parseSocketAddresses(*row.value, addresses) && addresses.size() == 1) {
            m_addressBook.updateFromRow(row.key, toPeerAddresses(addresses).front(), now);
        }
    }
    updateFleetMembers();
    co_return true;
}

asio::awaitable<void> MachinesPlatformServices::registerHost()
{
    // Of any two hosts, at least one reads the table after the other has written its address. It sends reports to that address, and the other
    // host learns the sender's address from them.
    bool addressWritten = false;
    bool addressesRead = false;
    RowVersion epoch = 0;
    while (!m_stopped) {
        // A restored table may lack the address.
        const auto current = epochStart(m_directory->knowledge(DirectoryTable::Upstreams).complete);
        addressWritten = (addressWritten && epoch == current) || co_await writeAddress();
        epoch = current;
        co_await sleepFor(addressesRead ? internal::addressRefreshInterval : internal::addressRetryInterval);
        addressesRead = co_await readAddresses() && addressWritten;
    }
}

void MachinesPlatformServices::onMember(const Member &member)
{
    if (member.state == MemberState::Leaving) {
        m_addressBook.erase(member.id);
    }
    if (member.state == MemberState::Leaving || member.state == MemberState::Dead) {
        m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime /*now*/) { scheduler.relayTargets().erase(member.id); });
    }
    updateFleetMembers();
}

void MachinesPlatformServices::updateFleetMembers()
{
    const auto members = leaseCandidates(m_dependencies.settings.host.id, m_peers->members());
    std::set<HostId> known(members.begin(), members.end());
    // At the start, gossip knows few of the hosts that the platform's table lists.
    for (auto &it : m_addressBook.hosts(m_dependencies.clock.now())) {
        known.insert(std::move(it));
    }
    const std::vector<HostId> candidates(known.begin(), known.end());
    const auto hosts = static_cast<std::uint32_t>(candidates.size());
    const auto self = std::ranges::lower_bound(candidates, m_dependencies.settings.host.id);
    const auto index = static_cast<std::uint32_t>(self - candidates.begin());
    for (auto &it : m_addressBook.remembered(m_dependencies.clock.now())) {
        known.insert(std::move(it));
    }
    const auto position = std::distance(known.begin(), known.find(m_dependencies.settings.host.id));
    m_requestPath->driver().withScheduler([&](RequestScheduler &scheduler, SteadyTime now) {
        scheduler.setFleetHosts(hosts, index, now);
        scheduler.setRememberedHosts(static_cast<std::uint32_t>(known.size()), static_cast<std::uint32_t>(position), now);
    });
    if (m_duties) {
        m_duties->setCandidates(candidates);
    }
}

} // namespace guavafield
