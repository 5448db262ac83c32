// Pipe and lock of the queue.
#include <guavafield/transport/peer/kj_queue.hpp>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace guavafield {

KjQueue::KjQueue()
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    m_readEnd = ends[0];
    m_writeEnd = ends[1];
}

KjQueue::~KjQueue()
{
    ::close(m_readEnd);
    ::close(m_writeEnd);
}

bool KjQueue::post(Task task)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_closed) {
            return false;
        }
        m_tasks.push_back(std::move(task));
    }
    wake();
    return true;
}

void KjQueue::close()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_closed = true;
    }
    wake();
}

std::vector<KjQueue::Task> KjQueue::take()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_tasks, {});
}

bool KjQueue::closed() const
{
    const std::scoped_lock lock(m_mutex);
    return m_closed;
}

void KjQueue::wake() const
{
    // A full pipe means that the loop is going to wake up anyway.
    const char byte = 0;
    [[maybe_unused]] const auto written = ::write(m_writeEnd, &byte, 1);
}

} // namespace guavafield
