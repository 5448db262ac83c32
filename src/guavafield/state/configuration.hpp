// The configuration in force on a host: one immutable value per revision.
#pragma once

#include <guavafield/state/home_regions.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief A request class of a contract. */
struct RequestClass
{
    std::string name;
    // Never above the tier of the contract, i.e. never a smaller number.
    Tier tier{tierCount - 1};
    // Both targets are positive and the first never exceeds the second.
    Milliseconds firstTokenTarget{};
    Milliseconds totalTarget{};

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/*! @brief What a team was promised. */
struct Contract
{
    Tier tier{tierCount - 1};
    // Weight among the teams; positive.
    double share{1.0};
    // Never empty; the first is the default class. Names are unique.
    std::vector<RequestClass> classes;
    // Refuse the team's requests when the configuration has not been confirmed lately.
    bool strictWithdrawal{false};

    friend bool operator==(const Contract &, const Contract &) = default;
};

/*! @brief A customer. */
struct Team
{
    TeamId id;
    std::string name;
    Contract contract;
    // Goes before the rank of a route; 0 is the highest.
    std::uint32_t rank{0};
    // Restricts all requests of the team.
    HomeRegions allowedRegions{};

    friend bool operator==(const Team &, const Team &) = default;
};

/*! @brief An API key; only its digest is kept. */
struct ApiKey
{
    KeyId id;
    // Names an existing team.
    TeamId team;
    Digest digest{};
    bool withdrawn{false};

    friend bool operator==(const ApiKey &, const ApiKey &) = default;
};

/*! @brief A model that engines serve. */
struct Model
{
    ModelId id;
    std::string version;
    // Relative cost of one output token and one prompt token; positive.
    double outputCost{1.0};
    double promptCost{0.1};

    friend bool operator==(const Model &, const Model &) = default;
};

/*! @brief Requests on this route run on model engines; the body names the model. */
struct ModelTarget
{
    friend bool operator==(const ModelTarget &, const ModelTarget &) = default;
};

/*! @brief Requests on this route go to a plain service. */
struct ServiceTarget
{
    // Upstreams of kind service, tried in the order of their load.
    std::vector<UpstreamId> upstreams;
    // A call that may not be repeated needs an idempotency key and runs at most once.
    bool repeatable{true};

    friend bool operator==(const ServiceTarget &, const ServiceTarget &) = default;
};

/*! @brief What may be done with a request that an upstream may have begun to run. */
enum class Repeat : std::uint8_t {
    // It runs at most once.
    Never,
    // It is idempotent.
    Always,
    // Its stream can be continued by another upstream after any event.
    Resume,
};

/*! @brief A pool's part of a route's requests. */
struct PoolShare
{
    PoolId pool;
    // Relative to the other pools of the route; not negative.
    double weight{1.0};

    friend bool operator==(const PoolShare &, const PoolShare &) = default;
};

/*! @brief Requests on this route are passed on unchanged to an upstream of a pool. */
struct PoolTarget
{
    // Never empty.
    std::vector<PoolShare> pools;
    Repeat repeat{Repeat::Never};
    bool stream{false};
    // Upstreams that one request may run on; positive.
    std::uint32_t maxAttempts{1};
    // Time to the first byte, or to the first event of a stream.
    Milliseconds target{1'000};
    // Longest pause between the events of a stream that is in time.
    Milliseconds gapTarget{0};
    // 0 is the highest.
    std::uint32_t rank{0};

    friend bool operator==(const PoolTarget &, const PoolTarget &) = default;
};

/*! @brief Maps a path prefix to engines or to a plain service. */
struct Route
{
    RouteId id;
    std::string prefix;
    std::variant<ModelTarget, ServiceTarget, PoolTarget> target;
    // Open to all: no key is needed. The request runs for openTeam.
    bool open{false};
    TeamId openTeam;
    Milliseconds timeout{60'000};
    // Host name of the requests; empty: any.
    std::string host{};
    // Restricts the requests on this route.
    HomeRegions allowedRegions{};

    friend bool operator==(const Route &, const Route &) = default;
};

enum class UpstreamKind : std::uint8_t {
    Durable,
    // Can be reclaimed with its whole zone at a few seconds' notice.
    Cheap,
};

/*! @brief Returns the kind as records, configurations and logs write it. */
[[nodiscard]] constexpr std::string_view describe(UpstreamKind kind) noexcept
{
    return kind == UpstreamKind::Cheap ? "cheap" : "durable";
}

/*! @brief A model engine or a plain service. */
struct Upstream
{
    UpstreamId id;
    std::string address;
    std::uint16_t port{0};
    DataCentreId dataCentre;
    // Unit of loss within a data centre for cheap upstreams.
    std::string zone;
    UpstreamKind kind{UpstreamKind::Durable};
    // Requests that run at once without queueing inside the upstream; positive.
    std::uint32_t slots{8};
    double costPerHour{1.0};
    // Empty for a plain service.
    std::vector<ModelId> models;
    bool checksFence{false};
    bool leaving{false};
    // The pool it belongs to; empty for upstreams that models or services name.
    PoolId pool{};
    // Changes when its process restarts; 0 if it is not known.
    Incarnation incarnation{0};
    // Empty if its entry names none.
    SoftwareVersion softwareVersion{};
    // When a leaving upstream ends, if that is known.
    std::optional<SteadyTime> leavesAt{};
    // Its caches are cold until then, as its entry says.
    std::optional<SteadyTime> coldUntil{};

