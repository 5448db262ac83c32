// Validation rules of changes; each fault carries the path of the offending field in the document.
#include <guavafield/coordination/configuration/configuration_change.hpp>

#include <guavafield/coordination/configuration/configuration_items.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace guavafield {

namespace internal {

// Ids occur in row keys, URL paths and API keys, so their length and character set are limited.
constexpr std::size_t maxIdLength = 64;
constexpr Milliseconds maxTargetTime{24 * 3'600'000};

bool isValidId(std::string_view text) noexcept
{
    const auto allowed = [](unsigned char it) { return std::isalnum(it) != 0 || it == '-' || it == '_' || it == '.'; };
    return !text.empty() && text.size() <= maxIdLength && std::ranges::all_of(text, allowed);
}

bool isPositive(double number) noexcept
{
    return std::isfinite(number) && number > 0;
}

std::string joinPath(std::string_view path, std::string_view name)
{
    return path.empty() ? std::string(name) : std::string(path).append(".").append(name);
}

std::string indexPath(std::string_view path, std::size_t index)
{
    return std::string(path).append("[").append(std::to_string(index)).append("]");
}

/*! @brief Collects faults, with paths relative to a base path. */
class FaultCollector
{
public:
    FaultCollector(ConfigurationFaults &faults, std::string path) : m_faults(faults), m_path(std::move(path)) { }

    [[nodiscard]] FaultCollector at(std::string_view name) const
    {
        return {m_faults, joinPath(m_path, name)};
    }
    [[nodiscard]] FaultCollector at(std::size_t index) const
    {
        return {m_faults, indexPath(m_path, index)};
    }
    void require(bool condition, std::string_view name, std::string_view message) const
    {
        if (!condition) {
            m_faults.push_back({ResultCode::ConfigurationInvalid, name.empty() ? m_path : joinPath(m_path, name), std::string(message)});
        }
    }

private:
    ConfigurationFaults &m_faults;
    std::string m_path;
};

/*! @brief Looks up items of one kind in their state after the change, without building the new configuration. */
template <typename Type>
class ItemsAfterChange
{
public:
    ItemsAfterChange(const StringMap<Type> &before, const std::vector<Type> &upserted, const std::vector<std::string> &removed)
        : m_before(before), m_removed(removed.begin(), removed.end())
    {
        for (const auto &it : upserted) {
            m_upserted.emplace(it.id, &it);
        }
    }

    [[nodiscard]] const Type *find(std::string_view id) const
    {
        if (const auto it = m_upserted.find(id); it != m_upserted.end()) {
            return it->second;
        }
        if (m_removed.contains(id)) {
            return nullptr;
        }
        const auto it = m_before.find(id);
        return it == m_before.end() ? nullptr : &it->second;
    }

private:
    const StringMap<Type> &m_before;
    StringMap<const Type *> m_upserted;
    std::set<std::string, std::less<>> m_removed;
};

/*! @brief Validates one change against one configuration. */
class Validator
{
public:
    Validator(const Configuration &configuration, const ConfigurationChange &change)
        : m_configuration(configuration)
        , m_change(change)
        , m_teams(configuration.teams, change.upsert.teams, change.remove.teams)
        , m_models(configuration.models, change.upsert.models, change.remove.models)
        , m_upstreams(configuration.upstreams, change.upsert.upstreams, change.remove.upstreams)
    {
    }

    ConfigurationFaults run(std::string_view upsertPath)
    {
        const FaultCollector upserts(m_faults, std::string(upsertPath));
        checkIds(upserts);
        checkItems(m_change.upsert.teams, upserts.at("teams"));
        checkItems(m_change.upsert.keys, upserts.at("keys"));
        checkItems(m_change.upsert.models, upserts.at("models"));
        checkItems(m_change.upsert.routes, upserts.at("routes"));
        checkItems(m_change.upsert.upstreams, upserts.at("upstreams"));
        checkUniquePrefixes(upserts.at("routes"));
        checkRemovals();
        checkReferencedServices(upserts.at("upstreams"));
        return std::move(m_faults);
    }

private:
    void checkIds(const FaultCollector &upserts)
    {
        const FaultCollector removals(m_faults, "remove");
        const auto visit = [&](std::string_view kind, const auto &existing, const auto &upserted, const auto &removed) {
            std::set<std::string, std::less<>> seen;
            for (std::size_t n = 0; n < upserted.size(); ++n) {
                const auto &id = upserted[n].id;
                const auto scope = upserts.at(kind).at(n);
                scope.require(isValidId(id), "id", "an id has 1 to 64 letters, digits, '-', '_' or '.'");
                scope.require(seen.insert(id).second, "id", "the id occurs twice");
            }
            for (std::size_t n = 0; n < removed.size(); ++n) {
                const auto scope = removals.at(kind).at(n);
                scope.require(existing.contains(removed[n]), {}, "there is no item with this id to remove");
                scope.require(seen.insert(removed[n]).second, {}, "the item is also inserted, or removed twice");
            }
        };
        forEachKind(visit, m_configuration, m_change.upsert, m_change.remove);
    }

