// Accounting of requests and the search for uploads that stand still.
#include <guavafield/transport/http/request_memory.hpp>

namespace guavafield {

std::uint64_t RequestMemory::held() const
{
    const std::scoped_lock lock(m_mutex);
    return m_held;
}

bool RequestMemory::resize(HeldRequest &request, std::uint64_t cost, SteadyTime now)
{
    const auto counted = cost <= uncountedBytes ? 0 : cost;
    const std::scoped_lock lock(m_mutex);
    const auto others = m_held - request.m_counted;
    if (counted > request.m_counted && others > 0 && others + 2 * counted > m_limit) {
        endStalled(now);
        return false;
    }
    m_held = others + counted;
    request.m_counted = counted;
    request.m_progressAt = now;
    if (m_held > m_limit / 2) {
        endStalled(now);
    }
    return true;
}

void RequestMemory::endStalled(SteadyTime now)
{
    for (auto it = m_receiving.begin(); it != m_receiving.end();) {
        auto &request = **it;
        if (request.m_counted > 0 && now - request.m_progressAt >= stallTime) {
            request.m_end();
            it = m_receiving.erase(it);
        } else {
            ++it;
        }
    }
}

HeldRequest::HeldRequest(RequestMemory &memory, std::function<void()> end, SteadyTime now) : m_memory(&memory), m_end(std::move(end)), m_progressAt(now)
{
    const std::scoped_lock lock(m_memory->m_mutex);
    m_memory->m_receiving.insert(this);
}

HeldRequest::~HeldRequest()
{
    const std::scoped_lock lock(m_memory->m_mutex);
    m_memory->m_receiving.erase(this);
    m_memory->m_held -= m_counted;
}

void HeldRequest::onReceived()
{
    const std::scoped_lock lock(m_memory->m_mutex);
    m_memory->m_receiving.erase(this);
}

} // namespace guavafield
