// Application of changes and difference of configurations.
#include <guavafield/coordination/configuration/configuration_change.hpp>

#include <guavafield/coordination/configuration/configuration_items.hpp>

namespace guavafield {

namespace internal {

void applyUnchecked(Configuration &configuration, const ConfigurationChange &change)
{
    forEachKind(
        [](std::string_view, auto &items, const auto &upserted, const auto &removed) {
            for (const auto &it : removed) {
                items.erase(it);
            }
            for (const auto &it : upserted) {
                items.insert_or_assign(it.id, it);
            }
        },
        configuration,
        change.upsert,
        change.remove);
    ++configuration.revision;
}

} // namespace internal

Validated<Configuration> applyChange(const Configuration &configuration, const ConfigurationChange &change)
{
    auto faults = validateChange(configuration, change);
    if (!faults.empty()) {
        return faults;
    }
    auto result = configuration;
    internal::applyUnchecked(result, change);
    return result;
}

ConfigurationFaults applyChangeInPlace(Configuration &configuration, const ConfigurationChange &change)
{
    auto faults = validateChange(configuration, change);
    if (faults.empty()) {
        internal::applyUnchecked(configuration, change);
    }
    return faults;
}

ConfigurationChange difference(const Configuration &from, const Configuration &to)
{
    ConfigurationChange change;
    forEachKind(
        [](std::string_view, const auto &before, const auto &after, auto &upserted, auto &removed) {
            for (const auto &[id, item] : after) {
                const auto it = before.find(id);
                if (it == before.end() || !(it->second == item)) {
                    upserted.push_back(item);
                }
            }
            for (const auto &[id, item] : before) {
                if (!after.contains(id)) {
                    removed.push_back(id);
                }
            }
        },
        from,
        to,
        change.upsert,
        change.remove);
    return change;
}

bool isEmpty(const ConfigurationChange &change) noexcept
{
    bool empty = true;
    const auto visit = [&empty](std::string_view, const auto &upserted, const auto &removed) { empty = empty && upserted.empty() && removed.empty(); };
    forEachKind(visit, change.upsert, change.remove);
    return empty;
}

} // namespace guavafield
