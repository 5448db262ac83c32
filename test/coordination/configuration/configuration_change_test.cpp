// Tests of validation and application: references exist, changes are atomic, and withdrawn keys stay withdrawn.
#include <guavafield/coordination/configuration/configuration_change.hpp>

#include <support/configuration_samples.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace guavafield {

namespace {

using Edit = std::function<void(ConfigurationChange &)>;

/*! @brief Returns the fault paths of an edited change to a configuration with 2 teams, 1 model and 1 service. */
std::vector<std::string> faultPaths(const Edit &edit)
{
    auto base = test::sampleConfiguration(2, 1);
    base.upstreams.emplace("plain", test::sampleUpstream("plain", {}));
    base.routes.emplace("plain", Route{"plain", "/plain/", ServiceTarget{{"plain"}, true}, true, "team-1", Milliseconds(1'000)});
    ConfigurationChange change;
    edit(change);
    std::vector<std::string> paths;
    for (const auto &it : validateChange(base, change)) {
        CPPUNIT_ASSERT_EQUAL(ResultCode::ConfigurationInvalid, it.code);
        paths.push_back(it.path);
    }
    const auto unchanged = applyChange(base, change);
    CPPUNIT_ASSERT_EQUAL(paths.empty(), std::holds_alternative<Configuration>(unchanged));
    return paths;
}

void assertPaths(const std::vector<std::string> &expected, const Edit &edit)
{
    const auto paths = faultPaths(edit);
    std::string text;
    for (const auto &it : paths) {
        text += it + " ";
    }
    CPPUNIT_ASSERT_MESSAGE(text, paths == expected);
}

} // namespace

class ConfigurationChangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationChangeTest);
    CPPUNIT_TEST(invalidContractsAreRejected);
    CPPUNIT_TEST(danglingReferencesAreRejected);
    CPPUNIT_TEST(removalsOfReferencedItemsAreRejected);
    CPPUNIT_TEST(keyIdentityIsImmutable);
    CPPUNIT_TEST(invalidAndDuplicateIdsAreRejected);
    CPPUNIT_TEST(itemsCanBeReplacedInOneChange);
    CPPUNIT_TEST(differenceYieldsTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against contracts from which no limit can be derived.
    void invalidContractsAreRejected()
    {
        assertPaths({"upsert.teams[0].contract.share",
                     "upsert.teams[0].contract.classes[0].tier",
                     "upsert.teams[0].contract.classes[1].name",
                     "upsert.teams[0].contract.classes[1].total_ms",
                     "upsert.teams[1].contract.tier",
                     "upsert.teams[1].contract.classes"},
                    [](ConfigurationChange &change) {
                        auto bad = test::sampleTeam("bad", 0);
                        bad.contract.classes[0].tier = 0;
                        bad.contract.classes[1].name = "interactive";
                        bad.contract.classes[1].totalTarget = Milliseconds(1);
                        auto empty = test::sampleTeam("empty");
                        empty.contract.tier = tierCount;
                        empty.contract.classes.clear();
                        change.upsert.teams = {bad, empty};
                    });
    }

    // Guards against references to items that do not exist.
    void danglingReferencesAreRejected()
    {
        assertPaths({"upsert.keys[0].team", "upsert.routes[0].open_team", "upsert.routes[1].upstreams[0]", "upsert.upstreams[0].models[0]"},
                    [](ConfigurationChange &change) {
                        change.upsert.keys = {test::sampleKey("k", "nobody")};
                        change.upsert.routes = {{"a", "/a/", ModelTarget{}, true, "nobody", Milliseconds(1)},
                                                {"b", "/b/", ServiceTarget{{"model-0-0"}, true}, false, {}, Milliseconds(1)}};
                        change.upsert.upstreams = {test::sampleUpstream("u", {"none"})};
                    });
        assertPaths({"upsert.routes[0].prefix"}, [](ConfigurationChange &change) {
            change.upsert.routes = {{"a", "/plain/", ModelTarget{}, false, {}, Milliseconds(1)}};
        });
    }

    // Guards against removals and replacements that leave dangling references.
    void removalsOfReferencedItemsAreRejected()
    {
        assertPaths({"remove.teams[0]", "remove.teams[1]", "remove.models[0]", "remove.upstreams[0]"}, [](ConfigurationChange &change) {
            change.remove.teams = {"team-0", "team-1"};
            change.remove.keys = {"team-1-a", "team-1-b", "team-1-c"};
            change.remove.models = {"model-0"};
            change.remove.upstreams = {"plain"};
        });
        assertPaths({"upsert.upstreams[0].models"},
                    [](ConfigurationChange &change) { change.upsert.upstreams = {test::sampleUpstream("plain", {"model-0"})}; });
        assertPaths({"remove.teams[0]"}, [](ConfigurationChange &change) { change.remove.teams = {"nobody"}; });
    }

    // Guards against reactivating a withdrawn key, and against reusing a key id, by which gossip identifies keys.
    void keyIdentityIsImmutable()
    {
        auto configuration = test::sampleConfiguration(2, 1);
        configuration.keys.at("team-0-a").withdrawn = true;
        ConfigurationChange change;
        change.upsert.keys = {configuration.keys.at("team-0-a"), configuration.keys.at("team-0-b"), configuration.keys.at("team-0-c")};
        change.upsert.keys[0].withdrawn = false;
        change.upsert.keys[1].digest = {};
        change.upsert.keys[2].team = "team-1";
        const auto faults = validateChange(configuration, change);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("upsert.keys[0].withdrawn"), faults[0].path);
        CPPUNIT_ASSERT_EQUAL(std::string("upsert.keys[1].digest"), faults[1].path);
        CPPUNIT_ASSERT_EQUAL(std::string("upsert.keys[2].team"), faults[2].path);
    }

    // Guards against changes whose result depends on the order of their items.
    void invalidAndDuplicateIdsAreRejected()
    {
        // The removal has two faults: the team is also inserted, and keys refer to it.
        assertPaths({"upsert.teams[1].id", "upsert.teams[2].id", "remove.teams[0]", "remove.teams[0]"}, [](ConfigurationChange &change) {
            change.upsert.teams = {test::sampleTeam("team-0"), test::sampleTeam("team-0"), test::sampleTeam("a/b")};
            change.remove.teams = {"team-0"};
        });
    }

    // Guards against rejecting a change that is valid as a whole but not in each intermediate state.
    void itemsCanBeReplacedInOneChange()
    {
        assertPaths({}, [](ConfigurationChange &change) {
            change.upsert.teams = {test::sampleTeam("new")};
            change.upsert.keys = {test::sampleKey("new-key", "new")};
            change.upsert.routes = {{"moved", "/plain/", ServiceTarget{{"plain-2"}, true}, true, "new", Milliseconds(1'000)}};
            change.upsert.upstreams = {test::sampleUpstream("plain-2", {})};
            change.remove.routes = {"plain"};
            change.remove.upstreams = {"plain"};
            change.remove.keys = {"team-1-a", "team-1-b", "team-1-c"};
            change.remove.teams = {"team-1"};
        });
    }

    // Guards against applying a whole document and leaving an old item in force.
    void differenceYieldsTarget()
    {
        const auto from = test::sampleConfiguration(3, 2);
        auto to = test::sampleConfiguration(2, 1);
        to.teams.at("team-0").contract.share = 7;
        const auto result = applyChange(from, difference(from, to));
        CPPUNIT_ASSERT(std::holds_alternative<Configuration>(result));
        CPPUNIT_ASSERT(isEmpty(difference(std::get<Configuration>(result), to)));
        CPPUNIT_ASSERT_EQUAL(from.revision + 1, std::get<Configuration>(result).revision);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationChangeTest);

} // namespace guavafield
