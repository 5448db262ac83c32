// The daemon's services on the machines platform: reads configuration and upstreams from its tables, exchanges reports with peers, and performs
// the fleet-wide duties.
#pragma once

#include "apps/guavafieldd/daemon_service.hpp"

#include <guavafield/coordination/fleet/address_book.hpp>
#include <guavafield/coordination/fleet/report_schedule.hpp>
#include <guavafield/protocol/settings/daemon_settings.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/state/snapshot_cell.hpp>
#include <guavafield/transport/fleet/directory_service.hpp>
#include <guavafield/transport/fleet/duty_service.hpp>
#include <guavafield/transport/fleet/stream_origin_service.hpp>
#include <guavafield/transport/http/request_path.hpp>
#include <guavafield/transport/peer/peer_service.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace guavafield {

/*! @brief Dependencies of MachinesPlatformServices. Referenced objects must outlive it; the executor must run on a single thread. */
struct MachinesPlatformServicesDependencies
{
    boost::asio::any_io_executor executor;
    const DaemonSettings &settings;
    const Clock &clock;
    Counters &counters;
    SnapshotCell<Configuration> &configuration;
    Incarnation incarnation{0};
    // Puts a configuration in force.
    std::function<void(std::shared_ptr<const Configuration>)> applyConfiguration;
};

/*! @brief Creates and connects the services; exists only if the settings select the machines platform. */
class MachinesPlatformServices
{
public:
    /*! @brief Binds the peer port; throws boost::system::system_error if it cannot be used. */
    explicit MachinesPlatformServices(MachinesPlatformServicesDependencies dependencies);

    /*! @brief Returns the hooks through which the request path calls these services. */
    [[nodiscard]] PathHooks pathHooks();
    /*! @brief Sets the request path that the services update; must be called before the services start. */
    void setRequestPath(std::shared_ptr<RequestPath> path)
    {
        m_requestPath = std::move(path);
    }
    [[nodiscard]] DaemonService service();
    /*! @brief Replaces the seed addresses used to find peers; may be called while running. */
    void setSeeds(const std::vector<SocketAddress> &seeds);
    /*! @brief Returns the bound peer port. */
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return m_peers->port();
    }

private:
    [[nodiscard]] std::shared_ptr<DirectoryService> makeDirectory();
    void confirmTable(DirectoryTable table, SteadyTime at);
    [[nodiscard]] std::shared_ptr<DutyService> makeDuties();
    [[nodiscard]] std::shared_ptr<StreamOriginService> makeStreams();
    [[nodiscard]] std::unique_ptr<PeerService> makePeers();
    [[nodiscard]] boost::asio::awaitable<Outcome<std::string>> fetchTable(PeerAddress peer, DirectoryTable table, RowVersion after);
    [[nodiscard]] boost::asio::awaitable<void> reportLoop();
    // Returns the time of day that the hosts agree on, or this host's own where they don't.
    [[nodiscard]] WallTime fleetTime() const;
    [[nodiscard]] HostReport makeReport();
    // Returns the reports of crashes and of rate limits; those that say nothing are left out.
    [[nodiscard]] std::vector<HostReport> makeEvidenceReports();
    // Writes this host's peer address to the table of hosts, then reads the addresses of the other hosts periodically.
    [[nodiscard]] boost::asio::awaitable<void> registerHost();
    [[nodiscard]] boost::asio::awaitable<bool> writeAddress();
    [[nodiscard]] boost::asio::awaitable<bool> readAddresses();
    void sendReport();
    void onMember(const Member &member);
    void onReport(const Member &from, const HostReport &report);
    [[nodiscard]] bool hasSlowLink() const;
    void updateFleetMembers();
    void updateFleetClock();
    // Logs pools that have become reachable or unreachable; returns whether there are any.
    [[nodiscard]] bool updateReach();
    void logCrashDecisions();
    void start();
    [[nodiscard]] std::optional<std::string> unreadyReason() const;

    MachinesPlatformServicesDependencies m_dependencies;
    BootClock m_bootClock;
    PlatformClient m_storeClient;
    PlatformClient m_dutyClient;
    std::shared_ptr<RequestPath> m_requestPath;
    std::unique_ptr<PeerService> m_peers;
    std::shared_ptr<DirectoryService> m_directory;
    std::shared_ptr<DutyService> m_duties;
    std::shared_ptr<StreamOriginService> m_streams;
    AddressBook m_addressBook;
    ReportSchedule m_reportSchedule;
    // As of the last look.
    std::vector<std::uint64_t> m_unreachablePools;
    bool m_stopped{false};
};

} // namespace guavafield
