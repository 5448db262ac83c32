// Orders to upstreams and to the platform, their rows, and the shared rate limit of the weight store.
#pragma once

#include <guavafield/coordination/table/table_io.hpp>
#include <guavafield/state/configuration.hpp>
#include <guavafield/state/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace guavafield {

/*! @brief Load or unload a model on an upstream. */
struct ModelOrder
{
    bool load{true};
    UpstreamId upstream;
    ModelId model;
    std::string version;

    friend bool operator==(const ModelOrder &, const ModelOrder &) = default;
};

/*! @brief Change an upstream's role. */
struct RoleOrder
{
    UpstreamId upstream;
    std::string role;

    friend bool operator==(const RoleOrder &, const RoleOrder &) = default;
};

/*! @brief Start or return upstreams of one kind. */
struct FleetOrder
{
    bool start{true};
    UpstreamKind kind{UpstreamKind::Durable};
    std::uint32_t count{0};

    friend bool operator==(const FleetOrder &, const FleetOrder &) = default;
};

using OrderKind = std::variant<ModelOrder, RoleOrder, FleetOrder>;

/*! @brief Order as planned, without id and fencing token. */
struct Order
{
    OrderKind kind;
    // The receiver rejects orders with an older fencing token.
    bool checksFence{false};
};

enum class OrderState : std::uint8_t {
    // Recorded; may have been sent already.
    Issued,
    Done,
    // Known not to have been carried out.
    Failed,
};

/*! @brief Value of the row order/<data centre>/<id>. */
struct OrderRecord
{
    std::string id;
    Order order;
    Fence fence{0};
    OrderState state{OrderState::Issued};
};

/*! @brief Value of the row order-head/<data centre>; every write of an order row is conditional on its version. */
struct OrderHead
{
    Fence fence{0};
    std::string id;
};

/*! @brief Value of the row weights/bucket, a token bucket that all hosts share. */
struct WeightBucket
{
    double tokens{0};
    // Wall clock time of the platform.
    WallTime updated{};
    std::string id;
};

/*! @brief Rate limit of model loads from the weight store. */
struct WeightLimit
{
    double loadsPerSecond{1};
    double burst{4};
};

/*!
 * @brief Takes one token from the bucket.
 * @param bucket As read; empty if the row is absent, which stands for a full bucket.
 * @return The bucket to write, or nothing if no token is left.
 */
[[nodiscard]] std::optional<WeightBucket> takeWeightToken(const std::optional<WeightBucket> &bucket, const WeightLimit &limit, WallTime now);

/*! @brief Codecs of the rows that orders use. */
struct OrderCodec
{
    RecordCodec<OrderRecord> order;
    RecordCodec<OrderHead> head;
    RecordCodec<WeightBucket> bucket;
};

} // namespace guavafield
