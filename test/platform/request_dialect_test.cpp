// Tests of what callers' headers are read as.
#include "platform/request_dialect.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <utility>

namespace guavafield::platform {

class RequestDialectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestDialectTest);
    CPPUNIT_TEST(partIdsOfAnyLengthAreTaken);
    CPPUNIT_TEST(textThatIsNoPartIdIsRefused);
    CPPUNIT_TEST(rejectionsThatAnUpstreamBearsAreRead);
    CPPUNIT_TEST(loadIsReadFromAListThatHasGrown);
    CPPUNIT_TEST_SUITE_END();

public:
    // The pages set no length for the id of a part.
    void partIdsOfAnyLengthAreTaken()
    {
        for (const std::size_t length : {1U, 8U, 16U, 17U, 32U, 64U, 200U}) {
            const std::string id(length, 'a');
            const auto first = read(id + ":10,5:20,6:30");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, std::size_t{2}, first.prefixHashes.size());
            CPPUNIT_ASSERT_EQUAL(30U, first.prefixTokens.back());
            // The same id is the same part, and another id of its length another.
            CPPUNIT_ASSERT(first.sharedParts == read(id + ":10,5:20,6:30").sharedParts);
            CPPUNIT_ASSERT(first.sharedParts == read(std::string(length, 'A') + ":10,5:20,6:30").sharedParts);
            CPPUNIT_ASSERT(first.prefixHashes.front() != read(id.substr(1) + "b:10,5:20,6:30").prefixHashes.front());
        }
    }

    void textThatIsNoPartIdIsRefused()
    {
        for (const auto *parts : {":10", "xyz:10", "0x1f:10", "-1:10", "a", "a:", "a:b", "a:10,,b:20", "aaaaaaaaaaaaaaaaaaaaaaaaag:10"}) {
            CPPUNIT_ASSERT_MESSAGE(parts, !parse(parts));
        }
    }

    void rejectionsThatAnUpstreamBearsAreRead()
    {
        const auto read = [](const std::optional<std::string> &value) {
            boost::beast::http::response_header<> header;
            if (value) {
                header.set("Server-Brittle", *value);
            }
            return platform::requestDialect().readAnswer(header, "id").rejectionLimit;
        };
        CPPUNIT_ASSERT(read(std::nullopt) == unlimitedRate);
        CPPUNIT_ASSERT(read("3") == 3.0);
        CPPUNIT_ASSERT(read(" 0.5 ") == 0.5);
        for (const auto *it : {"", "many", "-1", "nan", "3 s"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !read(it));
        }
    }

    // A figure that is added to the list, or that cannot be read, must not lose those before it.
    void loadIsReadFromAListThatHasGrown()
    {
        const auto read = [](std::string_view value) {
            boost::beast::http::response_header<> header;
            header.set("X-Guavafield-Server-Load", value);
            return platform::requestDialect().readAnswer(header, "id").load;
        };
        for (const auto *it : {"3,1,8", "3, 1, 8, 250", "3,1,8,250,7,x", "3,1,8,fast", "3,1,8,-1", "3,1,8,0"}) {
            const auto load = read(it);
            CPPUNIT_ASSERT_MESSAGE(it, load && load->running == 3 && load->waiting == 1 && load->slots == 8);
        }
        CPPUNIT_ASSERT(!read("3,1,8")->slowdown && !read("3,1,8,fast")->slowdown && !read("3,1,8,0")->slowdown);
        CPPUNIT_ASSERT(read("3,1,8,250,7,x")->slowdown == 2.5);
        for (const auto *it : {"", "3", "3,1", "3,1,x", "3,,8,100"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !read(it));
        }
    }

private:
    static Outcome<ForwardEnvelope> parse(std::string_view parts)
    {
        boost::beast::http::fields fields;
        fields.set("X-Guavafield-Prefix-Hash", parts);
        return capture([&] { return requestDialect().readRequest(fields); });
    }
    static ForwardEnvelope read(const std::string &parts)
    {
        auto envelope = parse(parts);
        CPPUNIT_ASSERT_MESSAGE(parts, envelope);
        return std::move(*envelope.value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDialectTest);

} // namespace guavafield::platform
