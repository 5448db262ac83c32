// Reads engines' load and cache events and feeds them to the scheduler.
#pragma once

#include <guavafield/state/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace guavafield {

struct PathContext;
struct Configuration;
struct Upstream;

/*! @brief One polling loop for each engine of the host's data centre. Safe to use from several threads. */
class LoadPoller : public std::enable_shared_from_this<LoadPoller>
{
public:
    explicit LoadPoller(std::shared_ptr<PathContext> context);

    /*! @brief Starts loops for new engines; those of removed ones end by themselves. */
    void applyConfiguration(const Configuration &configuration);
    void stop();

private:
    [[nodiscard]] boost::asio::awaitable<void> poll(UpstreamId id, boost::asio::any_io_executor strand);
    [[nodiscard]] boost::asio::awaitable<void> readLoad(const Upstream &upstream, boost::asio::any_io_executor strand);
    [[nodiscard]] boost::asio::awaitable<void> readCacheEvents(const Upstream &upstream, boost::asio::any_io_executor strand, std::uint64_t &after);
    // Whether the loop goes on.
    [[nodiscard]] bool wanted(const UpstreamId &id);

    std::shared_ptr<PathContext> m_context;
    std::mutex m_mutex;
    // Both guarded by m_mutex.
    std::set<UpstreamId> m_polled;
    bool m_stopped{false};
};

} // namespace guavafield
