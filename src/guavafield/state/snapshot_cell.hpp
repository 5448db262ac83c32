// Read-copy-update cell: one writer replaces an immutable value, many readers read it without a lock.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace guavafield {

/*!
 * @brief Holds an immutable value that is replaced as a whole.
 *
 * Each reading thread owns a Reader. A read costs one acquire load while the value is unchanged; std::atomic<std::shared_ptr>
 * is not lock-free with this library and bounces the reference count between cores on every read.
 */
template <typename Type>
class SnapshotCell
{
public:
    using Pointer = std::shared_ptr<const Type>;

    /*! @brief A thread's cached reference to the value. Not shared between threads. */
    class Reader
    {
    public:
        explicit Reader(const SnapshotCell &cell) : m_cell(&cell) { }

        /*! @brief Returns the current value; the reference stays valid until the next call on this reader. */
        [[nodiscard]] const Pointer &get()
        {
            const auto version = m_cell->m_version.load(std::memory_order_acquire);
            if (version != m_version) {
                m_value = m_cell->load();
                m_version = version;
            }
            return m_value;
        }

    private:
        const SnapshotCell *m_cell;
        Pointer m_value;
        // Version that m_value is at least as new as.
        std::uint64_t m_version{0};
    };

    explicit SnapshotCell(Pointer value = std::make_shared<const Type>()) : m_value(std::move(value)) { }

    /*! @brief Returns the current value; takes a lock, for use off the request path. */
    [[nodiscard]] Pointer load() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_value;
    }

    /*!
     * @brief Replaces the value.
     * @param value Never null.
     */
    void store(Pointer value)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_value.swap(value);
            m_version.fetch_add(1, std::memory_order_release);
        }
    }

private:
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    Pointer m_value;
    // Changes with each store, after m_value. Starts above a new reader's version.
    std::atomic<std::uint64_t> m_version{1};
};

} // namespace guavafield
