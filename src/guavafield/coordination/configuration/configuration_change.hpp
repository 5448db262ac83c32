// Configuration changes: value types, validation, application and difference.
#pragma once

#include <guavafield/state/configuration.hpp>
#include <guavafield/state/result.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Items by kind: a whole configuration without its revision, or the items that a change inserts or replaces. */
struct ConfigurationItems
{
    std::vector<Team> teams;
    std::vector<ApiKey> keys;
    std::vector<Model> models;
    std::vector<Route> routes;
    std::vector<Upstream> upstreams;
};

/*! @brief Ids of the items that a change removes. */
struct ConfigurationRemovals
{
    std::vector<TeamId> teams;
    std::vector<KeyId> keys;
    std::vector<ModelId> models;
    std::vector<RouteId> routes;
    std::vector<UpstreamId> upstreams;
};

/*! @brief Items to insert or replace and ids to remove; applied atomically. */
struct ConfigurationChange
{
    ConfigurationItems upsert;
    ConfigurationRemovals remove;
};

/*! @brief A validation fault in a document; its code is in the range 6xxx. */
struct ConfigurationFault
{
    ResultCode code{ResultCode::ConfigurationInvalid};
    // Path in the document, e.g. "upsert.teams[2].contract.share".
    std::string path;
    std::string message;

    friend bool operator==(const ConfigurationFault &, const ConfigurationFault &) = default;
};

/*! @brief All validation faults of a document. */
using ConfigurationFaults = std::vector<ConfigurationFault>;

/*! @brief A valid value, or all faults found in its place. */
template <typename Type>
using Validated = std::variant<Type, ConfigurationFaults>;

/*!
 * @brief Validates a change against a configuration and returns all faults.
 * @param configuration Configuration to which the change would be applied.
 * @param upsertPath Path of the upserted items in their document: "upsert", or empty for a whole document.
 */
[[nodiscard]] ConfigurationFaults validateChange(const Configuration &configuration, const ConfigurationChange &change, std::string_view upsertPath = "upsert");

/*!
 * @brief Returns a changed copy of the configuration with the next revision, or all faults of the change.
 * @param configuration Not modified.
 */
[[nodiscard]] Validated<Configuration> applyChange(const Configuration &configuration, const ConfigurationChange &change);

/*!
 * @brief Applies a change in place and increments the revision.
 * @return The faults of the change; the configuration is unmodified if there are any.
 */
[[nodiscard]] ConfigurationFaults applyChangeInPlace(Configuration &configuration, const ConfigurationChange &change);

/*!
 * @brief Returns the change that turns one configuration into another.
 *
 * It contains only items that differ, so its size is proportional to the difference.
 */
[[nodiscard]] ConfigurationChange difference(const Configuration &from, const Configuration &to);

/*! @brief Returns whether a change contains neither upserts nor removals. */
[[nodiscard]] bool isEmpty(const ConfigurationChange &change) noexcept;

} // namespace guavafield
