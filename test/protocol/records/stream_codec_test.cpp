// Tests of the rows about streams.
#include <guavafield/protocol/records/stream_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace guavafield {

class StreamCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamCodecTest);
    CPPUNIT_TEST(originsAreReadAsTheyWereWritten);
    CPPUNIT_TEST(versionsAreReadAsTheyWereWritten);
    CPPUNIT_TEST(malformedOriginsAreRejected);
    CPPUNIT_TEST(malformedVersionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void originsAreReadAsTheyWereWritten()
    {
        const OriginBatch batch{WallTime{std::chrono::seconds{1'000}},
                                {{{"text", "1"}, {0, 1, std::numeric_limits<StreamHash>::max()}}, {{"text", ""}, {0x0102'0304'0506'0708}}}};
        CPPUNIT_ASSERT(originBatchCodec().decode(originBatchCodec().encode(batch)) == batch);
    }

    void versionsAreReadAsTheyWereWritten()
    {
        const VersionRecord record{WallTime{std::chrono::seconds{1'000}}, 3, {{"", std::nullopt}, {"1", WallTime{std::chrono::seconds{900}}}}};
        CPPUNIT_ASSERT(versionRecordCodec().decode(versionRecordCodec().encode(record)) == record);
    }

    void malformedOriginsAreRejected()
    {
        for (const std::string text : {"",
                                       "[]",
                                       "{",
                                       R"({"groups":[]})",
                                       R"({"until_ms":-1,"groups":[]})",
                                       R"({"until_ms":9223372036854775807,"groups":[]})",
                                       R"({"until_ms":"1","groups":[]})",
                                       R"({"until_ms":1,"groups":{}})",
                                       R"({"until_ms":1,"groups":[1]})",
                                       R"({"until_ms":1,"groups":[{"pool":"p","streams":""}]})",
                                       R"({"until_ms":1,"groups":[{"pool":1,"version":"1","streams":""}]})",
                                       R"({"until_ms":1,"groups":[{"pool":"p","version":"1","streams":"AAAA"}]})",
                                       R"({"until_ms":1,"groups":[{"pool":"p","version":"1","streams":"~"}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !originBatchCodec().decode(text));
        }
    }

    void malformedVersionsAreRejected()
    {
        for (const std::string text : {"",
                                       "null",
                                       R"({"epoch":0,"versions":[]})",
                                       R"({"since_ms":0,"epoch":-1,"versions":[]})",
                                       R"({"since_ms":-1,"epoch":0,"versions":[]})",
                                       R"({"since_ms":0,"epoch":0,"versions":[{"version":"1"}]})",
                                       R"({"since_ms":0,"epoch":0,"versions":[{"version":1,"left_ms":null}]})",
                                       R"({"since_ms":0,"epoch":0,"versions":[{"version":"1","left_ms":"x"}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !versionRecordCodec().decode(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamCodecTest);

} // namespace guavafield
