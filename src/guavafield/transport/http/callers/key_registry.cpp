// Registration and closing of requests by key.
#include <guavafield/transport/http/callers/key_registry.hpp>

namespace guavafield {

bool KeyRegistry::inForce(const Configuration &configuration, std::string_view key)
{
    const auto it = configuration.keys.find(key);
    return it != configuration.keys.end() && !it->second.withdrawn;
}

bool KeyRegistry::add(std::string_view key, const std::shared_ptr<Mailbox> &mailbox)
{
    const std::scoped_lock lock(m_mutex);
    if (m_closed.contains(key)) {
        return false;
    }
    m_open[std::string(key)].insert(mailbox);
    return true;
}

void KeyRegistry::remove(std::string_view key, const std::shared_ptr<Mailbox> &mailbox)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_open.find(key); it != m_open.end()) {
        it->second.erase(mailbox);
        if (it->second.empty()) {
            m_open.erase(it);
        }
    }
}

void KeyRegistry::close(std::string_view key)
{
    const std::scoped_lock lock(m_mutex);
    m_closed.emplace(key);
    if (const auto it = m_open.find(key); it != m_open.end()) {
        closeRequests(it->second);
    }
}

bool KeyRegistry::closed(std::string_view key) const
{
    const std::scoped_lock lock(m_mutex);
    return m_closed.contains(key);
}

void KeyRegistry::applyConfiguration(const Configuration &configuration)
{
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_closed, [&](const KeyId &key) { return !inForce(configuration, key); });
    for (const auto &[key, mailboxes] : m_open) {
        if (!key.empty() && !inForce(configuration, key)) {
            closeRequests(mailboxes);
        }
    }
}

void KeyRegistry::notifyAll(const RequestEvent &event)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[key, mailboxes] : m_open) {
        for (const auto &it : mailboxes) {
            it->post(event);
        }
    }
}

void KeyRegistry::closeRequests(const Mailboxes &mailboxes) const
{
    for (const auto &it : mailboxes) {
        it->post(KeyClosed{});
    }
}

} // namespace guavafield
