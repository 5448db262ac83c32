// How hosts find out which process is at the other end of a connection to an upstream.
#pragma once

#include <guavafield/state/types.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

/*!
 * @brief A question that a process answers for itself; each platform brings its own.
 *
 * The list of upstreams names the process that an upstream had when its entry was written. Another one may have taken its address since.
 */
struct ProcessQuestion
{
    // Of a GET request that upstreams answer at once; empty if they can't be asked.
    std::string target;
    // Returns what the answer's body names; empty if that is no incarnation.
    std::function<std::optional<Incarnation>(std::string_view)> readIncarnation;
    // Header of answers to other requests; the answer to the question has none.
    std::string requestIdHeader;
};

} // namespace guavafield
