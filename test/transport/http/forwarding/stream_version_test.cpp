// Tests of streams over upstreams of several software versions, as callers see them.
#include "support/http/forward_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <mutex>

namespace guavafield::test {

namespace {

// Upstreams that name their software version in each event; the first that is called breaks its stream off.
class VersionedUpstreams
{
public:
    // The broken stream holds so many events.
    VersionedUpstreams(const std::vector<SoftwareVersion> &versions, int eventsBeforeBreak) : m_eventsBeforeBreak(eventsBeforeBreak)
    {
        std::vector<FakeUpstream *> pointers;
        for (const auto &it : versions) {
            m_upstreams.push_back(std::make_unique<FakeUpstream>([this, it](FakeCall &call) { answer(call, it); }));
            pointers.push_back(m_upstreams.back().get());
        }
        m_fixture = makeForwardFixture(pointers);
        for (std::size_t n = 0; n < versions.size(); ++n) {
            m_fixture->configuration.upstreams["u" + std::to_string(n + 1)].softwareVersion = versions[n];
        }
        m_fixture->start();
    }

    [[nodiscard]] PathFixture &fixture()
    {
        return *m_fixture;
    }
    // Versions that were called, in their order.
    [[nodiscard]] std::vector<SoftwareVersion> called()
    {
        const std::scoped_lock lock(m_mutex);
        return m_called;
    }

    static std::string eventOf(int id, const SoftwareVersion &version)
    {
        return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
    }

private:
    void answer(FakeCall &call, const SoftwareVersion &version)
    {
        const bool first = noteCall(version);
        beginEvents(call);
        const int last = first ? m_eventsBeforeBreak : 4;
        const auto resumed = std::string(call.request()["Last-Event-Id"]);
        for (int n = resumed.empty() ? 1 : std::stoi(resumed) + 1; n <= last; ++n) {
            call.send(chunk(eventOf(n, version)));
        }
        if (first) {
            call.drop();
        } else {
            call.send("0\r\n\r\n");
        }
    }

    bool noteCall(const SoftwareVersion &version)
    {
        const std::scoped_lock lock(m_mutex);
        m_called.push_back(version);
        return m_called.size() == 1;
    }

    int m_eventsBeforeBreak;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::vector<SoftwareVersion> m_called;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    std::unique_ptr<PathFixture> m_fixture;
};

std::string wholeStream(const SoftwareVersion &version)
{
    std::string text;
    for (int n = 1; n <= 4; ++n) {
        text += VersionedUpstreams::eventOf(n, version);
    }
    return text;
}

} // namespace

class HttpStreamVersionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpStreamVersionTest);
    CPPUNIT_TEST(brokenStreamIsWholeOfOneVersionOrBrokenOff);
    CPPUNIT_TEST(streamWithoutEventsGoesOnAtAnyVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer that is joined from two versions, and against one that hangs for want of its version.
    void brokenStreamIsWholeOfOneVersionOrBrokenOff()
    {
        int whole = 0;
        int brokenOff = 0;
        for (const auto &versions : std::vector<std::vector<SoftwareVersion>>{{"v1", "v1", "v2"}, {"v1", "v2", "v1"}, {"v2", "v1", "v1"}}) {
            VersionedUpstreams upstreams(versions, 2);
            const auto begun = std::chrono::steady_clock::now();
            const auto answer = upstreams.fixture().call(forwardRequest("/resume/x"));
            const auto called = upstreams.called();
            if (answer) {
                ++whole;
                CPPUNIT_ASSERT_EQUAL(wholeStream(called.front()), answer->body());
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, called.size());
            } else {
                ++brokenOff;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, called.size());
                CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < std::chrono::seconds{5});
            }
        }
        CPPUNIT_ASSERT_EQUAL(2, whole);
        CPPUNIT_ASSERT_EQUAL(1, brokenOff);
    }

    // Guards against a stream that is refused for its version though the caller has nothing of it.
    void streamWithoutEventsGoesOnAtAnyVersion()
    {
        VersionedUpstreams upstreams({"v1", "v2"}, 0);
        const auto answer = upstreams.fixture().call(forwardRequest("/resume/x"));
        CPPUNIT_ASSERT(answer.has_value());
        const auto called = upstreams.called();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, called.size());
        CPPUNIT_ASSERT(called[0] != called[1]);
        CPPUNIT_ASSERT_EQUAL(wholeStream(called[1]), answer->body());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStreamVersionTest);

} // namespace guavafield::test
