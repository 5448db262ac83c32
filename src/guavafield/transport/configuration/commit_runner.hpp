// Performs the steps of a commit through the platform client.
#pragma once

#include <guavafield/coordination/configuration/configuration_commit.hpp>
#include <guavafield/transport/platform/platform_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace guavafield {

/*! @brief How a commit ended, and the row that it wrote. */
struct CommitResult
{
    // One of the last four alternatives.
    CommitStep end;
    std::string recordText;
};

/*!
 * @brief Commits a change.
 * @param id Unique id of the change.
 * @param base Revision that the change was validated against.
 */
[[nodiscard]] boost::asio::awaitable<CommitResult> runCommit(PlatformClient &platform, std::string id, Revision base, ConfigurationChange change);

} // namespace guavafield
