// Compares ways for several threads to read an immutable value that is replaced at run time: SnapshotCell, std::atomic<std::shared_ptr>, a
// mutex and liburcu.
#include <guavafield/state/snapshot_cell.hpp>

#include <benchmark/benchmark.h>
#include <urcu/urcu-memb.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace {

using namespace guavafield;

struct Value
{
    std::uint64_t first{1};
    std::uint64_t second{1};
};

SnapshotCell<Value> snapshotCell;
std::atomic<std::shared_ptr<const Value>> atomicPointer{std::make_shared<const Value>()};
std::mutex mutex;
std::shared_ptr<const Value> guardedPointer = std::make_shared<const Value>();
Value *rcuPointer = new Value;

void readSnapshotCell(benchmark::State &state)
{
    SnapshotCell<Value>::Reader reader(snapshotCell);
    for (auto _ : state) {
        benchmark::DoNotOptimize(reader.get()->first);
    }
}

void readAtomicSharedPointer(benchmark::State &state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(atomicPointer.load(std::memory_order_acquire)->first);
    }
}

void readUnderMutex(benchmark::State &state)
{
    for (auto _ : state) {
        std::shared_ptr<const Value> copy;
        {
            const std::scoped_lock lock(mutex);
            copy = guardedPointer;
        }
        benchmark::DoNotOptimize(copy->first);
    }
}

void readUrcu(benchmark::State &state)
{
    urcu_memb_register_thread();
    for (auto _ : state) {
        urcu_memb_read_lock();
        benchmark::DoNotOptimize(rcu_dereference(rcuPointer)->first);
        urcu_memb_read_unlock();
    }
    urcu_memb_unregister_thread();
}

BENCHMARK(readSnapshotCell)->ThreadRange(1, 4);
BENCHMARK(readAtomicSharedPointer)->ThreadRange(1, 4);
BENCHMARK(readUnderMutex)->ThreadRange(1, 4);
BENCHMARK(readUrcu)->ThreadRange(1, 4);

} // namespace

BENCHMARK_MAIN();
