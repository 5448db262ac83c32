// Own outstanding calls to plain services, by upstream.
#pragma once

#include <guavafield/state/configuration.hpp>

#include <cstddef>
#include <mutex>
#include <string_view>
#include <vector>

namespace guavafield {

/*! @brief Orders the upstreams of a service by this host's outstanding calls. Safe to use from several threads. */
class ServiceBalance
{
public:
    /*! @brief Returns the route's upstreams that take calls, least loaded first. */
    [[nodiscard]] std::vector<const Upstream *> order(const ServiceTarget &target, const Configuration &configuration) const;
    void begin(std::string_view upstream);
    void end(std::string_view upstream);

private:
    mutable std::mutex m_mutex;
    // Guarded by m_mutex; without entries of zero.
    StringMap<std::size_t> m_outstanding;
};

} // namespace guavafield
