// Which software versions may have begun the streams that callers can still take up.
#pragma once

#include <guavafield/coordination/streams/stream_origin.hpp>
#include <guavafield/coordination/table/table.hpp>
#include <guavafield/state/configuration.hpp>

#include <map>

namespace guavafield {

/*!
 * @brief Joins what this host has seen in the table of upstreams with what the rows of all hosts say.
 *
 * Times are of the clock that hosts agree on. A version counts as gone from the moment at which a host first misses it, so a row may call it
 * present for too long, but never for too short. Not thread-safe.
 */
class VersionHistory
{
public:
    // For a caller's later tries, after the time limit of the first one's route, and for the error of the agreed clock.
    static constexpr Milliseconds takeUpMargin{60'000};

    VersionHistory() = default;
    /*! @param completeSince No stream began before this time, which may be long past, unseen by this host. */
    explicit VersionHistory(WallTime completeSince) : m_observedSince(completeSince) { }

    /*! @brief Takes the present upstreams; only to be called while the table of upstreams is known to be up to date. */
    void onConfiguration(const Configuration &configuration, WallTime now);
    /*! @brief A stream began at this version, which may have come and gone between two configurations. */
    void onBegan(const PoolId &pool, const SoftwareVersion &version, WallTime now);
    /*! @brief Takes a pool's row as read or as written; an absent one has no value. */
    void onRow(const PoolId &pool, RowVersion version, const std::optional<VersionRecord> &record, WallTime now);
    /*! @brief This host has missed changes: versions may have come and gone unseen. The rows have to be read again. */
    void onGap();
    /*! @brief The rows may have changed against what hosts wrote; they have to be read again. */
    void forgetRows();

    /*! @brief Whether the rows of all pools with upstreams have been read. */
    [[nodiscard]] bool areRowsKnown() const;
    /*! @brief Returns the pools whose rows matter: those that have or had upstreams. */
    [[nodiscard]] std::vector<PoolId> pools() const;
    /*! @brief Returns the pools whose rows are to be written with record(), on condition of rowVersion(). */
    [[nodiscard]] std::vector<PoolId> due() const;
    [[nodiscard]] VersionRecord record(const PoolId &pool) const;
    [[nodiscard]] RowVersion rowVersion(const PoolId &pool) const;
    /*! @brief Returns the version that began all streams which can still be taken up; empty if there are several or the past is not known. */
    [[nodiscard]] std::optional<SoftwareVersion> sole(const PoolId &pool, WallTime now) const;
    /*! @brief Returns for how long after its version left a stream of the pool may be taken up. */
    [[nodiscard]] Milliseconds reach(const PoolId &pool) const;

private:
    struct PoolHistory
    {
        // Without an entry for versions that left too long ago.
        std::map<SoftwareVersion, std::optional<WallTime>> versions;
        // Empty until the row was read.
        std::optional<WallTime> since;
        // As last read or written.
        std::optional<VersionRecord> row;
        RowVersion rowVersion{0};
        bool rowKnown{false};
        // Has upstreams in the table.
        bool seen{false};
        // How long after its version left a stream may be taken up.
        Milliseconds reach{takeUpMargin};
    };

    static void takePresent(PoolHistory &pool, const std::map<SoftwareVersion, std::optional<WallTime>> &present, WallTime now);
    static void takeRow(PoolHistory &pool, const VersionRecord &record, bool present, WallTime now);

    StringMap<PoolHistory> m_pools;
    // The present versions are known.
    bool m_observed{false};
    // All versions that served since then are in the histories; empty until the first observation after a gap.
    std::optional<WallTime> m_observedSince;
};

} // namespace guavafield
