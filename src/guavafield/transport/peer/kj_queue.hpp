// Hands tasks from any thread to the thread that runs kj's event loop.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace guavafield {

/*! @brief Queue of tasks with a pipe that wakes the loop. */
class KjQueue
{
public:
    using Task = std::function<void()>;

    KjQueue();
    ~KjQueue();
    KjQueue(const KjQueue &) = delete;
    KjQueue &operator=(const KjQueue &) = delete;

    /*! @brief Adds a task; false if the queue was closed, and then the task is not run. */
    bool post(Task task);
    /*! @brief Refuses tasks from now on and wakes the loop. */
    void close();
    /*! @brief Takes all tasks. */
    [[nodiscard]] std::vector<Task> take();
    [[nodiscard]] bool closed() const;
    /*! @brief Returns the end of the pipe that becomes readable when there is work. */
    [[nodiscard]] int wakeupFd() const noexcept
    {
        return m_readEnd;
    }

private:
    void wake() const;

    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::vector<Task> m_tasks;
    // Guarded by m_mutex.
    bool m_closed{false};
    int m_readEnd{-1};
    int m_writeEnd{-1};
};

} // namespace guavafield
