// Cost of at-most-once calls: time added before the send and transactions a call.
#pragma once

#include <guavafield/state/types.hpp>

#include <ostream>

namespace guavafield::bench {

struct OnceCost
{
    int callsPerSecond{0};
    Milliseconds window{0};
    // From the arrival of a call to its send, without the store's round trip.
    double addedMsMean{0};
    double addedMsP95{0};
    double rowsPerTransaction{0};
    double transactionsPerCall{0};
};

/*! @brief Simulates Poisson arrivals on one host with a round trip of 3 ms to the store and upstreams that take 50 ms. */
[[nodiscard]] OnceCost measureOnceCost(int callsPerSecond, Milliseconds window);
void printOnceCost(std::ostream &out, const OnceCost &cost);

} // namespace guavafield::bench
