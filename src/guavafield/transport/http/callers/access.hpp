// Who asks for what: path to route, key to team, class of the contract.
#pragma once

#include <guavafield/protocol/chat/chat_request.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/transport/http/forwarding/forward_dialect.hpp>

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace guavafield {

struct PathContext;

/*! @brief The list of models. */
struct ModelList
{
};
/*! @brief A request that runs on an engine. */
struct ModelCall
{
    ModelEndpoint endpoint{ModelEndpoint::Chat};
};
/*! @brief A call of a plain service. */
struct ServiceCall
{
    ServiceTarget target;
};

/*! @brief A request that is passed on unchanged to an upstream of a pool. */
struct ForwardCall
{
    RouteId route;
    PoolTarget target;
    PoolId pool;
    ForwardEnvelope envelope;
    std::uint8_t enginePriority{0};
    // Of the route and the team together.
    HomeRegions homes{};
};

using RequestTarget = std::variant<ModelList, ModelCall, ServiceCall, ForwardCall>;

/*! @brief A request whose caller has been identified. */
struct AccessGrant
{
    std::shared_ptr<const Configuration> configuration;
    RequestTarget target;
    // Points into the configuration.
    const Team *team{nullptr};
    const RequestClass *requestClass{nullptr};
    // Empty on an open route.
    KeyId key;
    // Time for the whole answer; zero if the route sets none.
    Milliseconds timeout{0};
};

/*! @brief Finds the route of a path, the team of the key and the class; no side effects but those of reading. */
[[nodiscard]] Result<AccessGrant> grantAccess(const PathContext &context, const boost::beast::http::request_header<> &header);

/*! @brief Does the same for requests that are passed on unchanged; without a team on routes that are open to all. */
[[nodiscard]] Result<AccessGrant> grantForward(const PathContext &context, const boost::beast::http::request_header<> &header);

/*! @brief Returns why the header leaves the request's end or its sender's identity open; empty if it does not (RFC 9110 and 9112). */
[[nodiscard]] std::string_view framingFault(const boost::beast::http::request_header<> &header);

/*! @brief Returns the path of a request target without its query. */
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

} // namespace guavafield