    friend bool operator==(const Upstream &, const Upstream &) = default;
};

/*! @brief What is known of the engines of a pool. */
struct EngineFacts
{
    // Tokens of the prefix cache and of running requests together.
    std::uint64_t cacheTokens{0};
    // KV cache of one token.
    std::uint64_t bytesPerToken{0};
    // Link over which engines copy KV cache.
    double linkMegabitsPerSecond{0};
    // Tokens in one event of a stream; 0 if unknown.
    std::uint32_t tokensPerEvent{0};

    friend bool operator==(const EngineFacts &, const EngineFacts &) = default;
};

/*! @brief Bounds and prices of a pool whose upstreams can be ordered. */
struct ScalingLimits
{
    // Of each data centre, durable and cheap upstreams together.
    std::uint32_t least{1};
    std::uint32_t most{1};
    Milliseconds bootTime{0};
    // Price of a cheap upstream relative to a durable one.
    double cheapPrice{1.0};
    // Relative price of a second of a durable upstream by data centre.
    StringMap<double> prices;

    friend bool operator==(const ScalingLimits &, const ScalingLimits &) = default;
};

/*! @brief Interchangeable upstreams. */
struct UpstreamPool
{
    PoolId id;
    // Connections that one upstream accepts from all hosts together.
    std::uint32_t maxConnections{0};
    // Empty for plain services.
    std::optional<EngineFacts> engine;
    // Empty if the number of upstreams is fixed.
    std::optional<ScalingLimits> scaling;
    // How long an upstream is cold after its start.
    Milliseconds coldStart{0};
    // Requests a second that a cold upstream takes from all hosts together; 0 if there is no such limit.
    double coldPerSecond{0};

    friend bool operator==(const UpstreamPool &, const UpstreamPool &) = default;
};

/*! @brief Bounds on what callers send, where operators set them. */
struct CallerLimits
{
    std::uint32_t headerBytes{0};
    std::uint64_t bodyBytes{0};
    // For the header to arrive, from its first byte.
    Milliseconds headerTime{0};
    // Between two requests on one connection.
    Milliseconds idleTime{0};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/*! @brief All that operators set. Every reference between items names an existing item. */
struct Configuration
{
    Revision revision{0};
    StringMap<Team> teams;
    StringMap<ApiKey> keys;
    StringMap<Model> models;
    StringMap<Route> routes;
    StringMap<Upstream> upstreams;
    // Version of the platform's table that listed the upstreams; 0 where no table lists them.
    std::uint64_t upstreamsVersion{0};
    StringMap<UpstreamPool> pools;
    // Data centres whose upstreams get no new requests.
    std::set<DataCentreId, std::less<>> evacuated;
    // Go before the limits of the settings.
    std::optional<CallerLimits> callerLimits;
    // Distinct pairs of a team's and a route's rank that are in use, most urgent first.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> ranks;
    // Requests need a key unless their route is open.
    bool keysRequired{true};
};

} // namespace guavafield
