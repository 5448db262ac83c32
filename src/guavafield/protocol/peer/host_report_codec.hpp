// Reports of hosts as part of the peers' datagrams.
#pragma once

#include <guavafield/coordination/fleet/host_report.hpp>
#include <guavafield/protocol/peer/peer.capnp.h>

namespace guavafield::internal {

void writeReport(const HostReport &report, wire::HostReport::Builder builder);

/*! @brief Reads a report; throws std::invalid_argument if it is invalid. */
[[nodiscard]] HostReport readReport(wire::HostReport::Reader reader);

} // namespace guavafield::internal
