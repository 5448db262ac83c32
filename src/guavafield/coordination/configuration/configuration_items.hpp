// Generic iteration over the kinds of configuration items.
#pragma once

#include <guavafield/coordination/configuration/configuration_change.hpp>

#include <string_view>

namespace guavafield {

/*! @brief Names of the item kinds in documents, ordered so that references between them can be checked. */
inline constexpr std::string_view kindNames[] = {"teams", "keys", "models", "routes", "upstreams"};

/*!
 * @brief Calls a visitor once per item kind, with the kind's name and the matching member of each argument.
 * @param parts Configurations, ConfigurationItems or ConfigurationRemovals.
 */
template <typename Visitor, typename... Parts>
void forEachKind(Visitor &&visitor, Parts &...parts)
{
    visitor(kindNames[0], parts.teams...);
    visitor(kindNames[1], parts.keys...);
    visitor(kindNames[2], parts.models...);
    visitor(kindNames[3], parts.routes...);
    visitor(kindNames[4], parts.upstreams...);
}

} // namespace guavafield
