// Open requests by key, and keys that were withdrawn ahead of the configuration.
#pragma once

#include <guavafield/state/configuration.hpp>
#include <guavafield/transport/http/mailbox.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <set>
#include <string_view>

namespace guavafield {

/*! @brief Tells open requests that their key was withdrawn. Safe to use from several threads. */
class KeyRegistry
{
public:
    /*!
     * @brief Registers an open request.
     * @return False if the key has been withdrawn; the request is not registered then.
     */
    [[nodiscard]] bool add(std::string_view key, const std::shared_ptr<Mailbox> &mailbox);
    void remove(std::string_view key, const std::shared_ptr<Mailbox> &mailbox);

    /*! @brief Withdraws a key ahead of the configuration and closes its requests. */
    void close(std::string_view key);
    [[nodiscard]] bool closed(std::string_view key) const;

    /*! @brief Closes the requests of all keys that the configuration lacks or has withdrawn, and forgets withdrawals that it contains. */
    void applyConfiguration(const Configuration &configuration);
    /*! @brief Returns whether a configuration has a key that is not withdrawn. */
    [[nodiscard]] static bool inForce(const Configuration &configuration, std::string_view key);
    /*! @brief Sends an event to all open requests. */
    void notifyAll(const RequestEvent &event);

private:
    using Mailboxes = std::set<std::shared_ptr<Mailbox>>;

    void closeRequests(const Mailboxes &mailboxes) const;

    mutable std::mutex m_mutex;
    // Both guarded by m_mutex. Requests without a key are under the empty one.
    StringMap<Mailboxes> m_open;
    std::set<KeyId, std::less<>> m_closed;
};

} // namespace guavafield
