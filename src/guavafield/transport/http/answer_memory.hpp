// Bound on the bytes of answers that the host holds until it can pass them on.
#pragma once

#include <atomic>
#include <cstdint>

namespace guavafield {

/*!
 * @brief Counts the bytes of all answers, and of events of streams, that have not arrived completely.
 *
 * An answer may grow to the size that is still free. So a few large ones are not hindered, many at once get less each, and a part always stays free
 * for others. Safe to use from several threads.
 */
class AnswerMemory
{
public:
    explicit AnswerMemory(std::uint64_t limit) noexcept : m_limit(limit) { }

    /*!
     * @brief Reserves bytes; false if less than the size of the answer would stay free.
     * @param size Size of the answer with these bytes.
     */
    [[nodiscard]] bool reserve(std::uint64_t bytes, std::uint64_t size) noexcept
    {
        if (m_held.fetch_add(bytes, std::memory_order_acq_rel) + bytes + size <= m_limit) {
            return true;
        }
        release(bytes);
        return false;
    }

    void release(std::uint64_t bytes) noexcept
    {
        m_held.fetch_sub(bytes, std::memory_order_acq_rel);
    }

    [[nodiscard]] std::uint64_t held() const noexcept
    {
        return m_held.load(std::memory_order_acquire);
    }

private:
    std::uint64_t m_limit;
    std::atomic<std::uint64_t> m_held{0};
};

/*! @brief Bytes reserved for one answer; releases them when it ends. */
class AnswerReservation
{
public:
    /*! @brief Size up to which an answer is not counted, so that small ones are delivered whatever else the host holds. */
    static constexpr std::uint64_t uncountedBytes{16'384};

    /*! @param answerLimit Largest size of this answer. */
    AnswerReservation(AnswerMemory &memory, std::uint64_t answerLimit) noexcept : m_memory(&memory), m_answerLimit(answerLimit) { }
    AnswerReservation(const AnswerReservation &) = delete;
    AnswerReservation &operator=(const AnswerReservation &) = delete;
    ~AnswerReservation()
    {
        m_memory->release(m_bytes);
    }

    /*! @brief Adapts the reservation to the bytes held of the answer; false if these are too many for its limit or for the host. */
    [[nodiscard]] bool resize(std::uint64_t bytes) noexcept
    {
        if (bytes > m_answerLimit) {
            return false;
        }
        const auto counted = bytes <= uncountedBytes ? 0 : bytes;
        if (counted <= m_bytes) {
            m_memory->release(m_bytes - counted);
        } else if (!m_memory->reserve(counted - m_bytes, counted)) {
            return false;
        }
        m_bytes = counted;
        return true;
    }

private:
    AnswerMemory *m_memory;
    std::uint64_t m_answerLimit;
    // Counted in m_memory.
    std::uint64_t m_bytes{0};
};

} // namespace guavafield
