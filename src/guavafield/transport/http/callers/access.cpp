// Checks of a request's header against the configuration.
#include <guavafield/transport/http/callers/access.hpp>

#include <guavafield/transport/http/headers.hpp>
#include <guavafield/transport/http/path_context.hpp>

#include <algorithm>

namespace guavafield {

namespace internal {

namespace http = boost::beast::http;

// "/v1" matches "/v1" and "/v1/x" but not "/v10".
bool hasPrefix(std::string_view path, std::string_view prefix) noexcept
{
    return path.starts_with(prefix) && (prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/');
}

const Route *longestRoute(const Configuration &configuration, std::string_view path, bool forModels)
{
    const Route *best = nullptr;
    for (const auto &[id, route] : configuration.routes) {
        const bool fits = std::holds_alternative<ModelTarget>(route.target) == forModels && hasPrefix(path, route.prefix);
        if (fits && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

struct ResolvedRoute
{
    RequestTarget target;
    // Null for the paths of models where no route sets anything for them.
    const Route *route{nullptr};
};

Result<ResolvedRoute> resolve(const Configuration &configuration, std::string_view path, http::verb method)
{
    ResolvedRoute resolved;
    const bool isChat = path == pathOf(ModelEndpoint::Chat);
    const bool isList = path == "/v1/models";
    if (!isChat && !isList && path != pathOf(ModelEndpoint::Completion)) {
        resolved.route = longestRoute(configuration, path, false);
        if (resolved.route == nullptr) {
            return fail(ResultCode::RouteUnknown, {}, std::string(path));
        }
        resolved.target = ServiceCall{std::get<ServiceTarget>(resolved.route->target)};
        return resolved;
    }
    if (method != (isList ? http::verb::get : http::verb::post)) {
        return fail(ResultCode::MethodNotAllowed, {}, std::string(path));
    }
    resolved.route = longestRoute(configuration, path, true);
    resolved.target = isList ? RequestTarget{ModelList{}} : RequestTarget{ModelCall{isChat ? ModelEndpoint::Chat : ModelEndpoint::Completion}};
    return resolved;
}

Result<const ApiKey *> checkKey(const PathContext &context, const Configuration &configuration, std::string_view token)
{
    if (token.empty()) {
        return fail(ResultCode::KeyMissing, {}, "Authorization");
    }
    const auto presented = parsePresentedKey(token);
    const auto it = presented ? configuration.keys.find(presented->id) : configuration.keys.end();
    // The digest is computed for unknown keys too, so that the time of the answer does not tell which ids exist.
    const bool known = context.hasher.matches(token, it == configuration.keys.end() ? Digest{} : it->second.digest);
    if (!known || it == configuration.keys.end()) {
        return fail(ResultCode::KeyUnknown, {}, "Authorization");
    }
    if (it->second.withdrawn || context.keys.closed(it->first)) {
        return fail(ResultCode::KeyWithdrawn, {}, "Authorization");
    }
    return &it->second;
}

Result<const RequestClass *> findClass(const Contract &contract, std::string_view name)
{
    const auto it = name.empty() ? contract.classes.begin() : std::ranges::find(contract.classes, name, &RequestClass::name);
    if (it == contract.classes.end()) {
        return fail(ResultCode::ClassUnknown, std::string(name), "X-Guavafield-Class");
    }
    return &*it;
}

} // namespace internal

Result<AccessGrant> grantAccess(const PathContext &context, const boost::beast::http::request_header<> &header)
{
    AccessGrant grant;
    grant.configuration = context.currentConfiguration();
    const auto &configuration = *grant.configuration;
    if (configuration.revision == 0) {
        return fail(ResultCode::ConfigurationNotReady, {});
    }
    BOOST_LEAF_AUTO(resolved, internal::resolve(configuration, pathOf(header.target()), header.method()));
    grant.target = std::move(resolved.target);
    std::string_view teamId;
    if (resolved.route != nullptr) {
        grant.timeout = resolved.route->timeout;
    }
    if (resolved.route != nullptr && resolved.route->open) {
        teamId = resolved.route->openTeam;
    } else {
        BOOST_LEAF_AUTO(key, internal::checkKey(context, configuration, bearerToken(header)));
        grant.key = key->id;
        teamId = key->team;
    }
    const auto team = configuration.teams.find(teamId);
    if (team == configuration.teams.end()) {
        return fail(ResultCode::KeyUnknown, "the team of the key does not exist", std::string(teamId));
    }
    grant.team = &team->second;
    if (grant.team->contract.strictWithdrawal && context.age.tooOld(context.clock->now())) {
        return fail(ResultCode::ConfigurationTooOld, {});
    }
    BOOST_LEAF_ASSIGN(grant.requestClass, internal::findClass(grant.team->contract, header["X-Guavafield-Class"]));
    return grant;
}

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

} // namespace guavafield
