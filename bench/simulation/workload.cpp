// Parses workload files.
#include <bench/simulation/workload.hpp>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <filesystem>
#include <set>
#include <sstream>

namespace guavafield::bench {

namespace internal {

using Section = boost::property_tree::ptree;

/*! @brief Reads the keys of one section and records which are known, so that a misspelt key is reported as an error. */
class SectionReader
{
public:
    SectionReader(const std::string &name, const Section &section) : m_name(name), m_section(section) { }

    template <typename Type>
    void read(const char *key, Type &value)
    {
        m_known.insert(key);
        value = m_section.get<Type>(key, value);
    }

    void read(const char *key, Milliseconds &value)
    {
        auto count = value.count();
        read(key, count);
        value = Milliseconds{count};
    }

    [[nodiscard]] Result<void> finish() const
    {
        for (const auto &[key, value] : m_section) {
            if (!m_known.contains(key)) {
                return fail(ResultCode::SettingUnknown, "unknown key", m_name + "." + key);
            }
        }
        return {};
    }

private:
    const std::string &m_name;
    const Section &m_section;
    std::set<std::string> m_known;
};

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string it; std::getline(stream, it, separator);) {
        parts.push_back(it);
    }
    return parts;
}

Result<void> readGeneral(SectionReader reader, Workload &workload)
{
    std::string dataCentres;
    reader.read("name", workload.name);
    reader.read("data_centres", dataCentres);
    reader.read("hosts", workload.hosts);
    reader.read("patience", workload.patience);
    workload.dataCentres = split(dataCentres, ',');
    return reader.finish();
}

Result<void> readEngines(const std::string &kind, SectionReader reader, Workload &workload)
{
    EngineKind it;
    it.kind = kind == "cheap" ? UpstreamKind::Cheap : UpstreamKind::Durable;
    reader.read("count", it.count);
    reader.read("zones", it.zones);
    reader.read("slots", it.slots);
    reader.read("tokens_per_second", it.tokensPerSecond);
    reader.read("batch_penalty", it.batchPenalty);
    reader.read("prefill_tokens_per_second", it.prefillTokensPerSecond);
    reader.read("cache_blocks", it.cacheBlocks);
    reader.read("cost_per_hour", it.costPerHour);
    workload.engines.push_back(it);
    return reader.finish();
}

Result<void> readKind(const std::string &name, SectionReader reader, Workload &workload)
{
    RequestKind it;
    it.name = name;
    unsigned tier = 0;
    reader.read("tier", tier);
    it.tier = static_cast<Tier>(std::min<unsigned>(tier, tierCount - 1));
    reader.read("ttft_ms", it.firstTokenTarget);
    reader.read("total_ms", it.totalTarget);
    reader.read("prompt_median", it.promptMedian);
    reader.read("prompt_sigma", it.promptSigma);
    reader.read("output_median", it.outputMedian);
    reader.read("output_sigma", it.outputSigma);
    reader.read("max_output", it.maxOutput);
    reader.read("prefixes", it.prefixes);
    reader.read("resumable", it.resumable);
    reader.read("value", it.value);
    workload.kinds.push_back(std::move(it));
    return reader.finish();
}

Result<void> readTeam(const std::string &name, SectionReader reader, Workload &workload)
{
    TeamLoad it;
    it.name = name;
    std::string classes;
    reader.read("share", it.share);
    reader.read("demand", it.demand);
    reader.read("classes", classes);
    for (const auto &part : split(classes, ',')) {
        const auto colon = part.find(':');
        const auto kind = std::ranges::find(workload.kinds, part.substr(0, colon), &RequestKind::name);
        if (kind == workload.kinds.end() || colon == std::string::npos) {
            return fail(ResultCode::SettingInvalid, "classes have the form name:weight and are defined above the team", "team." + name);
        }
        it.parts.push_back({static_cast<std::size_t>(kind - workload.kinds.begin()), std::stod(part.substr(colon + 1))});
    }
    workload.teams.push_back(std::move(it));
    return reader.finish();
}

