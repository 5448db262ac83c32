// Points at which other parts of the daemon join the request path.
#pragma once

#include <guavafield/coordination/streams/stream_origin.hpp>
#include <guavafield/state/result.hpp>
#include <guavafield/state/types.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief What a request used, told once when it is over; not told for requests of which the caller received nothing. */
struct RequestUsage
{
    TeamId team;
    std::string className;
    ModelId model;
    std::uint32_t promptTokens{0};
    // Delivered to the caller.
    std::uint32_t outputTokens{0};
};

/*! @brief Takes the usage of a request; called from any I/O thread. */
using UsageSink = std::function<void(const RequestUsage &)>;

/*! @brief A whole answer of a plain service. */
struct ServiceAnswer
{
    unsigned status{200};
    // Without the headers that belong to one connection.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
/*! @brief No whole answer. */
struct ServiceFailure
{
    ResultCode code{ResultCode::UpstreamFailed};
    // Certain only if nothing was sent to an upstream.
    bool notRun{false};
};

using ServiceOutcome = std::variant<ServiceAnswer, ServiceFailure>;

/*! @brief A call that may not be repeated. */
struct OnceServiceCall
{
    TeamId team;
    std::string idempotencyKey;
    Digest bodyDigest{};
    RequestId requestId;
    // Sends the call; to be awaited at most once, and only after the call's record was stored.
    std::function<boost::asio::awaitable<ServiceOutcome>()> run;
};

/*! @brief Returns the answer to send: of this run, of an earlier one, or the refusal. */
using OnceGate = std::function<boost::asio::awaitable<ServiceOutcome>(OnceServiceCall)>;

/*! @brief An upstream began to run a team's request; called from any I/O thread. */
using StartedSink = std::function<void(const TeamId &)>;

/*! @brief The first event of a stream that its caller may take up later. */
struct StreamBeginning
{
    // As the caller knows the attempt.
    RequestId attempt;
    StreamOrigin origin;
    UpstreamId upstream;
    // As its entry named it at the dispatch.
    Incarnation incarnation{0};
    Milliseconds sinceDispatch{0};
    // The route leads to several pools.
    bool split{false};
    // The process has named itself as this incarnation on the stream's own connection.
    bool identified{false};
    // Another process than that of the entry may have brought the event.
    bool certain{true};
};

/*! @brief A caller takes up a stream that broke. */
struct StreamTakeUp
{
    RequestId attempt;
    // The caller's attempt that brought the first event; empty if the caller names none.
    RequestId resumes;
    // The one to which the route leads now.
    PoolId pool;
    // The route leads to several pools.
    bool split{false};
    Milliseconds timeLeft{0};
};

/*! @brief Where streams began; called from any I/O thread. */
struct StreamOriginHooks
{
    std::function<void(StreamBeginning)> began;
    // Empty if it is not known for certain.
    std::function<boost::asio::awaitable<std::optional<StreamOrigin>>(StreamTakeUp)> find;
};

struct ForwardDialect;

/*! @brief Hooks of the request path; empty ones are allowed. */
struct PathHooks
{
    // If set, all requests are passed on unchanged, in this form.
    std::shared_ptr<const ForwardDialect> forward;
    StartedSink started;
    UsageSink usage;
    // Without a gate, calls that may not be repeated are refused with OnceStoreUnavailable.
    OnceGate once;
    // Without them, streams are taken up at any upstream.
    StreamOriginHooks streams;
};

} // namespace guavafield
