// Which upstreams may run a request at all: those of its home regions and, for a stream that has begun, of the software version that began it.
#pragma once

#include <guavafield/coordination/request/placement/router.hpp>
#include <guavafield/coordination/request/upstream_state.hpp>

namespace guavafield {

/*! @brief Whether the upstream's region and the software version of its process allow it to run the request; each version does if no stream has begun. */
[[nodiscard]] bool mayRunOn(const RequestEntry &entry, const UpstreamState &upstream) noexcept;

/*!
 * @brief Whether a stream may begin at the upstream, so that it can be told which version began it; see allReplaced().
 *
 * Where a version that nobody knows began a stream, another host could take it for that of the pool's other upstreams.
 */
[[nodiscard]] bool mayBeginOn(const RequestEntry &entry, const UpstreamState &upstream, bool allReplaced) noexcept;

/*! @brief Whether no upstream that stays has the process which its entry names, so that nothing could go on there anyway. */
[[nodiscard]] bool allReplaced(const PoolUpstreams &upstreams) noexcept;

/*! @brief Whether an upstream in a home region of the request is listed. */
[[nodiscard]] bool anyAtHome(const RequestEntry &entry, const PoolUpstreams &upstreams) noexcept;

/*! @brief Whether an upstream that may run the request is listed, be it leaving, paused, down or without its process's entry. */
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