Result<void> readScenario(const std::string &name, SectionReader reader, Workload &workload)
{
    Scenario it;
    it.name = name;
    reader.read("duration_ms", it.duration);
    reader.read("load", it.load);
    it.burstLoad = it.load;
    reader.read("burst_load", it.burstLoad);
    reader.read("burst_from_ms", it.burstFrom);
    reader.read("burst_to_ms", it.burstTo);
    reader.read("burst_class", it.burstKind);
    reader.read("huge_team", it.hugeTeam);
    reader.read("huge_factor", it.hugeFactor);
    reader.read("report_lag_ms", it.reportLag);
    reader.read("reclaim_zone", it.reclaimZone);
    reader.read("reclaim_at_ms", it.reclaimAt);
    reader.read("reclaim_notice_ms", it.reclaimNotice);
    reader.read("reclaim_back_ms", it.reclaimBack);
    reader.read("slow_engine", it.slowEngine);
    reader.read("slow_factor", it.slowFactor);
    reader.read("slow_from_ms", it.slowFrom);
    reader.read("slow_to_ms", it.slowTo);
    reader.read("crash_team", it.crashTeam);
    reader.read("crash_at_ms", it.crashAt);
    reader.read("crash_repeats", it.crashRepeats);
    workload.scenarios.push_back(std::move(it));
    return reader.finish();
}

Result<void> readSection(const std::string &title, const Section &section, Workload &workload)
{
    const auto dot = title.find('.');
    const auto kind = title.substr(0, dot);
    const auto name = dot == std::string::npos ? std::string{} : title.substr(dot + 1);
    SectionReader reader(title, section);
    if (kind == "general") {
        return readGeneral(reader, workload);
    }
    if (kind == "engines") {
        return readEngines(name, reader, workload);
    }
    if (kind == "class") {
        return readKind(name, reader, workload);
    }
    if (kind == "team") {
        return readTeam(name, reader, workload);
    }
    if (kind == "scenario") {
        return readScenario(name, reader, workload);
    }
    return fail(ResultCode::SettingUnknown, "unknown section", title);
}

} // namespace internal

Result<Workload> loadWorkload(const std::string &path)
{
    internal::Section tree;
    Workload workload;
    try {
        boost::property_tree::read_ini(path, tree);
        for (const auto &[title, section] : tree) {
            BOOST_LEAF_CHECK(internal::readSection(title, section, workload));
        }
    } catch (const std::exception &exception) {
        return fail(ResultCode::SettingsUnreadable, exception.what(), path);
    }
    if (workload.dataCentres.empty() || workload.engines.empty() || workload.teams.empty() || workload.hosts == 0) {
        return fail(ResultCode::SettingMissing, "a workload needs data centres, hosts, engines and teams", path);
    }
    return workload;
}

Configuration makeConfiguration(const Workload &workload, const std::string &dataCentre)
{
    Configuration configuration;
    configuration.revision = 1;
    configuration.models[workloadModel] = Model{workloadModel, "1"};
    for (const auto &load : workload.teams) {
        Team team{load.name, load.name, {}};
        team.contract.share = load.share;
        for (const auto &part : load.parts) {
            const auto &kind = workload.kinds[part.kind];
            team.contract.tier = std::min(team.contract.tier, kind.tier);
            team.contract.classes.push_back({kind.name, kind.tier, kind.firstTokenTarget, kind.totalTarget});
        }
        configuration.teams[load.name] = std::move(team);
    }
    std::size_t number = 0;
    for (const auto &kind : workload.engines) {
        for (std::uint32_t n = 0; n < kind.count; ++n, ++number) {
            Upstream upstream;
            upstream.id = "e" + std::to_string(100 + number);
            upstream.dataCentre = dataCentre;
            upstream.zone = (kind.kind == UpstreamKind::Cheap ? "cheap-" : "durable-") + std::to_string(n % kind.zones);
            upstream.kind = kind.kind;
            upstream.slots = kind.slots;
            upstream.costPerHour = kind.costPerHour;
            upstream.models = {workloadModel};
            configuration.upstreams[upstream.id] = std::move(upstream);
        }
    }
    return configuration;
}

} // namespace guavafield::bench
