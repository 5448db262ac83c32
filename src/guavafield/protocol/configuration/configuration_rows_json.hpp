// JSON of the rows config/head and config/change/<revision>, and the names of the stored objects.
#pragma once

#include <guavafield/coordination/configuration/configuration_commit.hpp>
#include <guavafield/coordination/configuration/configuration_rows.hpp>
#include <guavafield/coordination/table/table.hpp>
#include <guavafield/state/result.hpp>

#include <string>
#include <string_view>

namespace guavafield {

[[nodiscard]] RowKey configurationHeadKey();
[[nodiscard]] RowKey configurationChangeKey(Revision revision);
/*! @brief Returns the range of the change rows from after + 1 to upTo. */
[[nodiscard]] ScanRange configurationChangeRange(Revision after, Revision upTo);
/*! @brief Returns the name of the object that holds a snapshot. */
[[nodiscard]] std::string snapshotObjectName(Revision revision);

/*! @brief Parses config/head; an absent row is revision 0. */
[[nodiscard]] Result<ConfigurationHead> parseHead(const Row &row);

/*! @brief Parses the text of a change row. Unknown fields become faults of the record's change, not an error. */
[[nodiscard]] Result<ChangeRecord> parseChangeRecord(std::string_view text);
[[nodiscard]] std::string formatChangeRecord(const CommitWrite &write, const ConfigurationChange &change);

/*!
 * @brief Makes the transaction of a commit.
 * @param recordText Text of the change row, by formatChangeRecord().
 */
[[nodiscard]] Transaction makeCommitTransaction(const CommitWrite &write, std::string recordText);

} // namespace guavafield
