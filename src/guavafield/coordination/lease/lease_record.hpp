// The row of a lease, and the entries of the platform's list of hosts that decide whether a holder counts as released.
#pragma once

#include <guavafield/coordination/table/table_io.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief One incarnation of a host. */
struct LeaseHolder
{
    HostId host;
    Incarnation incarnation{0};

    friend bool operator==(const LeaseHolder &, const LeaseHolder &) = default;
};

/*! @brief Value of the row lease/<name>. */
struct LeaseRecord
{
    // Empty after a release.
    std::optional<LeaseHolder> holder;
    // Increases with each take-over and never decreases.
    Fence fence{0};
    Milliseconds term{0};
    // Unique id of the holder's latest write; writes by other processes leave it unchanged.
    std::string renewal;
    // Earlier holders that have not released and may still send.
    std::vector<LeaseHolder> unreleased;
};

using LeaseCodec = RecordCodec<LeaseRecord>;

enum class HostState : std::uint8_t {
    Live,
    Leaving,
    // Permanent: no process of this incarnation exists any more.
    Gone,
};

/*! @brief An entry of the platform's list of hosts. */
struct ListedHost
{
    HostId id;
    Incarnation incarnation{0};
    HostState state{HostState::Live};
};

} // namespace guavafield
