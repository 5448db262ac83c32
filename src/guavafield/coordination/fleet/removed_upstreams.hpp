// Remembers upstreams whose entries were removed, to tell entries that only a restored table brings back.
#pragma once

#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/state/configuration.hpp>

namespace guavafield {

/*! @brief Upstreams without an entry, for as long as a copy of the table may still hold one. Not thread-safe. */
class RemovedUpstreams
{
public:
    /*!
     * @brief Notes that the entry of an upstream is gone.
     * @param lastVersion Version of the table without the entry.
     */
    void add(const Upstream &upstream, RowVersion lastVersion, SteadyTime now);

    /*! @brief Notes an entry of an upstream in the table. */
    void onEntry(const UpstreamId &id, RowVersion version);

    /*! @brief Returns whether an upstream wrote the entry with this version before it was removed, so that a copy brought it back. */
    [[nodiscard]] bool isFromCopy(const Upstream &upstream, RowVersion version) const;

private:
    struct Removal
    {
        Incarnation incarnation{0};
        RowVersion lastVersion{0};
        SteadyTime at{};
        // Version of the first entry after the removal; 0 before that.
        RowVersion returnedAt{0};
    };

    // Bounded by age.
    StringMap<Removal> m_removals;
};

} // namespace guavafield
