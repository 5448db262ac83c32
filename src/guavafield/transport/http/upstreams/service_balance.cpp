// Choice of an upstream for plain services.
#include <guavafield/transport/http/upstreams/service_balance.hpp>

#include <algorithm>

namespace guavafield {

std::vector<const Upstream *> ServiceBalance::order(const ServiceTarget &target, const Configuration &configuration) const
{
    struct Candidate
    {
        const Upstream *upstream;
        std::size_t outstanding;
    };
    std::vector<Candidate> candidates;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &id : target.upstreams) {
            const auto it = configuration.upstreams.find(id);
            if (it != configuration.upstreams.end() && !it->second.leaving) {
                const auto load = m_outstanding.find(id);
                candidates.push_back({&it->second, load == m_outstanding.end() ? 0 : load->second});
            }
        }
    }
    std::ranges::stable_sort(candidates, {}, &Candidate::outstanding);
    std::vector<const Upstream *> upstreams;
    std::ranges::transform(candidates, std::back_inserter(upstreams), &Candidate::upstream);
    return upstreams;
}

void ServiceBalance::begin(std::string_view upstream)
{
    const std::scoped_lock lock(m_mutex);
    ++m_outstanding[std::string(upstream)];
}

void ServiceBalance::end(std::string_view upstream)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_outstanding.find(upstream); it != m_outstanding.end() && --it->second == 0) {
        m_outstanding.erase(it);
    }
}

} // namespace guavafield
