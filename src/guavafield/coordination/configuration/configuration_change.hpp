// A change of the configuration as a value, its validation and its application.
#pragma once

#include <guavafield/state/configuration.hpp>
#include <guavafield/state/result.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Items of every kind; a whole configuration without its revision, or the items that a change inserts or replaces. */
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

/*! @brief Items to insert or replace, and ids to remove; takes effect as a whole. */
struct ConfigurationChange
{
    ConfigurationItems upsert;
    ConfigurationRemovals remove;
};

/*! @brief One fault of a document; code is one of 6xxx. */
struct ConfigurationFault
{
    ResultCode code{ResultCode::ConfigurationInvalid};
    // Path in the document, e.g. "upsert.teams[2].contract.share".
    std::string path;
    std::string message;

    friend bool operator==(const ConfigurationFault &, const ConfigurationFault &) = default;
};

/*! @brief Every fault of a document. */
using ConfigurationFaults = std::vector<ConfigurationFault>;

/*! @brief A value, or all faults that prevented it. */
template <typename Type>
using Validated = std::variant<Type, ConfigurationFaults>;

/*!
 * @brief Lists every fault of a change against a configuration.
 * @param configuration What the change is applied to.
 * @param upsertPath Path of the change's items in their document: "upsert", or empty for a whole document.
 */
[[nodiscard]] ConfigurationFaults validateChange(const Configuration &configuration, const ConfigurationChange &change, std::string_view upsertPath = "upsert");

/*!
 * @brief Returns the configuration that a change leads to, with the next revision, or all faults of the change.
 * @param configuration Left as it is.
 */
[[nodiscard]] Validated<Configuration> applyChange(const Configuration &configuration, const ConfigurationChange &change);

/*!
 * @brief Applies a change in place and raises the revision by one.
 * @return The faults; if there are any, nothing has changed.
 */
[[nodiscard]] ConfigurationFaults applyChangeInPlace(Configuration &configuration, const ConfigurationChange &change);

/*!
 * @brief Returns the change that leads from one configuration to another.
 *
 * Items without a difference do not occur in it, so that its size follows from what differs.
 */
[[nodiscard]] ConfigurationChange difference(const Configuration &from, const Configuration &to);

/*! @brief Returns whether a change has no effect on any configuration. */
[[nodiscard]] bool isEmpty(const ConfigurationChange &change) noexcept;

} // namespace guavafield
