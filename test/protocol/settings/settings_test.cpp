// Tests the parser of the settings file and the table of settings.
#include <guavafield/protocol/settings/parse_settings.hpp>
#include <guavafield/protocol/settings/settings_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace guavafield {

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(parsesEverySection);
    CPPUNIT_TEST(defaultsAreValid);
    CPPUNIT_TEST(reportsAllErrorsWithLineNumbers);
    CPPUNIT_TEST(reportsSyntaxErrors);
    CPPUNIT_TEST(requiresExactlyOneSecret);
    CPPUNIT_TEST(tableMatchesReferencePage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key whose value is stored in the wrong member.
    void parsesEverySection()
    {
        const auto digest = std::string(64, 'a');
        const auto outcome = parseSettings("; comment\n[host]\nid=h1\ndata_centre=evora\nregion=alentejo\nthreads=2\nfleet_secret=s\n"
                                           "[listen]\naddress=::1\ncaller_port=1\noperator_port=2\npeer_port=3\n"
                                           "[limits]\nbody_bytes=2048\nrequests=7\nanswer_time_ms=9\n"
                                           "[platform]\naddress=10.0.0.1\nport=99\n[peers]\nseeds=10.0.0.2:5, [::1]:6\n"
                                           "[operators]\ntoken_digest="
                                               + digest + "\n[shutdown]\nstop_limit_ms=11\n[log]\nlevel=warning\n",
                                           "x.ini");
        const auto *settings = std::get_if<DaemonSettings>(&outcome);
        CPPUNIT_ASSERT(settings != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("evora"), settings->host.dataCentre);
        CPPUNIT_ASSERT_EQUAL(2U, settings->host.threads);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{3}, settings->listen.peerPort);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2048}, settings->limits.bodyBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, settings->limits.requests);
        CPPUNIT_ASSERT(settings->limits.responseTimeout == Milliseconds{9});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{99}, settings->platform.port);
        CPPUNIT_ASSERT((settings->peers.seeds == std::vector<SocketAddress>{{"10.0.0.2", 5}, {"::1", 6}}));
        CPPUNIT_ASSERT(settings->operators.tokenDigest.has_value());
        CPPUNIT_ASSERT(settings->shutdown.shutdownTimeout == Milliseconds{11});
        CPPUNIT_ASSERT(settings->log.level == LogThreshold::Warning);
    }

    // Guards against a default that the parser would reject in a settings file.
    void defaultsAreValid()
    {
        const DaemonSettings defaults;
        std::string text;
        std::string_view section;
        for (const auto &it : settingsTable()) {
            const auto value = it.required ? std::string("x") : it.format(defaults);
            if (it.section != section) {
                section = it.section;
                text.append("[").append(section).append("]\n");
            }
            if (it.key == "fleet_secret") {
                text.append("fleet_secret=s\n");
            } else if (!value.empty()) {
                text.append(it.key).append("=").append(value).append("\n");
            }
        }
        const auto outcome = parseSettings(text, "defaults.ini");
        CPPUNIT_ASSERT_MESSAGE(text, std::holds_alternative<DaemonSettings>(outcome));
    }

    // Guards against an error that hides others or reports the wrong line.
    void reportsAllErrorsWithLineNumbers()
    {
        const auto errors = errorsOf("[host]\nid=h1\nfleet_secret=s\nthreads=0\nbogus=1\n[nosuch]\nx=1\n[limits]\nrequest_time_ms=1s\n[log]\nlevel=loud\n");
        const std::vector<std::string> expected{
            "x.ini:0: [host] data_centre: the setting is required (code 1003)",
            "x.ini:4: [host] threads: must be 1 to 64 (code 1004)",
            "x.ini:5: [host] bogus: unknown key (code 1002)",
            "x.ini:6: [nosuch] unknown section (code 1002)",
            "x.ini:9: [limits] request_time_ms: must be 1 to 86400000 (code 1004)",
            "x.ini:11: [log] level: must be debug, info, warning, error (code 1004)",
        };
        CPPUNIT_ASSERT_EQUAL(expected.size(), errors.size());
        for (std::size_t n = 0; n < expected.size(); ++n) {
            CPPUNIT_ASSERT_EQUAL(expected[n], errors[n]);
        }
    }

    // Guards against a file that is not INI being accepted as an empty one.
    void reportsSyntaxErrors()
    {
        const auto errors = errorsOf("[host]\nid=h1\nnonsense\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT(errors.front().starts_with("x.ini:3: "));
        CPPUNIT_ASSERT(errors.front().ends_with("(code 1001)"));
    }

    // Guards against a missing fleet secret, and against two secrets of which one is silently ignored.
    void requiresExactlyOneSecret()
    {
        const std::string host = "[host]\nid=h1\ndata_centre=d\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errorsOf(host).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errorsOf(host + "fleet_secret=a\nfleet_secret_file=b\n").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errorsOf(host + "fleet_secret=\n").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, errorsOf(host + "fleet_secret_file=b\n").size());
    }

    // Guards against a setting that is added, renamed or removed without updating the reference page.
    void tableMatchesReferencePage()
    {
        const char *root = std::getenv("GUAVAFIELD_SOURCE_DIR");
        CPPUNIT_ASSERT_MESSAGE("GUAVAFIELD_SOURCE_DIR is not set", root != nullptr);
        const auto path = std::string(root) + "/docs/reference/settings.md";
        const auto expected =
            "# Settings\n\nOne INI file, named by `guavafieldd --settings FILE` and checked as a whole at start; `--check` checks it and exits. "
            "Unknown sections and keys are faults. `guavafieldd --list-settings` writes this table. Regenerate with "
            "`GUAVAFIELD_UPDATE=1 ctest --preset release -R protocol_settings`.\n\n"
            + formatSettingsTable();
        if (std::getenv("GUAVAFIELD_UPDATE") != nullptr) {
            std::ofstream(path) << expected;
        }
        std::ifstream file(path);
        const std::string actual{std::istreambuf_iterator<char>(file), {}};
        CPPUNIT_ASSERT_EQUAL(expected, actual);
    }

private:
    static std::vector<std::string> errorsOf(const std::string &text)
    {
        const auto outcome = parseSettings(text, "x.ini");
        std::vector<std::string> errors;
        if (const auto *list = std::get_if<std::vector<SettingsError>>(&outcome)) {
            std::ranges::transform(*list, std::back_inserter(errors), formatSettingsError);
        }
        return errors;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace guavafield
