// Checks of a request that is passed on unchanged: framing, route, key and pool.
#include <guavafield/transport/http/callers/access.hpp>

#include <guavafield/transport/http/forwarding/relay_headers.hpp>
#include <guavafield/transport/http/path_context.hpp>

#include <boost/beast/core/string.hpp>

#include <xxhash.h>

#include <algorithm>

namespace guavafield {

namespace internal {

namespace http = boost::beast::http;

// A request is refused as unknown only by a host whose configuration was confirmed within this time.
constexpr Milliseconds certainFor{1'500};
constexpr std::size_t enginePriorities = 10;

std::string_view hostName(const http::fields &fields)
{
    const std::string_view value = fields[http::field::host];
    return value.substr(0, value.find(':'));
}

const Route *findRoute(const Configuration &configuration, std::string_view host, std::string_view path)
{
    const Route *best = nullptr;
    for (const auto &[id, route] : configuration.routes) {
        const bool fits = std::holds_alternative<PoolTarget>(route.target) && path.starts_with(route.prefix)
            && (route.host.empty() || boost::beast::iequals(route.host, host));
        if (fits && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

// Distributes requests over the pools by their weights; the same request, and what resumes it, goes to the same pool.
const PoolId *choosePool(const PoolTarget &target, std::string_view requestId)
{
    double total = 0;
    for (const auto &it : target.pools) {
        total += it.weight;
    }
    const double random = static_cast<double>(XXH3_64bits(requestId.data(), requestId.size()) >> 11U) * 0x1.0p-53;
    double left = random * total;
    const PoolId *last = nullptr;
    for (const auto &it : target.pools) {
        if (it.weight <= 0) {
            continue;
        }
        last = &it.pool;
        left -= it.weight;
        if (left < 0) {
            break;
        }
    }
    return last;
}

std::uint8_t enginePriority(const Configuration &configuration, std::uint32_t teamRank, std::uint32_t routeRank)
{
    const auto it = std::ranges::lower_bound(configuration.ranks, std::pair{teamRank, routeRank});
    const auto index = static_cast<std::size_t>(it - configuration.ranks.begin());
    const auto levels = configuration.ranks.size();
    const auto scaled = levels <= enginePriorities ? index : index * enginePriorities / levels;
    return static_cast<std::uint8_t>(std::min(scaled, enginePriorities - 1));
}

const Team *teamOfKey(const PathContext &context, const Configuration &configuration, std::string_view token)
{
    const auto digest = context.hasher.digest(token);
    const auto key = configuration.keys.find(toHex(digest));
    if (key == configuration.keys.end() || key->second.withdrawn || !equalDigests(digest, key->second.digest)) {
        return nullptr;
    }
    const auto team = configuration.teams.find(key->second.team);
    return team == configuration.teams.end() ? nullptr : &team->second;
}

} // namespace internal

std::string_view framingFault(const boost::beast::http::request_header<> &header)
{
    using boost::beast::http::field;
    if (header.version() >= 11 && header.count(field::host) != 1) {
        return "exactly one Host header is required";
    }
    if (header.count(field::host) > 1 || header.count(field::authorization) > 1) {
        return "a header that may occur once is repeated";
    }
    if (header.count(field::transfer_encoding) == 0) {
        return {};
    }
    if (header.version() < 11 || header.count(field::transfer_encoding) > 1 || header.count(field::content_length) > 0
        || !boost::beast::iequals(header[field::transfer_encoding], "chunked")) {
        return "the transfer coding leaves the end of the body open";
    }
    return {};
}

Result<AccessGrant> grantForward(const PathContext &context, const boost::beast::http::request_header<> &header)
{
    AccessGrant grant;
    grant.configuration = context.currentConfiguration();
    const auto &configuration = *grant.configuration;
    if (configuration.revision == 0) {
        return fail(ResultCode::ConfigurationNotReady, {});
    }
    // A request is not handled by an older configuration than that of the host which took it.
    if (relayedRevision(header).value_or(0) > configuration.revision) {
        return fail(ResultCode::ConfigurationUnconfirmed, "the relaying host has a newer configuration");
    }
    ForwardCall call;
    BOOST_LEAF_ASSIGN(call.envelope, context.hooks.forward->readRequest(header));
    const bool certain = !context.age.olderThan(internal::certainFor, context.clock->now());
    const auto *route = internal::findRoute(configuration, internal::hostName(header), pathOf(header.target()));
    if (route == nullptr) {
        return fail(certain ? ResultCode::RouteUnknown : ResultCode::ConfigurationUnconfirmed, {}, std::string(pathOf(header.target())));
    }
    const auto &key = call.envelope.key;
    grant.team = key.empty() ? nullptr : internal::teamOfKey(context, configuration, key);
    if (grant.team == nullptr && configuration.keysRequired && !route->open) {
        const auto code = key.empty() ? ResultCode::KeyMissing : ResultCode::KeyUnknown;
        return fail(certain || key.empty() ? code : ResultCode::ConfigurationUnconfirmed, {}, "Authorization");
    }
    call.route = route->id;
    call.target = std::get<PoolTarget>(route->target);
    call.homes = intersect(route->allowedRegions, grant.team != nullptr ? grant.team->allowedRegions : HomeRegions());
    const auto &first = call.envelope.resumes.empty() ? call.envelope.id : call.envelope.resumes;
    const auto *pool = internal::choosePool(call.target, first);
    if (pool == nullptr) {
        return fail(ResultCode::NoUpstream, "the route has no pool", route->id);
    }
    call.pool = *pool;
    call.enginePriority = internal::enginePriority(configuration, grant.team != nullptr ? grant.team->rank : 0, call.target.rank);
    grant.timeout = route->timeout;
    grant.target = std::move(call);
    return grant;
}

} // namespace guavafield
