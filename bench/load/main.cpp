// guavafield-load: simulates workload files under several scheduling policies and reports the metrics.
#include <bench/load/report.hpp>
#include <bench/simulation/simulation.hpp>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace guavafield::bench {

namespace internal {

struct RunArguments
{
    std::vector<std::string> workloads{"bench/workloads/juicio-claro.ini", "bench/workloads/fossa-limpa.ini"};
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
    std::uint64_t seed{1};
    bool all{false};
    bool classes{false};
    std::string json;
    std::string csv;
    std::string svgPrefix;
};

bool isSelected(const std::vector<std::string> &names, std::string_view name)
{
    return names.empty() || std::ranges::find(names, name) != names.end();
}

/*! @brief Returns the policies to run: those named, all with --all, or else only guavafield. */
std::vector<PolicyKind> selectedPolicies(const RunArguments &arguments)
{
    std::vector<PolicyKind> kinds;
    for (const auto kind : allPolicies) {
        const bool byDefault = arguments.all || kind == PolicyKind::Guavafield;
        if (arguments.policies.empty() ? byDefault : isSelected(arguments.policies, policyName(kind))) {
            kinds.push_back(kind);
        }
    }
    return kinds;
}

void runWorkload(const Workload &workload, const RunArguments &arguments, std::vector<RunRecord> &records)
{
    for (const auto &scenario : workload.scenarios) {
        if (!isSelected(arguments.scenarios, scenario.name)) {
            continue;
        }
        for (const auto policy : selectedPolicies(arguments)) {
            records.push_back(makeRecord(workload, scenario, policyName(policy), arguments.seed, runScenario(workload, scenario, policy, arguments.seed)));
        }
    }
}

void writePlots(const std::vector<RunRecord> &records, const std::string &prefix)
{
    for (const auto &metric : reportMetrics()) {
        std::map<std::string, std::vector<RunRecord>> byWorkload;
        for (const auto &it : records) {
            byWorkload[it.workload].push_back(it);
        }
        for (const auto &[workload, workloadRecords] : byWorkload) {
            std::ofstream file(prefix + workload + "-" + std::string(metric.name) + ".svg");
            writeSvg(file, workloadRecords, metric);
        }
    }
}

int run(const RunArguments &arguments)
{
    std::vector<RunRecord> records;
    for (const auto &path : arguments.workloads) {
        const auto workload = capture([&] { return loadWorkload(path); });
        if (!workload) {
            std::cerr << "guavafield-load: " << workload.error.message << " (" << workload.error.place << ")\n";
            return 1;
        }
        runWorkload(*workload.value, arguments, records);
    }
    writeTable(std::cout, records);
    if (arguments.classes) {
        writeClasses(std::cout, records);
    }
    if (!arguments.json.empty()) {
        std::ofstream(arguments.json) << boost::json::serialize(toJson(records)) << "\n";
    }
    if (!arguments.csv.empty()) {
        std::ofstream file(arguments.csv);
        writeCsv(file, records);
    }
    if (!arguments.svgPrefix.empty()) {
        writePlots(records, arguments.svgPrefix);
    }
    return 0;
}

boost::json::value readJson(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return boost::json::parse(text.str());
}

} // namespace internal

} // namespace guavafield::bench

int main(int argc, char **argv)
{
    using namespace guavafield::bench;
    CLI::App app("Measures scheduling policies on workload files.");
    app.require_subcommand(1);
    internal::RunArguments arguments;
    auto *run = app.add_subcommand("run", "Runs scenarios on a manual clock with simulated engines");
    run->add_option("--workload", arguments.workloads, "Workload files");
    run->add_option("--scenario", arguments.scenarios, "Scenarios by name; default: all");
    run->add_option("--policy", arguments.policies, "Policies by name; default: guavafield");
    run->add_option("--seed", arguments.seed, "Seed of arrivals and choices");
    run->add_flag("--all", arguments.all, "Run all policies");
    run->add_flag("--classes", arguments.classes, "Also print the counts of each class");
    run->add_option("--json", arguments.json, "Write the figures to this JSON file");
    run->add_option("--csv", arguments.csv, "Write the figures to this CSV file");
    run->add_option("--svg", arguments.svgPrefix, "Write plots to files with this prefix");
    std::array<std::string, 2> files;
    auto *compare = app.add_subcommand("compare", "Lists the figures that differ between two JSON files");
    compare->add_option("before", files[0])->required()->check(CLI::ExistingFile);
    compare->add_option("after", files[1])->required()->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);
    try {
        if (compare->parsed()) {
            return compareJson(std::cout, internal::readJson(files[0]), internal::readJson(files[1])) > 0 ? 0 : 1;
        }
        return internal::run(arguments);
    } catch (const std::exception &exception) {
        std::cerr << "guavafield-load: " << exception.what() << "\n";
        return 1;
    }
}
