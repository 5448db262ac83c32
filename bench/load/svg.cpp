// Draws metrics as SVG bar charts.
#include <bench/load/report.hpp>

#include <algorithm>
#include <array>

namespace guavafield::bench {

namespace internal {

constexpr double barWidth = 14;
constexpr double plotHeight = 240;
constexpr double margin = 60;
constexpr std::array colours{"#1b6ca8", "#b8b8b8", "#d9a441", "#8a9a5b", "#b5651d", "#7d5ba6"};

std::vector<std::string> distinctValues(const std::vector<RunRecord> &records, std::string RunRecord::*field)
{
    std::vector<std::string> names;
    for (const auto &it : records) {
        if (std::ranges::find(names, it.*field) == names.end()) {
            names.push_back(it.*field);
        }
    }
    return names;
}

void writeText(std::ostream &out, double x, double y, std::string_view text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\">" << text << "</text>\n";
}

} // namespace internal

void writeSvg(std::ostream &out, const std::vector<RunRecord> &records, const ReportMetric &metric)
{
    const auto scenarios = internal::distinctValues(records, &RunRecord::scenario);
    const auto policies = internal::distinctValues(records, &RunRecord::policy);
    const double groupWidth = internal::barWidth * (static_cast<double>(policies.size()) + 2);
    const double width = 2 * internal::margin + groupWidth * static_cast<double>(scenarios.size());
    const double bottom = internal::margin + internal::plotHeight;
    double maximum = 0;
    for (const auto &it : records) {
        maximum = std::max(maximum, metric.value(it));
    }
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << bottom + 2 * internal::margin
        << "\" font-family=\"sans-serif\" font-size=\"10\">\n";
    internal::writeText(out, internal::margin, 20, metric.name);
    internal::writeText(out, 4, internal::margin, std::to_string(maximum));
    for (const auto &it : records) {
        const auto group = std::ranges::find(scenarios, it.scenario) - scenarios.begin();
        const auto bar = std::ranges::find(policies, it.policy) - policies.begin();
        const double height = maximum > 0 ? metric.value(it) / maximum * internal::plotHeight : 0;
        out << "<rect x=\"" << internal::margin + groupWidth * static_cast<double>(group) + internal::barWidth * static_cast<double>(bar) << "\" y=\""
            << bottom - height << "\" width=\"" << internal::barWidth - 2 << "\" height=\"" << height << "\" fill=\""
            << internal::colours[static_cast<std::size_t>(bar) % internal::colours.size()] << "\"><title>" << it.policy << ": " << metric.value(it)
            << "</title></rect>\n";
    }
    for (std::size_t n = 0; n < scenarios.size(); ++n) {
        internal::writeText(out, internal::margin + groupWidth * static_cast<double>(n), bottom + 16, scenarios[n]);
    }
    for (std::size_t n = 0; n < policies.size(); ++n) {
        const double x = internal::margin + 130 * static_cast<double>(n);
        out << "<rect x=\"" << x << "\" y=\"" << bottom + 30 << "\" width=\"10\" height=\"10\" fill=\"" << internal::colours[n % internal::colours.size()]
            << "\"/>\n";
        internal::writeText(out, x + 14, bottom + 39, policies[n]);
    }
    out << "</svg>\n";
}

} // namespace guavafield::bench
