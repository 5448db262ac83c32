// Keeps the two mirrored tables up to date: one host of the fleet reads their feeds, the others follow it, and every host reads for itself when
// what it knows grows old.
#pragma once

#include <guavafield/coordination/fleet/fleet_directory.hpp>
#include <guavafield/coordination/fleet/host_report.hpp>
#include <guavafield/coordination/membership/member.hpp>
#include <guavafield/protocol/peer/table_text.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/transport/platform/table_access.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace guavafield {

/*! @brief The mirrored tables. */
enum class DirectoryTable : std::uint8_t {
    // Holds the operators' document.
    Document,
    // Holds the entries of upstreams.
    Upstreams,
};

/*! @brief What the service works with; everything referred to outlives it. */
struct DirectoryDependencies
{
    boost::asio::any_io_executor strand;
    const Clock &clock;
    HostId host;
    // Hosts with fast links are preferred as readers.
    bool slowLink{false};
    TableFeed feed;
    // Names of the tables, in the order of DirectoryTable.
    std::array<std::string, 2> tables;
    DirectoryCodec codec;
    // Puts a configuration in force.
    std::function<void(std::shared_ptr<const Configuration>)> apply;
    // What is in force of the table was the newest at this time.
    std::function<void(DirectoryTable, SteadyTime)> confirm;
    // Something changed that the peers should know at once.
    std::function<void()> announce;
    // Fetches a table from a peer.
    std::function<boost::asio::awaitable<Outcome<std::string>>(PeerAddress, DirectoryTable, RowVersion after)> fetch;
};

/*! @brief Runs on its strand; all members are to be used there. Create it with std::make_shared. */
class DirectoryService : public std::enable_shared_from_this<DirectoryService>
{
public:
    explicit DirectoryService(DirectoryDependencies dependencies);

    void start();
    void stop() noexcept
    {
        m_stopped = true;
    }

    /*! @brief Takes what a peer knows. */
    void onReport(const Member &from, const HostReport &report);
    [[nodiscard]] TableKnowledge knowledge(DirectoryTable table) const;
    [[nodiscard]] bool known(DirectoryTable table) const noexcept
    {
        return mirror(table).hasBeenRead();
    }
    /*! @brief Reads what is new of the upstreams from the platform and puts it in force; false if that failed. */
    [[nodiscard]] boost::asio::awaitable<bool> readUpstreams();
    /*! @brief Writes for a peer what it lacks. */
    [[nodiscard]] std::string format(DirectoryTable table, RowVersion after);
    /*! @brief Returns reports with the latest changes of the upstreams, for the peers to apply in this order; empty if others read for them. */
    [[nodiscard]] std::vector<HostReport> changeReports() const;
    /*! @brief Sets the number of live hosts; in large fleets hosts that lack a change read it themselves, since one peer cannot serve all. */
    void setHosts(std::size_t hosts) noexcept
    {
        m_hosts = hosts;
    }
    /*! @brief Returns whether the last readings of both tables succeeded. */
    [[nodiscard]] bool reachesPlatform() const noexcept
    {
        return m_available[0] && m_available[1];
    }
    /*! @brief Returns whether this host reads the feeds for the others. */
    [[nodiscard]] bool reads() const;

private:
    struct Peer
    {
        SteadyTime heard{};
        // Its knowledge is fresh, so that it can read for others.
        bool fresh{false};
        bool slowLink{false};
    };

    // A change that a peer has and this host has not.
    struct Lack
    {
        SteadyTime since{};
        RowVersion content{0};
    };

    // What was formatted last.
    struct FormattedRows
    {
        RowVersion content{0};
        RowVersion after{0};
        std::string rows{};
    };

    [[nodiscard]] TableMirror &mirror(DirectoryTable table) noexcept
    {
        return m_mirrors[static_cast<std::size_t>(table)];
    }
    [[nodiscard]] const TableMirror &mirror(DirectoryTable table) const noexcept
    {
        return m_mirrors[static_cast<std::size_t>(table)];
    }
    [[nodiscard]] bool largeFleet() const noexcept;
    // Age of the knowledge from which this host reads for itself.
    [[nodiscard]] Milliseconds staleAfter() const;
    [[nodiscard]] Milliseconds changesRepeated() const noexcept;
    // Pause after a failed call; longer in large fleets, where any host that succeeds informs the others.
    [[nodiscard]] Milliseconds retryPause() const noexcept;
    [[nodiscard]] boost::asio::awaitable<void> follow(DirectoryTable table);
    [[nodiscard]] boost::asio::awaitable<void> fetchFrom(Member peer, DirectoryTable table);
    [[nodiscard]] boost::asio::awaitable<void> watchOutages();
    void consider(const Member &from, DirectoryTable table, const std::optional<TableKnowledge> &knowledge);
    void take(DirectoryTable table, TableReply reply, SteadyTime confirmed, bool whole);
    // Tells the peers of changes after a version, if this host reads for them.
    void announceChange(DirectoryTable table, RowVersion before);
    void update();
    // Updates after a short time in which further pushes may arrive.
    void updateSoon();
    void logEvacuations(const Configuration &configuration) const;
    void logChanges(const Configuration &configuration) const;
    // Logs a reading of a whole table that is older than what this host knows.
    void noteReading(DirectoryTable table, bool older, RowVersion version);
    void noteSource(DirectoryTable table, bool available, const std::string &cause);

    DirectoryDependencies m_dependencies;
    FleetDirectory m_directory;
    // Null before the first configuration.
    std::shared_ptr<const Configuration> m_applied;
    std::array<TableMirror, 2> m_mirrors;
    std::array<FormattedRows, 2> m_texts;
    std::array<bool, 2> m_fetching{};
    // A peer has a newer state.
    std::array<bool, 2> m_behind{};
    std::array<std::optional<Lack>, 2> m_lacks;
    // Changes of the upstreams of the last moments: when each was taken and the content before it.
    std::deque<std::pair<SteadyTime, RowVersion>> m_recent;
    std::size_t m_hosts{1};
    std::array<bool, 2> m_available{true, true};
    // The last reading was ignored.
    std::array<bool, 2> m_readsOlder{};
    // When a table could not be read last.
    std::array<SteadyTime, 2> m_failedAt{};
    StringMap<Peer> m_peers;
    SteadyTime m_startedAt{};
    bool m_updateScheduled{false};
    bool m_stopped{false};
};

} // namespace guavafield