    template <typename Type>
    void checkItems(const std::vector<Type> &items, const FaultCollector &faults)
    {
        for (std::size_t n = 0; n < items.size(); ++n) {
            check(items[n], faults.at(n));
        }
    }

    static void check(const Team &team, const FaultCollector &faults)
    {
        const auto &contract = team.contract;
        const auto scope = faults.at("contract");
        scope.require(contract.tier < tierCount, "tier", "a tier is 0 to 3");
        scope.require(isPositive(contract.share), "share", "a share is a positive number");
        scope.require(!contract.classes.empty(), "classes", "a contract has at least one class");
        std::set<std::string_view> names;
        for (std::size_t n = 0; n < contract.classes.size(); ++n) {
            const auto &it = contract.classes[n];
            const auto classScope = scope.at("classes").at(n);
            classScope.require(isValidId(it.name), "name", "a class name has 1 to 64 letters, digits, '-', '_' or '.'");
            classScope.require(names.insert(it.name).second, "name", "the class name occurs twice");
            classScope.require(it.tier < tierCount, "tier", "a tier is 0 to 3");
            classScope.require(it.tier >= contract.tier, "tier", "a class may not have a higher tier than its contract");
            classScope.require(it.firstTokenTarget.count() > 0, "ttft_ms", "a target is positive");
            classScope.require(it.totalTarget >= it.firstTokenTarget, "total_ms", "the total target is not shorter than that of the first token");
            classScope.require(it.totalTarget <= maxTargetTime, "total_ms", "a target is at most 24 hours");
        }
    }

    void check(const ApiKey &key, const FaultCollector &faults)
    {
        faults.require(m_teams.find(key.team) != nullptr, "team", "there is no such team");
        const auto before = m_configuration.keys.find(key.id);
        if (before == m_configuration.keys.end()) {
            return;
        }
        faults.require(!before->second.withdrawn || key.withdrawn, "withdrawn", "a withdrawn key stays withdrawn; create a new key");
        faults.require(before->second.digest == key.digest, "digest", "the secret of a key does not change; create a new key");
        faults.require(before->second.team == key.team, "team", "the team of a key does not change; create a new key");
    }

    static void check(const Model &model, const FaultCollector &faults)
    {
        faults.require(isPositive(model.outputCost), "output_cost", "a cost is a positive number");
        faults.require(isPositive(model.promptCost), "prompt_cost", "a cost is a positive number");
    }

    void check(const Route &route, const FaultCollector &faults)
    {
        faults.require(route.prefix.starts_with('/'), "prefix", "a prefix starts with '/'");
        faults.require(route.timeout.count() > 0 && route.timeout <= maxTargetTime, "timeout_ms", "a timeout is positive and at most 24 hours");
        faults.require(route.open || route.openTeam.empty(), "open_team", "only an open route names a team");
        faults.require(!route.open || m_teams.find(route.openTeam) != nullptr, "open_team", "there is no such team");
        const auto *service = std::get_if<ServiceTarget>(&route.target);
        if (service == nullptr) {
            return;
        }
        faults.require(!service->upstreams.empty(), "upstreams", "a service route names at least one upstream");
        for (std::size_t n = 0; n < service->upstreams.size(); ++n) {
            const auto *upstream = m_upstreams.find(service->upstreams[n]);
            faults.at("upstreams").at(n).require(upstream != nullptr && upstream->models.empty(), {}, "there is no such plain service");
        }
    }

    void check(const Upstream &upstream, const FaultCollector &faults) const
    {
        faults.require(!upstream.address.empty(), "address", "an upstream has an address");
        faults.require(upstream.port != 0, "port", "a port is 1 to 65535");
        faults.require(isValidId(upstream.dataCentre), "data_centre", "a data centre has 1 to 64 letters, digits, '-', '_' or '.'");
        faults.require(upstream.slots > 0, "slots", "an upstream has at least one slot");
        faults.require(std::isfinite(upstream.costPerHour) && upstream.costPerHour >= 0, "cost_per_hour", "a cost is not negative");
        for (std::size_t n = 0; n < upstream.models.size(); ++n) {
            faults.at("models").at(n).require(m_models.find(upstream.models[n]) != nullptr, {}, "there is no such model");
        }
    }

