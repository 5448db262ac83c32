// Tests of the configuration built from mirrored rows.
#include <guavafield/coordination/fleet/fleet_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

namespace {

// Document rows are "<revision>" or "bad"; upstream rows are "<pool>", "leaving" or "bad".
DirectoryCodec testCodec()
{
    DirectoryCodec codec;
    codec.documentKey = "document";
    codec.evacuationPrefix = "evacuate/";
    codec.document = [](std::string_view text) -> Result<Configuration> {
        if (text == "bad") {
            return fail(ResultCode::PlatformAnswerInvalid, "not a document");
        }
        Configuration result;
        result.revision = std::stoul(std::string(text));
        result.pools["p"].id = "p";
        return result;
    };
    codec.upstream = [](std::string_view id, std::string_view text) -> Result<UpstreamEntry> {
        if (text == "bad") {
            return fail(ResultCode::PlatformAnswerInvalid, "not an entry");
        }
        UpstreamEntry entry;
        entry.upstream.id = std::string(id);
        entry.upstream.leaving = text == "leaving";
        entry.upstream.pool = text == "leaving" ? "p" : std::string(text);
        return entry;
    };
    return codec;
}

} // namespace

class FleetDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetDirectoryTest);
    CPPUNIT_TEST(documentNeverReverts);
    CPPUNIT_TEST(invalidRowsAreSkipped);
    CPPUNIT_TEST(entryRenewedAfterOutageIsKept);
    CPPUNIT_TEST(entryIsRemovedAfterGracePeriod);
    CPPUNIT_TEST(removalWithoutOutageIsImmediate);
    CPPUNIT_TEST(removalWhileNobodyReadIsImmediate);
    CPPUNIT_TEST(leavingEntryIsNotKept);
    CPPUNIT_TEST(restoredTableBringsNoOlderDocument);
    CPPUNIT_TEST(upstreamThatARestoredTableLacksIsKeptUntilItWritesAgain);
    CPPUNIT_TEST(leavingUpstreamIsNotTakenBackFromARestoredTable);
    CPPUNIT_TEST(goneUpstreamOfARestoredTableIsNotUsed);
    CPPUNIT_TEST(upstreamThatWritesAfterARestorationIsUsed);
    CPPUNIT_TEST(evacuationIsInForceWhileItsRowIsThere);
    CPPUNIT_TEST(evacuationThatARestoredTableLacksIsKeptUntilItIsWrittenAgain);
    CPPUNIT_TEST(evacuationThatIsNotWrittenAgainEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_directory.emplace(testCodec());
        m_document = TableMirror();
        m_upstreams = TableMirror();
        m_now = SteadyTime{std::chrono::seconds{100}};
        m_version = 0;
        document("7");
        entry("u1", "p");
        CPPUNIT_ASSERT(update() != nullptr);
    }

    // A later row with an older revision and a document that cannot be decoded must not replace the document.
    void documentNeverReverts()
    {
        document("9");
        CPPUNIT_ASSERT_EQUAL(Revision{9}, update()->revision);
        document("8");
        CPPUNIT_ASSERT(update() == nullptr);
        document("bad");
        CPPUNIT_ASSERT(update() == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory->takeInvalidRows().size());
    }

    // An invalid entry must not invalidate the entries of other upstreams.
    void invalidRowsAreSkipped()
    {
        entry("u2", "bad");
        entry("u3", "unknown pool");
        entry("u4", "p");
        const auto configuration = update();
        CPPUNIT_ASSERT(configuration != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, configuration->upstreams.size());
        CPPUNIT_ASSERT(configuration->upstreams.contains("u1") && configuration->upstreams.contains("u4"));
        CPPUNIT_ASSERT_EQUAL(std::string("u2"), m_directory->takeInvalidRows().at(0).key);
    }

    // An outage must not remove running upstreams whose entries expired because they could not be renewed.
    void entryRenewedAfterOutageIsKept()
    {
        outage();
        remove("u1");
        CPPUNIT_ASSERT(update() == nullptr);
        m_now += Milliseconds{1'000};
        entry("u1", "p");
        CPPUNIT_ASSERT(update() == nullptr);
        CPPUNIT_ASSERT(!m_directory->nextWakeup().has_value());
    }

    // An upstream that stopped during an outage must not be kept forever.
    void entryIsRemovedAfterGracePeriod()
    {
        outage();
        remove("u1");
        CPPUNIT_ASSERT(update() == nullptr);
        const auto due = m_directory->nextWakeup();
        CPPUNIT_ASSERT(due.has_value() && *due - m_now <= std::chrono::seconds{3});
        m_now = *due;
        const auto configuration = update();
        CPPUNIT_ASSERT(configuration != nullptr && configuration->upstreams.empty());
    }

    // Without an outage there is no grace period: a removed upstream must get no further requests.
    void removalWithoutOutageIsImmediate()
    {
        m_now += Milliseconds{400};
        remove("u1");
        const auto configuration = update();
        CPPUNIT_ASSERT(configuration != nullptr && configuration->upstreams.empty());
    }

    // A host that hears nothing while the reading host is replaced must not take removed entries for expired ones and keep sending requests.
    void removalWhileNobodyReadIsImmediate()
    {
        m_now += Milliseconds{1'700};
        remove("u1");
        const auto configuration = update();
        CPPUNIT_ASSERT(configuration != nullptr && configuration->upstreams.empty());
    }

    // The missing entry of an upstream that announced that it leaves must not be taken for an expired one.
    void leavingEntryIsNotKept()
    {
        entry("u1", "leaving");
        CPPUNIT_ASSERT(update()->upstreams.at("u1").leaving);
        outage();
        remove("u1");
        const auto configuration = update();
        CPPUNIT_ASSERT(configuration != nullptr && configuration->upstreams.empty());
    }

    // The copy holds an older document; the operators write the newer one again, or the next.
    void restoredTableBringsNoOlderDocument()
    {
        document("9");
        CPPUNIT_ASSERT_EQUAL(Revision{9}, update()->revision);
        restoreDocument("8");
        CPPUNIT_ASSERT(update() == nullptr);
        // Its number is lower than that of the document before the restoration.
        document("11");
        CPPUNIT_ASSERT_EQUAL(Revision{11}, update()->revision);
    }

    void upstreamThatARestoredTableLacksIsKeptUntilItWritesAgain()
    {
        entry("u2", "p");
        CPPUNIT_ASSERT(update() != nullptr);
        restoreUpstreams({{"u1", "p"}});
        CPPUNIT_ASSERT(update() == nullptr);
        m_now += Milliseconds{1'000};
        entry("u2", "p");
        CPPUNIT_ASSERT(update() == nullptr);
        CPPUNIT_ASSERT(!m_directory->nextWakeup().has_value());
    }

    void leavingUpstreamIsNotTakenBackFromARestoredTable()
    {
        entry("u1", "leaving");
        CPPUNIT_ASSERT(update()->upstreams.at("u1").leaving);
        restoreUpstreams({{"u1", "p"}});
        CPPUNIT_ASSERT(update() == nullptr);
    }

    void goneUpstreamOfARestoredTableIsNotUsed()
    {
        remove("u1");
        CPPUNIT_ASSERT(update()->upstreams.empty());
        restoreUpstreams({{"u1", "p"}});
        CPPUNIT_ASSERT(update() == nullptr);
        m_now += Milliseconds{4'000};
        remove("u1");
        CPPUNIT_ASSERT(update() == nullptr);
    }

    void upstreamThatWritesAfterARestorationIsUsed()
    {
        remove("u1");
        CPPUNIT_ASSERT(update()->upstreams.empty());
        restoreUpstreams({{"u1", "p"}});
        CPPUNIT_ASSERT(update() == nullptr);
        m_now += Milliseconds{1'000};
        entry("u1", "p");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update()->upstreams.size());
    }

    // A value that cannot be read must not let requests in, and another key must not keep them out.
    void evacuationIsInForceWhileItsRowIsThere()
    {
        row("evacuate/a", "not an object");
        row("evacuated/b", "{}");
        const auto evacuated = update();
        CPPUNIT_ASSERT(evacuated != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evacuated->evacuated.size());
        CPPUNIT_ASSERT(evacuated->evacuated.contains("a"));
        document("8");
        CPPUNIT_ASSERT(update()->evacuated.contains("a"));
        row("evacuate/a", std::nullopt);
        CPPUNIT_ASSERT(update()->evacuated.empty());
    }

    // Guards against requests at an evacuated data centre while the operators write again what a restored table lost.
    void evacuationThatARestoredTableLacksIsKeptUntilItIsWrittenAgain()
    {
        row("evacuate/a", "{}");
        CPPUNIT_ASSERT(update() != nullptr);
        restoreDocument("7");
        CPPUNIT_ASSERT(update()->evacuated.contains("a"));
        m_now += Milliseconds{2'000};
        row("evacuate/a", "{}");
        CPPUNIT_ASSERT(update() == nullptr);
        m_now += std::chrono::seconds{10};
        CPPUNIT_ASSERT(update() == nullptr);
        CPPUNIT_ASSERT(!m_directory->nextWakeup().has_value());
    }

    // Guards against a data centre that stays empty for ever although its evacuation is over.
    void evacuationThatIsNotWrittenAgainEnds()
    {
        row("evacuate/a", "{}");
        CPPUNIT_ASSERT(update() != nullptr);
        restoreDocument("7");
        CPPUNIT_ASSERT(update()->evacuated.contains("a"));
        CPPUNIT_ASSERT(m_directory->nextWakeup().has_value());
        m_now = *m_directory->nextWakeup();
        CPPUNIT_ASSERT(update()->evacuated.empty());
    }

private:
    // The table comes back from a copy and counts from a lower number.
    void beginEpoch()
    {
        m_version = versionInEpoch(1, 1);
        m_now += Milliseconds{500};
    }
    void restoreDocument(const std::string &text)
    {
        beginEpoch();
        m_document.replace(std::vector<MirroredRow>{{"document", m_version, text}}, m_version, m_now);
    }
    void restoreUpstreams(const std::vector<std::pair<std::string, std::string>> &entries)
    {
        beginEpoch();
        std::vector<MirroredRow> rows;
        rows.reserve(entries.size());
        for (const auto &[id, text] : entries) {
            rows.push_back({id, m_version, text});
        }
        m_upstreams.replace(rows, m_version, m_now);
    }
    // Longer than entries last without being renewed.
    void outage()
    {
        m_now += std::chrono::seconds{4};
        m_directory->onReadFailed(m_now);
        m_now += std::chrono::seconds{1};
    }
    void document(const std::string &text)
    {
        ++m_version;
        m_document.apply(std::vector<MirroredRow>{{"document", m_version, text}}, m_version, m_now);
    }
    // A row of the document's table.
    void row(const std::string &key, const std::optional<std::string> &text)
    {
        ++m_version;
        m_document.apply(std::vector<MirroredRow>{{key, m_version, text}}, m_version, m_now);
    }
    void entry(const std::string &id, const std::string &text)
    {
        ++m_version;
        m_upstreams.apply(std::vector<MirroredRow>{{id, m_version, text}}, m_version, m_now);
    }
    void remove(const std::string &id)
    {
        ++m_version;
        m_upstreams.apply(std::vector<MirroredRow>{{id, m_version, std::nullopt}}, m_version, m_now);
    }
    std::shared_ptr<const Configuration> update()
    {
        return m_directory->update(m_document, m_upstreams, m_now);
    }

    std::optional<FleetDirectory> m_directory;
    TableMirror m_document;
    TableMirror m_upstreams;
    SteadyTime m_now{};
    RowVersion m_version{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDirectoryTest);

} // namespace guavafield
