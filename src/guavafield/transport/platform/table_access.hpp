// The table service as leases and mirrors use it, whichever platform provides it.
#pragma once

#include <guavafield/coordination/fleet/table_mirror.hpp>
#include <guavafield/coordination/lease/lease_record.hpp>
#include <guavafield/coordination/table/table.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace guavafield {

class PlatformClient;

/*! @brief Single rows, read and written under conditions. */
struct TableAccess
{
    std::function<boost::asio::awaitable<TransactionReply>(Transaction)> transact;
    std::function<boost::asio::awaitable<ReadReply>(std::vector<RowKey>)> read;
    // The platform's list of hosts; empty if there is none or it could not be read.
    std::function<boost::asio::awaitable<std::vector<ListedHost>>()> hosts;
};

/*! @brief Rows of one table and the version up to which they are complete. */
struct TablePage
{
    std::vector<MirroredRow> rows;
    RowVersion complete{0};
};
/*! @brief The changes asked for are no longer known. */
struct TableGap
{
};
/*! @brief No answer, or a refusal. */
struct TableUnavailable
{
    std::string cause;
};

using TableReply = std::variant<TablePage, TableGap, TableUnavailable>;

/*! @brief Whole tables and their changes. */
struct TableFeed
{
    // Changes after a version, as soon as there is one or after the wait.
    std::function<boost::asio::awaitable<TableReply>(std::string table, RowVersion after, Milliseconds wait)> follow;
    std::function<boost::asio::awaitable<TableReply>(std::string table)> readAll;
};

/*! @brief Returns the table service of the product's own platform. */
[[nodiscard]] TableAccess tableAccess(PlatformClient &client);

} // namespace guavafield
