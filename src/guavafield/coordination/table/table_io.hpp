// Table service actions that state machines without I/O return, and the codecs of their rows.
#pragma once

#include <guavafield/coordination/table/table.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Run a transaction and pass its reply to the component. */
struct TransactAction
{
    Transaction transaction;
};

/*! @brief Read rows and pass the reply to the component. */
struct ReadAction
{
    std::vector<RowKey> keys;
};

/*! @brief Scan a range and pass the reply to the component. */
struct ScanAction
{
    ScanRange range;
};

/*!
 * @brief Converts row values to and from JSON text.
 *
 * The coordination layer does not know the encoding; the protocol layer provides one codec per record type.
 */
template <typename Record>
struct RecordCodec
{
    std::string (*encode)(const Record &record);
    // Returns nothing if the text is malformed.
    std::optional<Record> (*decode)(std::string_view text);
};

} // namespace guavafield
