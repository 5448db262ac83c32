// Reports the metrics of runs as tables, JSON, CSV and SVG charts, and compares two JSON reports.
#pragma once

#include <bench/simulation/run_metrics.hpp>

#include <boost/json.hpp>

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::bench {

/*! @brief Result of one policy in one scenario. */
struct RunRecord
{
    std::string workload;
    std::string scenario;
    std::string policy;
    std::uint64_t seed{1};
    // Lowest attainment of a top-tier class, as a fraction of due, admitted and offered requests.
    double topDue{1};
    double topAdmitted{1};
    double topOffered{1};
    RunMetrics metrics;
};

/*! @brief A metric that the reports show for each run. */
struct ReportMetric
{
    std::string_view name;
    std::function<double(const RunRecord &)> value;
};

/*! @brief Returns all metrics in report order. */
[[nodiscard]] const std::vector<ReportMetric> &reportMetrics();

/*! @brief Creates the record of a run. */
[[nodiscard]] RunRecord makeRecord(const Workload &workload, const Scenario &scenario, std::string_view policy, std::uint64_t seed, RunMetrics metrics);

void writeTable(std::ostream &out, const std::vector<RunRecord> &records);
void writeClasses(std::ostream &out, const std::vector<RunRecord> &records);
void writeCsv(std::ostream &out, const std::vector<RunRecord> &records);
[[nodiscard]] boost::json::value toJson(const std::vector<RunRecord> &records);

/*!
 * @brief Writes the metrics that differ between two JSON reports.
 * @return The number of runs present in both.
 */
std::size_t compareJson(std::ostream &out, const boost::json::value &before, const boost::json::value &after);

/*! @brief Draws one metric of all runs of a workload as a grouped bar chart. */
void writeSvg(std::ostream &out, const std::vector<RunRecord> &records, const ReportMetric &metric);

} // namespace guavafield::bench
