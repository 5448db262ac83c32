// Cost of at-most-once calls: latency added before sending and transactions per call.
#pragma once

#include <guavafield/state/types.hpp>

#include <ostream>

namespace guavafield::bench {

struct OnceCost
{
    int callsPerSecond{0};
    Milliseconds window{0};
    // Milliseconds from the arrival of a call to its sending, excluding the round trip to the store.
    double addedMsMean{0};
    double addedMsP95{0};
    double rowsPerTransaction{0};
    double transactionsPerCall{0};
};

/*! @brief Simulates Poisson arrivals on one host with a round trip of 3 ms to the store and upstreams that take 50 ms. */
[[nodiscard]] OnceCost measureOnceCost(int callsPerSecond, Milliseconds window);
void printOnceCost(std::ostream &out, const OnceCost &cost);

} // namespace guavafield::bench
