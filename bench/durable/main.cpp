// Measures the table service traffic of leases, usage accounting and at-most-once calls on a manual clock with an in-memory table.
// Prints CSV.
#include "bench/durable/fleet.hpp"
#include "bench/durable/once_latency.hpp"

#include <iostream>

int main()
{
    using namespace guavafield::bench;
    std::cout << "part,hosts,role,hosts_in_role,writes_per_second,reads_per_second,bytes_per_second_each\n";
    for (const std::size_t hosts : {33, 110, 330}) {
        printFleetCost(std::cout, measureFleetCost(hosts));
    }
    std::cout << "part,calls_per_second,window_ms,added_ms_mean,added_ms_p95,rows_per_transaction,transactions_per_call\n";
    for (const int window : {0, 5}) {
        for (const int rate : {1, 5, 20, 76, 300}) {
            printOnceCost(std::cout, measureOnceCost(rate, guavafield::Milliseconds{window}));
        }
    }
}
