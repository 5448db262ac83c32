// Contents of the configuration rows as value types; the protocol layer converts them to and from JSON.
#pragma once

#include <guavafield/coordination/configuration/configuration_change.hpp>
#include <guavafield/coordination/table/table.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace guavafield {

/*! @brief Version of the set of fields that a daemon understands; increases when a field is added. */
using SchemaVersion = std::uint32_t;
inline constexpr SchemaVersion schemaVersion = 1;

/*! @brief A snapshot is stored at every revision that is a multiple of this. */
inline constexpr Revision snapshotInterval = 256;

/*! @brief Row config/head. */
struct ConfigurationHead
{
    // 0 if the row is absent, that is, before the first change.
    Revision revision{0};
    // Unique id of the change that created this revision.
    std::string id;
    // Lowest schema version that can represent the configuration at this revision.
    SchemaVersion minimumSchema{schemaVersion};
    // Version of the row, which the next change uses as its condition; 0 for an absent row.
    RowVersion version{0};
};

/*! @brief Row config/change/<revision>. */
struct ChangeRecord
{
    Revision revision{0};
    std::string id;
    // Lowest schema version that can represent this change.
    SchemaVersion schema{schemaVersion};
    // JSON text of the row, served to peers unchanged.
    std::string text;
    // The change, or the faults if this daemon cannot parse it.
    Validated<ConfigurationChange> change;
};

} // namespace guavafield
