// Builds the configuration in force from the operators' document and the entries of upstreams.
#pragma once

#include <guavafield/coordination/fleet/removed_upstreams.hpp>
#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/state/result.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Entry that an upstream writes about itself. */
struct UpstreamEntry
{
    Upstream upstream;
    // Time until a leaving upstream stops, counted from the entry.
    std::optional<Milliseconds> leavesIn;
    // Time for which its caches are cold, counted from the entry.
    std::optional<Milliseconds> coldFor{};
};

/*! @brief Decoding functions for mirrored rows; provided by each platform. */
struct DirectoryCodec
{
    // Key of the row with the operators' document.
    std::string documentKey;
    // Begins the keys of rows of the document's table that evacuate the data centre which they name; empty if there are none.
    std::string evacuationPrefix{};
    std::function<Result<Configuration>(std::string_view text)> document;
    std::function<Result<UpstreamEntry>(std::string_view id, std::string_view text)> upstream;
};

/*! @brief An upstream without an entry that stays in use for a short time. */
struct KeptUpstream
{
    UpstreamId id;
    // How long it stays in use unless its entry returns.
    Milliseconds duration{0};
};

/*! @brief A row that could not be decoded. */
struct InvalidDirectoryRow
{
    std::string key;
    RowVersion version{0};
    Error error;
};

/*!
 * @brief Configuration derived from two mirrored tables.
 *
 * Entries that expired while the table could not be read are kept for a short time afterwards, since running upstreams rewrite theirs.
 * Not thread-safe.
 */
class FleetDirectory
{
public:
    explicit FleetDirectory(DirectoryCodec codec) : m_codec(std::move(codec)) { }

    /*!
     * @brief Applies changes of the tables; every call must pass the same two mirrors.
     * @return The new configuration; null if it is unchanged or no document was read yet.
     */
    [[nodiscard]] std::shared_ptr<const Configuration> update(const TableMirror &document, const TableMirror &upstreams, SteadyTime now);

    /*! @brief Notes that this host or a peer tried to read the table of upstreams and could not. */
    void onReadFailed(SteadyTime now) noexcept
    {
        m_lastReadFailure = now;
    }

    /*! @brief Returns when update() has to be called even if no table changes; empty if it need not be. */
    [[nodiscard]] const std::optional<SteadyTime> &nextWakeup() const noexcept
    {
        return m_wakeup;
    }
    /*! @brief Returns and clears the rows that could not be decoded since the last call. */
    [[nodiscard]] std::vector<InvalidDirectoryRow> takeInvalidRows();
    /*! @brief Returns and clears the upstreams that were kept without an entry since the last call. */
    [[nodiscard]] std::vector<KeptUpstream> takeKeptUpstreams();

private:
    struct KnownUpstream
    {
        RowVersion version{0};
        std::optional<Upstream> upstream;
        // Time of removal; set while the row is missing.
        std::optional<SteadyTime> removeAt;
    };

    bool updateDocument(const TableMirror &mirror);
    // Returns whether the evacuated data centres have changed.
    bool updateEvacuations(const TableMirror &mirror, SteadyTime now);
    [[nodiscard]] std::set<DataCentreId, std::less<>> listedEvacuations(const TableMirror &mirror) const;
    bool updateUpstreams(const TableMirror &mirror, SteadyTime now);
    bool applyEntry(const MirroredRow &row, SteadyTime now);
    void detectOutage(const TableMirror &mirror, SteadyTime now);
    void detectRestoration(const TableMirror &mirror, SteadyTime now);
    // Whether the table was restored so recently that entries of its copy may still be there for upstreams that are gone.
    [[nodiscard]] bool mayHoldOldEntries(SteadyTime now) const noexcept;

    DirectoryCodec m_codec;
    // Configuration without upstreams; revision 0 before the first document.
    Configuration m_document;
    RowVersion m_documentVersion{0};
    std::set<DataCentreId, std::less<>> m_evacuated;
    // Of the table of the document: its epoch. Evacuations that a restored copy lacks are kept until the operators have written them again.
    RowVersion m_documentEpoch{0};
    std::optional<SteadyTime> m_keepEvacuationsUntil;
    StringMap<KnownUpstream> m_upstreams;
    RemovedUpstreams m_removed;
    // Of the table of upstreams: its epoch, and when that was first read.
    RowVersion m_epoch{0};
    std::optional<SteadyTime> m_restoredAt;
    // changes() of the tables at the last update.
    std::uint64_t m_documentChanges{0};
    std::uint64_t m_upstreamChanges{0};
    // The earliest removeAt.
    std::optional<SteadyTime> m_wakeup;
    std::optional<SteadyTime> m_lastConfirmed;
    std::optional<SteadyTime> m_lastReadFailure;
    // Time at which the upstreams table was first read after an outage.
    std::optional<SteadyTime> m_outageEnd;
    std::vector<InvalidDirectoryRow> m_faults;
    std::vector<KeptUpstream> m_kept;
};

} // namespace guavafield
