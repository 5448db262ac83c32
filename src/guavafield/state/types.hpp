// Identifiers and time types that every layer shares.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace guavafield {

using TeamId = std::string;
using KeyId = std::string;
using RouteId = std::string;
using ModelId = std::string;
/*! @brief Names a set of interchangeable upstreams that routes send requests to. */
using PoolId = std::string;
using UpstreamId = std::string;
using HostId = std::string;
using DataCentreId = std::string;
/*! @brief Names a group of data centres. */
using RegionId = std::string;
using RequestId = std::string;
/*! @brief Version of the software that an upstream's process runs; versions have no order. Not that of a model's weights. */
using SoftwareVersion = std::string;

/*! @brief Service tier; 0 is the highest of four. */
using Tier = std::uint8_t;
inline constexpr Tier tierCount = 4;

/*! @brief Configuration revision; rises by one with each accepted change, 0 means none. */
using Revision = std::uint64_t;
/*! @brief Fencing token of a lease; rises with each take-over. */
using Fence = std::uint64_t;
/*! @brief Distinguishes the lives of one host id; a restarted host has a higher one. */
using Incarnation = std::uint64_t;

using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/*! @brief HMAC-SHA-256 digest. */
using Digest = std::array<std::uint8_t, 32>;

/*! @brief Ordered map with lookup by view. */
template <typename Value>
using StringMap = std::map<std::string, Value, std::less<>>;

} // namespace guavafield