    void checkUniquePrefixes(const FaultCollector &faults)
    {
        const std::set<std::string_view> removed(m_change.remove.routes.begin(), m_change.remove.routes.end());
        std::set<std::string_view> upserted;
        for (const auto &it : m_change.upsert.routes) {
            upserted.insert(it.id);
        }
        std::set<std::string_view> prefixes;
        if (!upserted.empty()) {
            for (const auto &[id, route] : m_configuration.routes) {
                if (!removed.contains(id) && !upserted.contains(id)) {
                    prefixes.insert(route.prefix);
                }
            }
        }
        for (std::size_t n = 0; n < m_change.upsert.routes.size(); ++n) {
            faults.at(n).require(prefixes.insert(m_change.upsert.routes[n].prefix).second, "prefix", "another route has this prefix");
        }
    }

    /*! @brief Rejects the removal of items that remaining items refer to. */
    void checkRemovals()
    {
        const auto &remove = m_change.remove;
        const FaultCollector faults(m_faults, "remove");
        for (std::size_t n = 0; n < remove.teams.size(); ++n) {
            faults.at("teams").at(n).require(!isTeamUsed(remove.teams[n]), {}, "a key or an open route still refers to this team");
        }
        for (std::size_t n = 0; n < remove.models.size(); ++n) {
            faults.at("models").at(n).require(!isModelUsed(remove.models[n]), {}, "an upstream still refers to this model");
        }
        for (std::size_t n = 0; n < remove.upstreams.size(); ++n) {
            faults.at("upstreams").at(n).require(!isUpstreamUsed(remove.upstreams[n]), {}, "a route still refers to this upstream");
        }
    }

    /*! @brief Rejects models on upstreams that a service route refers to. */
    void checkReferencedServices(const FaultCollector &faults)
    {
        for (std::size_t n = 0; n < m_change.upsert.upstreams.size(); ++n) {
            const auto &it = m_change.upsert.upstreams[n];
            faults.at(n).require(it.models.empty() || !isUpstreamUsed(it.id), "models", "a route refers to this upstream as a plain service");
        }
    }

    /*! @brief Returns whether any item that is neither upserted nor removed by the change satisfies a condition. */
    template <typename Type, typename Condition>
    static bool anyUnchanged(const StringMap<Type> &items, const std::vector<Type> &upserted, const std::vector<std::string> &removed, Condition condition)
    {
        return std::ranges::any_of(items, [&](const auto &entry) {
            const auto same = [&](const Type &it) { return it.id == entry.first; };
            return condition(entry.second) && std::ranges::none_of(upserted, same) && std::ranges::find(removed, entry.first) == removed.end();
        });
    }

    [[nodiscard]] bool isTeamUsed(const TeamId &team) const
    {
        const auto keyUsesTeam = [&](const ApiKey &it) { return it.team == team; };
        const auto routeUsesTeam = [&](const Route &it) { return it.open && it.openTeam == team; };
        return anyUnchanged(m_configuration.keys, m_change.upsert.keys, m_change.remove.keys, keyUsesTeam)
            || anyUnchanged(m_configuration.routes, m_change.upsert.routes, m_change.remove.routes, routeUsesTeam);
    }

    [[nodiscard]] bool isModelUsed(const ModelId &model) const
    {
        const auto usesModel = [&](const Upstream &it) { return std::ranges::find(it.models, model) != it.models.end(); };
        return anyUnchanged(m_configuration.upstreams, m_change.upsert.upstreams, m_change.remove.upstreams, usesModel);
    }

    [[nodiscard]] bool isUpstreamUsed(const UpstreamId &upstream) const
    {
        const auto referencesUpstream = [&](const Route &it) {
            const auto *service = std::get_if<ServiceTarget>(&it.target);
            return service != nullptr && std::ranges::find(service->upstreams, upstream) != service->upstreams.end();
        };
        return anyUnchanged(m_configuration.routes, m_change.upsert.routes, m_change.remove.routes, referencesUpstream);
    }

    const Configuration &m_configuration;
    const ConfigurationChange &m_change;
    ItemsAfterChange<Team> m_teams;
    ItemsAfterChange<Model> m_models;
    ItemsAfterChange<Upstream> m_upstreams;
    ConfigurationFaults m_faults;
};

} // namespace internal

ConfigurationFaults validateChange(const Configuration &configuration, const ConfigurationChange &change, std::string_view upsertPath)
{
    return internal::Validator(configuration, change).run(upsertPath);
}

} // namespace guavafield
