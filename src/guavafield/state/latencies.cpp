// Boost.Histogram with a logarithmic axis.
#include <guavafield/state/latencies.hpp>

#include <boost/histogram.hpp>

namespace guavafield {

namespace internal {

namespace histogram = boost::histogram;

constexpr unsigned bucketCount = 24;
constexpr double leastSeconds = 0.001;
constexpr double mostSeconds = 60;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto makeHistogram()
{
    return histogram::make_histogram(Axis(bucketCount, leastSeconds, mostSeconds));
}

using Histogram = decltype(makeHistogram());

void append(std::string &text, std::string_view name, std::string_view pool, const Histogram &buckets, double sum)
{
    const auto &axis = buckets.axis(0);
    const auto label = std::string(name) + "_bucket{pool=\"" + std::string(pool) + "\",le=\"";
    double count = buckets.at(-1);
    for (int n = 0; n < axis.size(); ++n) {
        count += buckets.at(n);
        text += label + std::to_string(axis.value(n + 1)) + "\"} " + std::to_string(static_cast<std::uint64_t>(count)) + "\n";
    }
    count += buckets.at(axis.size());
    const auto total = std::to_string(static_cast<std::uint64_t>(count));
    text += label + "+Inf\"} " + total + "\n";
    text += std::string(name) + "_sum{pool=\"" + std::string(pool) + "\"} " + std::to_string(sum) + "\n";
    text += std::string(name) + "_count{pool=\"" + std::string(pool) + "\"} " + total + "\n";
}

} // namespace internal

struct Latencies::Pair
{
    internal::Histogram first{internal::makeHistogram()};
    internal::Histogram total{internal::makeHistogram()};
    double firstSum{0};
    double totalSum{0};
};

Latencies::Latencies() = default;
Latencies::~Latencies() = default;

void Latencies::add(std::string_view pool, std::optional<SteadyTime::duration> first, SteadyTime::duration total)
{
    const auto seconds = [](SteadyTime::duration time) { return std::chrono::duration<double>(time).count(); };
    const std::scoped_lock lock(m_mutex);
    auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        it = m_pools.emplace(std::string(pool), std::make_unique<Pair>()).first;
    }
    if (first) {
        it->second->first(seconds(*first));
        it->second->firstSum += seconds(*first);
    }
    it->second->total(seconds(total));
    it->second->totalSum += seconds(total);
}

std::string Latencies::format() const
{
    std::string text("# HELP guavafield_first_byte_seconds Time to the first byte of an answer\n# TYPE guavafield_first_byte_seconds histogram\n");
    const std::scoped_lock lock(m_mutex);
    for (const auto &[pool, it] : m_pools) {
        internal::append(text, "guavafield_first_byte_seconds", pool, it->first, it->firstSum);
    }
    text += "# HELP guavafield_request_seconds Time to the end of a request\n# TYPE guavafield_request_seconds histogram\n";
    for (const auto &[pool, it] : m_pools) {
        internal::append(text, "guavafield_request_seconds", pool, it->total, it->totalSum);
    }
    return text;
}

} // namespace guavafield
