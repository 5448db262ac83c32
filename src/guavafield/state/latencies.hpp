// Histograms of how long requests take, by pool.
#pragma once

#include <guavafield/state/types.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace guavafield {

/*! @brief Times to the first byte and to the end. Safe to use from several threads. */
class Latencies
{
public:
    Latencies();
    ~Latencies();
    Latencies(const Latencies &) = delete;
    Latencies &operator=(const Latencies &) = delete;

    /*!
     * @brief Adds a request that has ended.
     * @param first Empty if the caller received nothing of an answer.
     */
    void add(std::string_view pool, std::optional<SteadyTime::duration> first, SteadyTime::duration total);
    /*! @brief Writes all histograms in the Prometheus text format. */
    [[nodiscard]] std::string format() const;

private:
    struct Pair;

    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    StringMap<std::unique_ptr<Pair>> m_pools;
};

} // namespace guavafield
