// Tests the decoder of the platform's rows: invalid input yields an error and no partial result.
#include "platform/directory_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

namespace guavafield {

namespace {

constexpr std::uint64_t testSeed = 20'261;

const std::string document = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","prefix":"/chat/","kind":"stream","timeoutMs":5000,"targetLatencyMs":1000,"priority":1,
   "service":"s1","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":300},
  {"name":"r2","host":"h.example","prefix":"/sum/","kind":"stream","timeoutMs":10000,"targetLatencyMs":1500,"priority":2,
   "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":true,"resumable":true},
  {"name":"r3","host":"h.example","prefix":"/order/","kind":"non_idempotent","timeoutMs":800,"service":"s2","new field":[1]}],
 "services":[{"name":"s1","healthPath":"/health","maxConns":370,"engine":{"slots":64,"kvCapacity":620762,"tokenKvBytes":18432,
   "linkMbps":88000.0},"scaling":{"min":1,"max":8,"bootS":4.0,"spotPrice":0.18,"zonePrices":{"a":1.0,"b":0.8}}},
  {"name":"s2","healthPath":"/health","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-one","key-two"],"priority":1},{"name":"t2","apiKeys":[]}]})";

const std::string serverEntry = R"({"service":"s1","address":"10.1.2.3:8080","zone":"a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,
 "seqNo":4,"born":1700000000000,"spot":true})";

} // namespace

class DirectoryCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryCodecTest);
    CPPUNIT_TEST(parsesWholeDocument);
    CPPUNIT_TEST(storesNoPlainTextKeys);
    CPPUNIT_TEST(parsesColdStartsAndHomeRegions);
    CPPUNIT_TEST(errorReportsPath);
    CPPUNIT_TEST(parsesServerEntries);
    CPPUNIT_TEST(serverEntryNamesTheVersionOfItsSoftware);
    CPPUNIT_TEST(rejectsInvalidServerEntries);
    CPPUNIT_TEST(survivesCorruptedInput);
    CPPUNIT_TEST(reportNamesTheStartOfItsProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against limits of cold upstreams and home regions that are not read, so that they would not be kept.
    void parsesColdStartsAndHomeRegions()
    {
        const std::string text = R"({"version":7,"routes":[
          {"name":"r1","host":"h","prefix":"/a/","kind":"idempotent","timeoutMs":500,"service":"s1","allowedRegions":["south","north","south"]},
          {"name":"r2","host":"h","prefix":"/b/","kind":"idempotent","timeoutMs":500,"service":"s1","allowedRegions":[]}],
         "services":[{"name":"s1","coldStartS":3.5,"coldPerS":8.0},{"name":"s2","coldStartS":0.0,"coldPerS":0.0},{"name":"s3"}],
         "tenants":[{"name":"t1","apiKeys":[],"allowedRegions":["north"]},{"name":"t2","apiKeys":[]}]})";
        const auto parsed = capture([&] { return m_codec.document(text); });
        CPPUNIT_ASSERT_MESSAGE(parsed.error.message + " " + parsed.error.place, parsed);
        const auto &configuration = *parsed.value;
        CPPUNIT_ASSERT(configuration.pools.at("s1").coldStart == Milliseconds{3'500} && configuration.pools.at("s1").coldPerSecond == 8);
        CPPUNIT_ASSERT(configuration.pools.at("s2").coldPerSecond == 0 && configuration.pools.at("s3").coldPerSecond == 0);
        CPPUNIT_ASSERT(configuration.routes.at("r1").allowedRegions == HomeRegions({"north", "south"}));
        CPPUNIT_ASSERT(!configuration.routes.at("r2").allowedRegions);
        CPPUNIT_ASSERT(configuration.teams.at("t1").allowedRegions == HomeRegions({"north"}) && !configuration.teams.at("t2").allowedRegions);
        const auto wrong = capture([&] { return m_codec.document(R"({"version":7,"tenants":[{"name":"t","apiKeys":[],"allowedRegions":"north"}]})"); });
        CPPUNIT_ASSERT(!wrong);
        const auto cold = capture([&] { return m_codec.upstream("u", std::string(serverEntry).replace(serverEntry.find(":0,"), 3, ":2500,")); });
        CPPUNIT_ASSERT(cold && cold.value->coldFor == Milliseconds{2'500});
        CPPUNIT_ASSERT(!capture([&] { return m_codec.upstream("u", serverEntry); }).value->coldFor);
    }

    // Guards against fields that are lost or misinterpreted when the document is converted to Configuration.
    void parsesWholeDocument()
    {
        const auto parsed = capture([&] { return m_codec.document(document); });
        CPPUNIT_ASSERT_MESSAGE(parsed.error.message + " " + parsed.error.place, parsed);
        const auto &configuration = *parsed.value;
        CPPUNIT_ASSERT_EQUAL(Revision{7}, configuration.revision);
        const auto &chat = std::get<PoolTarget>(configuration.routes.at("r1").target);
        CPPUNIT_ASSERT(chat.stream && chat.repeat == Repeat::Never && chat.rank == 1 && chat.gapTarget == Milliseconds{300});
        const auto &summary = std::get<PoolTarget>(configuration.routes.at("r2").target);
        CPPUNIT_ASSERT(summary.repeat == Repeat::Resume && summary.maxAttempts == 2 && summary.pools.size() == 2);
        CPPUNIT_ASSERT(configuration.routes.at("r2").open && summary.pools.at(1).weight == 10);
        CPPUNIT_ASSERT(!std::get<PoolTarget>(configuration.routes.at("r3").target).stream);
        CPPUNIT_ASSERT(configuration.pools.at("s1").engine->bytesPerToken == 18'432 && !configuration.pools.at("s2").engine);
        CPPUNIT_ASSERT(configuration.pools.at("s1").scaling->prices.at("b") == 0.8);
        CPPUNIT_ASSERT(configuration.callerLimits->idleTime == Milliseconds{15'000});
        CPPUNIT_ASSERT(configuration.keysRequired && configuration.keys.size() == 2);
        // Rank pairs are ordered by team first, then by route.
        CPPUNIT_ASSERT(configuration.ranks.front() == std::pair(0U, 0U) && configuration.ranks.back() == std::pair(1U, 2U));
    }

    // Guards against API keys that are kept in memory in plain text.
    void storesNoPlainTextKeys()
    {
        const auto parsed = capture([&] { return m_codec.document(document); });
        const auto digest = KeyHasher("secret").digest("key-one");
        CPPUNIT_ASSERT(parsed.value->keys.at(toHex(digest)).team == "t1");
        for (const auto &[id, key] : parsed.value->keys) {
            CPPUNIT_ASSERT(id.find("key-") == std::string::npos && key.id == id);
        }
    }

    // Guards against a document that is applied partially, or rejected without the path of the error.
    void errorReportsPath()
    {
        auto text = document;
        text.replace(text.find("\"non_idempotent\""), 16, "\"sometimes\"");
        const auto parsed = capture([&] { return m_codec.document(text); });
        CPPUNIT_ASSERT(!parsed);
        CPPUNIT_ASSERT_EQUAL(std::string("routes[2].kind"), parsed.error.place);
    }

    void parsesServerEntries()
    {
        const auto parsed = capture([&] { return m_codec.upstream("i-1", serverEntry); });
        CPPUNIT_ASSERT(parsed);
        const auto &upstream = parsed.value->upstream;
        CPPUNIT_ASSERT(upstream.address == "10.1.2.3" && upstream.port == 8080 && upstream.pool == "s1" && upstream.dataCentre == "a");
        CPPUNIT_ASSERT(upstream.kind == UpstreamKind::Cheap && !upstream.leaving && upstream.incarnation == 1'700'000'000'000);
        auto leaving = serverEntry;
        leaving.replace(leaving.find("\"ready\""), 7, "\"draining\",\"leaves_ms\":1800");
        const auto parsedLeaving = capture([&] { return m_codec.upstream("i-1", leaving); });
        CPPUNIT_ASSERT(parsedLeaving.value->upstream.leaving && parsedLeaving.value->leavesIn == Milliseconds{1'800});
    }

    // Guards against servers whose software version is not known, and against servers without one that are not used.
    void serverEntryNamesTheVersionOfItsSoftware()
    {
        const auto parsed = capture([&] { return m_codec.upstream("i-1", serverEntry); });
        CPPUNIT_ASSERT_EQUAL(SoftwareVersion("v1"), parsed.value->upstream.softwareVersion);
        auto unnamed = serverEntry;
        unnamed.replace(unnamed.find("\"version\":\"v1\","), 15, "");
        const auto parsedUnnamed = capture([&] { return m_codec.upstream("i-1", unnamed); });
        CPPUNIT_ASSERT(parsedUnnamed && parsedUnnamed.value->upstream.softwareVersion.empty());
    }

    // Guards against an entry of another format that is accepted as a server.
    void rejectsInvalidServerEntries()
    {
        for (const auto &[from, to] :
             std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"asleep\""},
                                                              {"\"ready\"", "7"},
                                                              {"\"10.1.2.3:8080\"", "\"10.1.2.3\""},
                                                              {"\"10.1.2.3:8080\"", "\"10.1.2.3:0\""},
                                                              {"\"10.1.2.3:8080\"", "\"10.1.2.3:99999\""},
                                                              {"\"10.1.2.3:8080\"", "\"10.1.2.3:18446744073709559696\""},
                                                              {"\"10.1.2.3:8080\"", "\"10.1.2.300:8080\""},
                                                              {"\"10.1.2.3:8080\"", "\"somewhere:8080\""},
                                                              {"\"slots\":64", "\"slots\":1e20"},
                                                              {"\"slots\":64", "\"slots\":4294967296"},
                                                              {"\"slots\":64", "\"slots\":1e400"},
                                                              {"\"slots\":64", "\"slots\":" + std::string(400, '9')},
                                                              {"1700000000000", "1e30"},
                                                              {"\"seqNo\":4", "\"leaves_ms\":1e18"},
                                                              {"\"seqNo\":4", "\"x\":" + std::string(20'000, '[') + std::string(20'000, ']')},
                                                              {"\"slots\":64", "\"slots\":\"many\""},
                                                              {"\"slots\":64", "\"slots\":-1"},
                                                              {"\"service\":\"s1\",", ""},
                                                              {"\"version\":\"v1\"", "\"version\":1"},
                                                              {"\"spot\":true", "\"spot\":\"yes\""},
                                                              {"{", "["}}) {
            auto text = serverEntry;
            text.replace(text.find(from), from.size(), to);
            CPPUNIT_ASSERT_MESSAGE(text, !capture([&] { return m_codec.upstream("i-1", text); }));
        }
    }

    // Guards against a crash or a partially parsed document when bytes are altered or cut off.
    void survivesCorruptedInput()
    {
        std::cout << " seed " << testSeed << std::flush;
        std::mt19937_64 random(testSeed);
        for (int n = 0; n < 4'000; ++n) {
            auto text = n % 2 == 0 ? document : serverEntry;
            for (auto changes = 1 + random() % 4; changes > 0; --changes) {
                text[random() % text.size()] = static_cast<char>(random());
            }
            text.resize(random() % 3 == 0 ? random() % text.size() : text.size());
            const auto parsed = capture([&] { return m_codec.document(text); });
            CPPUNIT_ASSERT(!parsed || parsed.value->revision > 0 || text.find("version\":0") != std::string::npos || text.size() == document.size());
            (void)capture([&] { return m_codec.upstream("i-1", text); });
        }
    }

    // Guards against a report that is taken for another process's because of what it leaves out or writes otherwise.
    void reportNamesTheStartOfItsProcess()
    {
        CPPUNIT_ASSERT_EQUAL(Incarnation{1'700'000'000'123}, platform::readStartTime(R"({"waiting":1,"born":1700000000123})").value_or(0));
        for (const auto *it : {"", "{", "[]", "7", "{}", R"({"born":null})", R"({"born":"7"})", R"({"born":-1})", R"({"born":0})", R"({"born":1e300})"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !platform::readStartTime(it));
        }
    }

private:
    DirectoryCodec m_codec{platform::directoryCodec(KeyHasher("secret"))};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryCodecTest);

} // namespace guavafield
