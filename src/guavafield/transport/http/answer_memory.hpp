// Bound on the bytes of answers that the host holds until they are complete.
#pragma once

#include <atomic>
#include <cstdint>

namespace guavafield {

/*! @brief Counts the bytes of all answers that are being collected. Safe to use from several threads. */
class AnswerMemory
{
public:
    explicit AnswerMemory(std::uint64_t limit) noexcept : m_limit(limit) { }

    /*! @brief Reserves bytes; false if the answers held by this host would exceed the limit. */
    [[nodiscard]] bool reserve(std::uint64_t bytes) noexcept
    {
        if (m_held.fetch_add(bytes, std::memory_order_acq_rel) + bytes <= m_limit) {
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
    /*! @param answerLimit Largest size of this answer. */
    AnswerReservation(AnswerMemory &memory, std::uint64_t answerLimit) noexcept : m_memory(&memory), m_answerLimit(answerLimit) { }
    AnswerReservation(const AnswerReservation &) = delete;
    AnswerReservation &operator=(const AnswerReservation &) = delete;
    ~AnswerReservation()
    {
        m_memory->release(m_bytes);
    }

    /*! @brief Grows the reservation to the size of the answer; false if the answer is too large for its limit or for the host. */
    [[nodiscard]] bool growTo(std::uint64_t bytes) noexcept
    {
        if (bytes <= m_bytes) {
            return true;
        }
        if (bytes > m_answerLimit || !m_memory->reserve(bytes - m_bytes)) {
            return false;
        }
        m_bytes = bytes;
        return true;
    }

private:
    AnswerMemory *m_memory;
    std::uint64_t m_answerLimit;
    std::uint64_t m_bytes{0};
};

} // namespace guavafield
