// What the rows of the configuration hold, as values; the protocol layer has their JSON.
#pragma once

#include <guavafield/coordination/configuration/configuration_change.hpp>
#include <guavafield/coordination/table/table.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace guavafield {

/*! @brief Numbers the set of fields that a daemon understands; rises when a field is added. */
using SchemaVersion = std::uint32_t;
inline constexpr SchemaVersion schemaVersion = 1;

/*! @brief A snapshot is stored whenever the revision is a multiple of this. */
inline constexpr Revision snapshotInterval = 256;

/*! @brief Row config/head. */
struct ConfigurationHead
{
    // 0 before the first change, when the row is absent.
    Revision revision{0};
    // Unique id of the change that led to this revision.
    std::string id;
    // Smallest schema number that understands the configuration at this revision.
    SchemaVersion minimumSchema{schemaVersion};
    // Version of the row, for the next change's condition; 0 for an absent row.
    RowVersion version{0};
};

/*! @brief Row config/change/<revision>. */
struct ChangeRecord
{
    Revision revision{0};
    std::string id;
    // Smallest schema number that understands this change.
    SchemaVersion schema{schemaVersion};
    // The row's JSON text, as it is served to peers.
    std::string text;
    // The faults of a change that this daemon cannot understand.
    Validated<ConfigurationChange> change;
};

} // namespace guavafield
