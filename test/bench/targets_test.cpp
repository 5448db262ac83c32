// Checks scheduler metrics, for a fixed seed, against the targets of docs/design.md, section 1.
#include <bench/simulation/simulation.hpp>
#include <bench/workload_files.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace guavafield::bench {

class TargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetsTest);
    CPPUNIT_TEST(topClassInCalmAndFaultScenarios);
    CPPUNIT_TEST(topClassInBurstOfFossaLimpa);
    CPPUNIT_TEST(admittedTopClassInBurst);
    CPPUNIT_TEST(worstTeamInBurstOfJuicioClaro);
    CPPUNIT_TEST(worstTeamBesideHugeTeamOfFossaLimpa);
    CPPUNIT_TEST(wastedWorkIsBelowTarget);
    CPPUNIT_TEST(lowerTiersAreServedInBurst);
    CPPUNIT_TEST(crashingRequestIsContained);
    CPPUNIT_TEST(outperformsBaselinesInBurst);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against faults that affect the top class: a fraction of 0.99 of its due requests is answered within target.
    void topClassInCalmAndFaultScenarios()
    {
        for (const auto *name : {"juicio-claro", "fossa-limpa"}) {
            for (const auto *scenario : {"calm", "reclaim", "slow-engine", "crash", "lagging-reports", "huge-team"}) {
                expectAtLeast(0.99, run(name, scenario).tierAttainment(loadRepositoryWorkload(name), 0), std::string(name) + " " + scenario);
            }
        }
    }

    // Guards against lower tiers that make the top class miss its target at 3 times the capacity.
    void topClassInBurstOfFossaLimpa()
    {
        expectAtLeast(0.99, run("fossa-limpa", "burst").tierAttainment(loadRepositoryWorkload("fossa-limpa"), 0), "burst");
    }

    // Guards against admitted requests that miss their targets at 3 times the capacity.
    void admittedTopClassInBurst()
    {
        expectAtLeast(0.99, run("juicio-claro", "burst").classes.at("lookup").attainmentOfAdmitted(), "lookup");
        expectAtLeast(0.99, run("fossa-limpa", "burst").classes.at("driver").attainmentOfAdmitted(), "driver");
    }

    // Guards against a team that gets less than its share at 3 times the capacity.
    void worstTeamInBurstOfJuicioClaro()
    {
        expectAtLeast(0.9, run("juicio-claro", "burst").worstTeamFraction, "worst team");
    }

    // Guards against a team that sends 40 times its usual load and takes service from the others.
    void worstTeamBesideHugeTeamOfFossaLimpa()
    {
        expectAtLeast(0.9, run("fossa-limpa", "huge-team").worstTeamFraction, "worst team");
    }

    // Guards against unnecessary retries, hedges and preemptions.
    void wastedWorkIsBelowTarget()
    {
        for (const auto *name : {"juicio-claro", "fossa-limpa"}) {
            for (const auto *scenario : {"calm", "slow-engine", "lagging-reports", "huge-team"}) {
                expectBelow(0.02, run(name, scenario).wastedFraction(), std::string(name) + " " + scenario);
            }
        }
    }

    // Guards against starvation: each class is served even while the top tier could use the whole capacity.
    void lowerTiersAreServedInBurst()
    {
        for (const auto *name : {"juicio-claro", "fossa-limpa"}) {
            for (const auto *scenario : {"burst", "burst-top"}) {
                for (const auto &[kind, counts] : run(name, scenario).classes) {
                    CPPUNIT_ASSERT_MESSAGE(kind, counts.metTargets > 0);
                }
            }
        }
    }

    // Guards against harmless requests that are refused as crash suspects, and against a crashing request that is dispatched without limit.
    void crashingRequestIsContained()
    {
        for (const auto *name : {"juicio-claro", "fossa-limpa"}) {
            const auto workload = loadRepositoryWorkload(name);
            const auto &metrics = run(name, "crash");
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, metrics.falseSuspectRefusals);
            // In each data centre, three crashes for each host that the request reaches before the crash record does.
            CPPUNIT_ASSERT(metrics.engineCrashes <= 3UL * workload.hosts * workload.dataCentres.size());
        }
    }

    // Guards against a scheduler that does worse than a simple baseline under overload.
    void outperformsBaselinesInBurst()
    {
        for (const auto *name : {"juicio-claro", "fossa-limpa"}) {
            const auto workload = loadRepositoryWorkload(name);
            const auto &guavafield = run(name, "burst");
            for (const auto policy : {PolicyKind::TwoChoices, PolicyKind::StrictPriority, PolicyKind::WeightedFair}) {
                const auto baseline = runScenario(workload, findScenario(workload, "burst"), policy, seed);
                CPPUNIT_ASSERT(guavafield.tierAttainment(workload, 0) > baseline.tierAttainment(workload, 0));
                CPPUNIT_ASSERT(guavafield.value > baseline.value);
            }
        }
    }

private:
    static constexpr std::uint64_t seed = 1;

    static const Scenario &findScenario(const Workload &workload, const std::string &name)
    {
        const auto it = std::ranges::find(workload.scenarios, name, &Scenario::name);
        CPPUNIT_ASSERT(it != workload.scenarios.end());
        return *it;
    }

    /*! @brief Returns the metrics of a scenario; each scenario runs once and is cached for all tests. */
    static const RunMetrics &run(const std::string &name, const std::string &scenario)
    {
        static std::map<std::pair<std::string, std::string>, RunMetrics> runs;
        const auto it = runs.find({name, scenario});
        if (it != runs.end()) {
            return it->second;
        }
        const auto workload = loadRepositoryWorkload(name);
        return runs[{name, scenario}] = runScenario(workload, findScenario(workload, scenario), PolicyKind::Guavafield, seed);
    }

    static std::string failureMessage(double value, const std::string &what)
    {
        std::ostringstream text;
        text << what << " has " << value << " with seed " << seed;
        return text.str();
    }

    static void expectAtLeast(double bound, double value, const std::string &what)
    {
        CPPUNIT_ASSERT_MESSAGE(failureMessage(value, what), value >= bound);
    }

    static void expectBelow(double bound, double value, const std::string &what)
    {
        CPPUNIT_ASSERT_MESSAGE(failureMessage(value, what), value < bound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetsTest);

} // namespace guavafield::bench
