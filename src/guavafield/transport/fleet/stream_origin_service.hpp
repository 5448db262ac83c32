// Keeps and finds the software versions that began streams, so that a caller's take-up goes on at that version alone.
#pragma once

#include <guavafield/coordination/streams/origin_book.hpp>
#include <guavafield/coordination/streams/origin_index.hpp>
#include <guavafield/coordination/streams/version_history.hpp>
#include <guavafield/state/clock.hpp>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/fleet/shared_read.hpp>
#include <guavafield/transport/http/path_hooks.hpp>
#include <guavafield/transport/platform/table_access.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavafield {

struct StreamOriginDependencies
{
    boost::asio::any_io_executor strand;
    // Counts the time of a suspension.
    const Clock &clock;
    Counters &counters;
    TableAccess table;
    TableFeed feed;
    std::function<std::shared_ptr<const Configuration>()> configuration;
    // The time of day that hosts agree on.
    std::function<WallTime()> wallTime;
    std::function<std::size_t()> hosts;
    // Whether this host writes news of versions at once; the others only write what it left out.
    std::function<bool()> writesFirst;
    // Reads the upstreams from the table service and puts them in force; returns whether that succeeded.
    std::function<boost::asio::awaitable<bool>()> readUpstreams;
};

/*!
 * @brief Runs on its strand; all members but the hooks are to be used there. Create it with std::make_shared.
 *
 * The origin of a stream is known from this host's own memory, from the version history if a pool had one version alone, or from the rows of
 * the host where it began. Those are written only while the history doesn't tell.
 */
class StreamOriginService : public std::enable_shared_from_this<StreamOriginService>
{
public:
    /*! @param completeSince No stream began before this time anywhere; empty if that is not known. */
    StreamOriginService(StreamOriginDependencies dependencies, HostId host, Incarnation incarnation, std::optional<WallTime> completeSince);

    void start();
    void stop() noexcept
    {
        m_stopped = true;
    }
    /*! @brief The configuration in force held the newest upstreams at this time of the service's clock. */
    void onUpstreamsConfirmed(SteadyTime at);
    /*! @brief Returns the hooks of the request path. */
    [[nodiscard]] StreamOriginHooks hooks();

private:
    using Awaitable = boost::asio::awaitable<void>;

    // A row of this host that is being filled.
    struct OpenRow
    {
        std::size_t slot{0};
        OriginBatch batch;
        std::size_t streams{0};
    };
    struct StoredRow
    {
        RowVersion version{0};
        WallTime until{};
    };

    void makeReads();
    [[nodiscard]] Awaitable run();
    // Takes the configuration in force.
    void observe();
    [[nodiscard]] bool isFresh() const;
    [[nodiscard]] Milliseconds callInterval() const;
    [[nodiscard]] bool mayWriteVersions();

    [[nodiscard]] Awaitable syncVersions();
    [[nodiscard]] boost::asio::awaitable<bool> readVersions();
    [[nodiscard]] Awaitable writeVersions();

    [[nodiscard]] Awaitable flush();
    [[nodiscard]] std::vector<BegunStream> takeUnsaved();
    [[nodiscard]] OpenRow nextRow() const;
    void appendTo(OpenRow &row, const std::vector<BegunStream> &streams) const;
    [[nodiscard]] RowKey slotKey(std::size_t slot) const;

    void onBegan(StreamBeginning beginning);
    [[nodiscard]] boost::asio::awaitable<std::optional<StreamOrigin>> find(StreamTakeUp takeUp);
    // Whether the stream began here, but not for certain at which version.
    [[nodiscard]] bool isUncertain(const StreamTakeUp &takeUp) const;
    // Finds the origin in the memory of this host or in the rows that it has read.
    [[nodiscard]] std::optional<StreamOrigin> findRecorded(const StreamTakeUp &takeUp, std::string_view &source) const;
    // Finds the version that began all streams, if there is one alone by a table that is read from now on.
    [[nodiscard]] boost::asio::awaitable<std::optional<StreamOrigin>> findSole(const StreamTakeUp &takeUp, std::string_view &source, SteadyTime deadline);
    void remember(const StreamTakeUp &takeUp, const StreamOrigin &origin);
    [[nodiscard]] boost::asio::awaitable<bool> readOrigins();
    [[nodiscard]] boost::asio::awaitable<bool> readPages();
    void takeOrigins(const TablePage &page);
    [[nodiscard]] Awaitable removeEnded();

    StreamOriginDependencies m_dependencies;
    HostId m_host;
    Incarnation m_incarnation;
    OriginBook m_book;
    OriginIndex m_index;
    VersionHistory m_history;
    bool m_stopped{false};

    std::optional<SteadyTime> m_confirmed;
    // As last compared with the book, and with the history.
    std::shared_ptr<const Configuration> m_bookConfiguration;
    std::shared_ptr<const Configuration> m_historyConfiguration;
    // Confirmation of m_bookConfiguration.
    SteadyTime m_bookConfirmed{};
    std::uint64_t m_epoch{0};

    // Since when rows of versions have been due; empty if none are.
    std::optional<SteadyTime> m_versionsDueSince;
    SteadyTime m_nextSync{};

    SteadyTime m_nextFlush{};
    std::optional<OpenRow> m_openRow;
    // When the row of each slot ends.
    std::vector<WallTime> m_slots;

    // Up to which the index holds the table of origins; empty before the first read.
    std::optional<RowVersion> m_indexVersion;
    std::map<std::string, StoredRow> m_storedRows;
    // Both set before the first lookup.
    std::shared_ptr<SharedRead> m_originReads;
    std::shared_ptr<SharedRead> m_upstreamReads;
    SteadyTime m_nextRemoval{};
};

} // namespace guavafield
