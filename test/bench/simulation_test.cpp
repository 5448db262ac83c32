// Tests that simulation runs are reproducible and that errors in workload files are reported.
#include <bench/simulation/simulation.hpp>
#include <bench/workload_files.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

namespace guavafield::bench {

class SimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SimulationTest);
    CPPUNIT_TEST(sameSeedGivesSameFigures);
    CPPUNIT_TEST(arrivalsDoNotDependOnThePolicy);
    CPPUNIT_TEST(unknownKeyIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against results that depend on anything but the seed, such as addresses or the system clock.
    void sameSeedGivesSameFigures()
    {
        const auto workload = loadRepositoryWorkload("juicio-claro");
        for (const auto policy : {PolicyKind::Guavafield, PolicyKind::TwoChoices}) {
            const auto first = runScenario(workload, workload.scenarios[1], policy, 3);
            const auto second = runScenario(workload, workload.scenarios[1], policy, 3);
            CPPUNIT_ASSERT_EQUAL(first.goodTokens, second.goodTokens);
            CPPUNIT_ASSERT_EQUAL(first.wastedTokens, second.wastedTokens);
            CPPUNIT_ASSERT_EQUAL(first.worstTeamFraction, second.worstTeamFraction);
        }
    }

    // Guards against comparing policies under different loads.
    void arrivalsDoNotDependOnThePolicy()
    {
        const auto workload = loadRepositoryWorkload("fossa-limpa");
        const auto guavafield = runScenario(workload, workload.scenarios[0], PolicyKind::Guavafield, 2);
        const auto weightedFair = runScenario(workload, workload.scenarios[0], PolicyKind::WeightedFair, 2);
        for (const auto &[name, counts] : guavafield.classes) {
            CPPUNIT_ASSERT_EQUAL(counts.offered, weightedFair.classes.at(name).offered);
        }
    }

    // Guards against a misspelt key that is ignored, so that the default silently applies.
    void unknownKeyIsAnError()
    {
        const std::string path = std::string(std::getenv("GUAVAFIELD_BIN_DIR")) + "/unknown-key.ini";
        std::ofstream(path) << "[general]\ndata_centres=a\nhots=3\n";
        const auto outcome = capture([&] { return loadWorkload(path); });
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(outcome.error.code == ResultCode::SettingUnknown);
        CPPUNIT_ASSERT_EQUAL(std::string("general.hots"), outcome.error.place);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SimulationTest);

} // namespace guavafield::bench
