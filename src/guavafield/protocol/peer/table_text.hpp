// Mirrored rows as the text that peers exchange by RPC.
#pragma once

#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/state/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Changes of a table, or all its rows. */
struct TableText
{
    std::vector<MirroredRow> rows;
    // Of the latest change.
    RowVersion content{0};
    RowVersion complete{0};
    // Since the sender knew that nothing is missing.
    Milliseconds age{0};
    // All rows rather than changes.
    bool whole{false};
};

/*! @brief Writes the rows that a peer lacks which has the changes up to a version. */
[[nodiscard]] std::string formatRows(const TableMirror &mirror, RowVersion after);
/*! @brief Writes the whole text from rows that formatRows() wrote, with the mirror's present age. */
[[nodiscard]] std::string formatTable(const TableMirror &mirror, std::string_view rows, SteadyTime now);
/*! @brief Reads what formatTable() wrote; PeerMessageInvalid for anything else. */
[[nodiscard]] Result<TableText> parseTable(std::string_view text);

} // namespace guavafield
