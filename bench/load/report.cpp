// Writes runs as tables, JSON and CSV and compares JSON reports.
#include <bench/load/report.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace guavafield::bench {

namespace internal {

constexpr double comparisonTolerance = 1e-9;

std::string runKey(const boost::json::object &run)
{
    std::string name;
    for (const auto *key : {"workload", "scenario", "policy"}) {
        name.append(name.empty() ? "" : "/").append(run.at(key).as_string().c_str());
    }
    return name;
}

const boost::json::object *findRun(const boost::json::value &runs, const std::string &name)
{
    for (const auto &it : runs.as_array()) {
        if (runKey(it.as_object()) == name) {
            return &it.as_object();
        }
    }
    return nullptr;
}

} // namespace internal

const std::vector<ReportMetric> &reportMetrics()
{
    static const std::vector<ReportMetric> list{
        {"top_due", [](const RunRecord &it) { return it.topDue; }},
        {"top_admitted", [](const RunRecord &it) { return it.topAdmitted; }},
        {"top_offered", [](const RunRecord &it) { return it.topOffered; }},
        {"worst_team", [](const RunRecord &it) { return it.metrics.worstTeamFraction; }},
        {"worst_any_tier", [](const RunRecord &it) { return it.metrics.worstTeamFractionAnyTier; }},
        {"goodput_tokens_s", [](const RunRecord &it) { return it.metrics.goodput(); }},
        {"value", [](const RunRecord &it) { return it.metrics.value; }},
        {"cost_per_1000_value", [](const RunRecord &it) { return it.metrics.costPerValue() * 1000; }},
        {"wasted", [](const RunRecord &it) { return it.metrics.wastedFraction(); }},
        {"late", [](const RunRecord &it) { return it.metrics.computedTokens > 0 ? it.metrics.lateTokens / it.metrics.computedTokens : 0; }},
        {"cheap", [](const RunRecord &it) { return it.metrics.cheapFraction(); }},
        {"preemptions", [](const RunRecord &it) { return static_cast<double>(it.metrics.preemptions); }},
        {"hedges", [](const RunRecord &it) { return static_cast<double>(it.metrics.hedges); }},
        {"retries", [](const RunRecord &it) { return static_cast<double>(it.metrics.retries); }},
        {"engine_crashes", [](const RunRecord &it) { return static_cast<double>(it.metrics.engineCrashes); }},
        {"innocents_refused", [](const RunRecord &it) { return static_cast<double>(it.metrics.falseSuspectRefusals); }},
    };
    return list;
}

RunRecord makeRecord(const Workload &workload, const Scenario &scenario, std::string_view policy, std::uint64_t seed, RunMetrics metrics)
{
    RunRecord record{workload.name, scenario.name, std::string(policy), seed};
    for (const auto &kind : workload.kinds) {
        if (const auto it = metrics.classes.find(kind.name); kind.tier == 0 && it != metrics.classes.end()) {
            record.topDue = std::min(record.topDue, it->second.attainmentOfDue());
            record.topAdmitted = std::min(record.topAdmitted, it->second.attainmentOfAdmitted());
            record.topOffered = std::min(record.topOffered, it->second.attainmentOfOffered());
        }
    }
    record.metrics = std::move(metrics);
    return record;
}

void writeTable(std::ostream &out, const std::vector<RunRecord> &records)
{
    std::string group;
    for (const auto &it : records) {
        if (const auto next = it.workload + " / " + it.scenario; next != group) {
            group = next;
            out << "\n" << group << " (seed " << it.seed << ")\n" << std::setw(18) << "";
            for (const auto &metric : reportMetrics()) {
                out << ' ' << std::setw(static_cast<int>(std::max<std::size_t>(metric.name.size(), 7))) << metric.name;
            }
            out << "  worst team\n";
        }
        out << std::setw(18) << it.policy << std::fixed;
        for (const auto &metric : reportMetrics()) {
            const double value = metric.value(it);
            out << ' ' << std::setw(static_cast<int>(std::max<std::size_t>(metric.name.size(), 7))) << std::setprecision(value >= 100 ? 0 : 3) << value;
        }
        out << "  " << it.metrics.worstTeam << "\n";
    }
}

