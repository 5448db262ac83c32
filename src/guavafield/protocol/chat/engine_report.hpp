// Engines' reports of their load and of changes of their prefix caches.
#pragma once

#include <guavafield/coordination/request/request_info.hpp>
#include <guavafield/state/result.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Reads the answer of GET /control/load; UpstreamFailed if it is malformed. */
[[nodiscard]] Result<LoadReport> parseLoadReport(std::string_view text);

/*! @brief Cache events and the number after which to ask next. */
struct CacheEventPage
{
    std::vector<CacheEvent> events;
    std::uint64_t next{0};
};

/*! @brief Reads the answer of GET /control/cache-events; UpstreamFailed if it is malformed. */
[[nodiscard]] Result<CacheEventPage> parseCacheEvents(std::string_view text);

} // namespace guavafield
