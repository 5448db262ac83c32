// Selects the upstream for a request.
#pragma once

#include <guavafield/coordination/request/placement/prefix_index.hpp>
#include <guavafield/coordination/request/split_mix.hpp>
#include <guavafield/coordination/request/upstream_state.hpp>

#include <span>
#include <vector>

namespace guavafield {

/*! @brief The upstreams of one pool, by kind. */
struct PoolUpstreams
{
    std::vector<UpstreamState *> durable;
    std::vector<UpstreamState *> cheap;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return durable.size() + cheap.size();
    }

    template <typename Function>
    void forEach(Function &&function) const
    {
        for (const auto *list : {&durable, &cheap}) {
            for (auto *it : *list) {
                function(*it);
            }
        }
    }
};

/*! @brief Routes requests by prefix affinity, load and kind of upstream, each to an upstream that may run it by mayRunOn(). */
class Router
{
public:
    explicit Router(std::uint64_t seed) noexcept : m_random(seed) { }

    /*! @brief Returns an upstream with a free slot, or null. */
    [[nodiscard]] UpstreamState *choose(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now);
    /*!
     * @brief Returns an upstream for a crash suspect that runs no other suspect, or null.
     * @param hosts Number of live hosts. Upstreams are divided among them, so that suspects of two hosts do not share one.
     */
    [[nodiscard]] UpstreamState *
    chooseForSuspect(const PoolUpstreams &upstreams, const RequestEntry &entry, std::uint32_t hosts, std::uint32_t hostIndex, SteadyTime now) const;
    /*! @brief Returns an idle upstream for a hedge, other than that of the first attempt, or null. */
    [[nodiscard]] UpstreamState *chooseForHedge(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now) const;
    /*! @brief Returns an ejected or failed upstream that is due for a probe by this request, or null. */
    [[nodiscard]] UpstreamState *chooseForProbe(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now) const;

    [[nodiscard]] PrefixIndex &prefixes() noexcept
    {
        return m_prefixes;
    }

private:
    [[nodiscard]] UpstreamState *chooseByAffinity(std::span<UpstreamState *const> upstreams, const RequestEntry &entry, SteadyTime now) const;
    [[nodiscard]] UpstreamState *chooseByLoad(std::span<UpstreamState *const> upstreams, const RequestEntry &entry, SteadyTime now);
    [[nodiscard]] static UpstreamState *chooseOwnSlot(const PoolUpstreams &upstreams, const RequestEntry &entry, SteadyTime now);

    SplitMix m_random;
    PrefixIndex m_prefixes;
};

} // namespace guavafield