void writeClasses(std::ostream &out, const std::vector<RunRecord> &records)
{
    for (const auto &it : records) {
        out << "\n" << it.workload << " / " << it.scenario << " / " << it.policy << "\n" << std::setw(12) << "class";
        for (const auto *name :
             {"offered", "admitted", "unneeded", "in_target", "late", "late_1st", "shed", "failed", "abandoned", "of_due", "of_adm", "of_off"}) {
            out << std::setw(10) << name;
        }
        out << "\n";
        for (const auto &[name, counts] : it.metrics.classes) {
            out << std::setw(12) << name;
            for (const auto count : {counts.offered,
                                     counts.admitted,
                                     counts.avoidableRefusals,
                                     counts.metTargets,
                                     counts.late,
                                     counts.lateFirstToken,
                                     counts.shed,
                                     counts.failed,
                                     counts.abandoned}) {
                out << std::setw(10) << count;
            }
            out << std::fixed << std::setprecision(4);
            for (const auto value : {counts.attainmentOfDue(), counts.attainmentOfAdmitted(), counts.attainmentOfOffered()}) {
                out << std::setw(10) << value;
            }
            out << "\n";
        }
        out << "refusals:";
        for (const auto &[code, count] : it.metrics.refusals) {
            out << ' ' << code << '=' << count;
        }
        out << "\n";
    }
}

void writeCsv(std::ostream &out, const std::vector<RunRecord> &records)
{
    out << "workload,scenario,policy,seed";
    for (const auto &metric : reportMetrics()) {
        out << ',' << metric.name;
    }
    out << "\n" << std::setprecision(9);
    for (const auto &it : records) {
        out << it.workload << ',' << it.scenario << ',' << it.policy << ',' << it.seed;
        for (const auto &metric : reportMetrics()) {
            out << ',' << metric.value(it);
        }
        out << "\n";
    }
}

boost::json::value toJson(const std::vector<RunRecord> &records)
{
    boost::json::array runs;
    for (const auto &it : records) {
        boost::json::object run{{"workload", it.workload}, {"scenario", it.scenario}, {"policy", it.policy}, {"seed", it.seed}};
        boost::json::object values;
        for (const auto &metric : reportMetrics()) {
            values[metric.name] = metric.value(it);
        }
        run["figures"] = std::move(values);
        run["worst_team_name"] = it.metrics.worstTeam;
        boost::json::object classes;
        for (const auto &[name, counts] : it.metrics.classes) {
            classes[name] = {{"offered", counts.offered},
                             {"admitted", counts.admitted},
                             {"refused_without_need", counts.avoidableRefusals},
                             {"in_target", counts.metTargets},
                             {"late", counts.late},
                             {"late_first_token", counts.lateFirstToken},
                             {"shed", counts.shed},
                             {"failed", counts.failed},
                             {"abandoned", counts.abandoned},
                             {"attainment_of_due", counts.attainmentOfDue()},
                             {"attainment_of_admitted", counts.attainmentOfAdmitted()},
                             {"attainment_of_offered", counts.attainmentOfOffered()}};
        }
        run["classes"] = std::move(classes);
        runs.emplace_back(std::move(run));
    }
    return runs;
}

std::size_t compareJson(std::ostream &out, const boost::json::value &before, const boost::json::value &after)
{
    std::size_t common = 0;
    for (const auto &it : after.as_array()) {
        const auto name = internal::runKey(it.as_object());
        const auto *previousRun = internal::findRun(before, name);
        if (previousRun == nullptr) {
            out << name << ": only in the second file\n";
            continue;
        }
        ++common;
        for (const auto &[metric, value] : it.at("figures").as_object()) {
            const auto *previous = previousRun->at("figures").as_object().if_contains(metric);
            const double previousValue = previous != nullptr ? previous->to_number<double>() : 0;
            const double currentValue = value.to_number<double>();
            if (std::abs(currentValue - previousValue) > internal::comparisonTolerance) {
                out << name << ' ' << metric << ": " << previousValue << " -> " << currentValue << "\n";
            }
        }
    }
    return common;
}

} // namespace guavafield::bench
