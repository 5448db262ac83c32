// Bound on the bytes that the host holds of requests, and the end of uploads that stand still while it is short of them.
#pragma once

#include <guavafield/state/types.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>

namespace guavafield {

class HeldRequest;

/*!
 * @brief Counts the bytes of all requests that are received or run, at what they cost in memory.
 *
 * A request may grow to the size that is still free, so that a few large ones are not hindered, many at once get less each, and a part always stays
 * free for others. A request that is alone may have any size. While more than half is used, uploads that stand still are ended. Safe to use from
 * several threads.
 */
class RequestMemory
{
public:
    /*! @brief While memory is short, an upload of which nothing arrives for this long is ended. */
    static constexpr Milliseconds stallTime{1'000};
    /*! @brief Cost up to which a request is not counted, so that small ones are served whatever else the host holds. */
    static constexpr std::uint64_t uncountedBytes{8'192};

    explicit RequestMemory(std::uint64_t limit) noexcept : m_limit(limit) { }

    [[nodiscard]] std::uint64_t held() const;
    [[nodiscard]] std::uint64_t limit() const noexcept
    {
        return m_limit;
    }

private:
    friend class HeldRequest;

    // Changes the cost of a request; false, and without effect, if there is no room.
    [[nodiscard]] bool resize(HeldRequest &request, std::uint64_t cost, SteadyTime now);
    void endStalled(SteadyTime now);

    std::uint64_t m_limit;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::uint64_t m_held{0};
    std::set<HeldRequest *> m_receiving;
};

/*! @brief The bytes of one request, from the end of its header to its end. */
class HeldRequest
{
public:
    /*! @param end Ends the upload; called from any thread, at most once, while the memory is locked. */
    HeldRequest(RequestMemory &memory, std::function<void()> end, SteadyTime now);
    HeldRequest(const HeldRequest &) = delete;
    HeldRequest &operator=(const HeldRequest &) = delete;
    ~HeldRequest();

    /*! @brief Notes what the request costs after more of it has arrived; false if that is too much for the host. */
    [[nodiscard]] bool resize(std::uint64_t cost, SteadyTime now)
    {
        return m_memory->resize(*this, cost, now);
    }
    /*! @brief The request has arrived, so that it is not ended any more. */
    void onReceived();

private:
    friend class RequestMemory;

    RequestMemory *m_memory;
    std::function<void()> m_end;
    // Guarded by the memory's mutex.
    std::uint64_t m_counted{0};
    SteadyTime m_progressAt;
};

} // namespace guavafield
