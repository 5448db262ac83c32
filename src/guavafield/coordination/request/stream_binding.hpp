// Which upstreams may go on with a stream that has begun. What two software versions write does not fit together.
#pragma once

#include <guavafield/coordination/request/router.hpp>
#include <guavafield/coordination/request/upstream_state.hpp>

namespace guavafield {

/*! @brief Whether the upstream's software version allows it to run the request; each does if no stream has begun. */
[[nodiscard]] bool mayRunOn(const RequestEntry &entry, const UpstreamState &upstream) noexcept;

/*! @brief Whether an upstream that may run the request is listed, be it leaving, paused or down. */
[[nodiscard]] bool anyMayRun(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept;

/*! @brief Whether an upstream takes the request now or may do so after a pause, a limit or a failure. */
[[nodiscard]] bool worthWaiting(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept;

/*! @brief Whether an upstream that has not run the request takes it now. */
[[nodiscard]] bool anotherTakesNow(const RequestEntry &entry, const PoolUpstreams &upstreams, SteadyTime now) noexcept;

/*!
 * @brief Notes which software version writes the events of a resumable stream; to be called as they arrive.
 * @returns Whether the events may follow those that the caller has.
 */
[[nodiscard]] bool noteWriter(RequestEntry &entry, const Attempt &attempt);

} // namespace guavafield
