// JSON of the configuration: whole documents, changes, snapshots and the lists of faults.
#pragma once

#include <guavafield/coordination/configuration/configuration_change.hpp>

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace guavafield {

/*! @brief Parses a change, {"upsert":{kind:[..]},"remove":{kind:[ids]}}. Unknown fields are faults. */
[[nodiscard]] Validated<ConfigurationChange> parseChange(std::string_view text);

/*!
 * @brief Reads a change from a JSON value.
 * @param path Path of the value in its document, for the faults.
 */
[[nodiscard]] ConfigurationChange readChange(const boost::json::value &value, const std::string &path, ConfigurationFaults &faults);

/*!
 * @brief Parses a whole document, {kind:[..]}, into the configuration that it describes.
 * @param base Kinds that the document does not mention are taken from here, and so is the revision.
 */
[[nodiscard]] Validated<Configuration> parseDocument(std::string_view text, const Configuration &base);

/*! @brief Like parseDocument() for a value that is part of another document. */
[[nodiscard]] Validated<Configuration> readDocument(const boost::json::value &value, const std::string &path, const Configuration &base);

/*! @brief Parses a snapshot as stored and as sent between hosts. */
[[nodiscard]] Validated<Configuration> parseSnapshot(std::string_view text);

[[nodiscard]] std::string formatSnapshot(const Configuration &configuration);
[[nodiscard]] std::string formatChange(const ConfigurationChange &change);

/*! @brief Returns a configuration as {"revision":..,kind:[..]}. */
[[nodiscard]] boost::json::object toJson(const Configuration &configuration);
[[nodiscard]] boost::json::object toJson(const ConfigurationChange &change);
/*! @brief Returns faults as [{"code","path","message"}]. */
[[nodiscard]] boost::json::array toJson(const ConfigurationFaults &faults);

} // namespace guavafield
