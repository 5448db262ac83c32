// Tests of commits: concurrent commits have one winner, and a lost reply neither hides nor repeats a change.
#include <support/configuration_host.hpp>
#include <support/configuration_samples.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace guavafield {

using test::CommitRunner;
using test::MemoryTable;

class ConfigurationCommitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationCommitTest);
    CPPUNIT_TEST(conflictReportsWinningRevision);
    CPPUNIT_TEST(lostReplyAfterCommitIsAccepted);
    CPPUNIT_TEST(outageBeforeWriteIsUnavailable);
    CPPUNIT_TEST(permanentReplyLossIsUnknown);
    CPPUNIT_TEST(rejectedRetryAfterCommitIsAccepted);
    CPPUNIT_TEST(supersededCommitWithLostReplyIsAccepted);
    CPPUNIT_TEST(racingCommitsHaveOneWinner);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two commits that both succeed as revision 1, and against a conflict without the winning revision.
    void conflictReportsWinningRevision()
    {
        MemoryTable table;
        CommitRunner first(table, "a", 0, test::teamChange("a"));
        CommitRunner second(table, "b", 0, test::teamChange("b"));
        first.advance();
        second.advance();
        CPPUNIT_ASSERT_EQUAL(Revision{1}, std::get<CommitAccepted>(first.run()).revision);
        CPPUNIT_ASSERT_EQUAL(Revision{1}, std::get<CommitConflict>(second.run()).current);
        CommitRunner late(table, "c", 0, test::teamChange("c"));
        CPPUNIT_ASSERT_EQUAL(Revision{1}, std::get<CommitConflict>(late.run()).current);
    }

    // Guards against reporting a failure for a change that was committed but whose reply was lost.
    void lostReplyAfterCommitIsAccepted()
    {
        MemoryTable table;
        table.loseReplies(1);
        CommitRunner runner(table, "a", 0, test::teamChange("a"));
        CPPUNIT_ASSERT_EQUAL(Revision{1}, std::get<CommitAccepted>(runner.run()).revision);
        CPPUNIT_ASSERT_EQUAL(RowVersion{1}, table.peek(configurationHeadKey()).version);
    }

    // Guards against an unknown outcome although nothing was written.
    void outageBeforeWriteIsUnavailable()
    {
        MemoryTable table;
        CommitRunner runner(table, "a", 0, test::teamChange("a"));
        runner.advance();
        table.setOutage(true);
        CPPUNIT_ASSERT(std::holds_alternative<CommitUnavailable>(runner.run()));
        CPPUNIT_ASSERT_EQUAL(RowVersion{0}, table.peek(configurationHeadKey()).version);
    }

    // Guards against a definite outcome without evidence, and against retrying without end.
    void permanentReplyLossIsUnknown()
    {
        MemoryTable table;
        table.loseReplies(1);
        CommitRunner runner(table, "a", 0, test::teamChange("a"));
        runner.advance();
        runner.advance();
        table.setOutage(true);
        CPPUNIT_ASSERT(std::holds_alternative<CommitOutcomeUnknown>(runner.run()));
    }

    // Guards against reporting "unavailable" for a change whose first write took effect and whose retry was rejected.
    void rejectedRetryAfterCommitIsAccepted()
    {
        MemoryTable table;
        table.staleReads();
        table.loseReplies(1);
        CommitRunner runner(table, "a", 0, test::teamChange("a"));
        for (int n = 0; n < 3; ++n) {
            runner.advance();
        }
        CPPUNIT_ASSERT(std::holds_alternative<CommitWrite>(runner.current()));
        table.setOutage(true);
        runner.advance();
        table.setOutage(false);
        table.freshReads();
        CPPUNIT_ASSERT_EQUAL(Revision{1}, std::get<CommitAccepted>(runner.run()).revision);
    }

    // Guards against reporting a conflict for a change that was committed and then followed by another one.
    void supersededCommitWithLostReplyIsAccepted()
    {
        MemoryTable table;
        table.loseReplies(1);
        CommitRunner runner(table, "a", 0, test::teamChange("a"));
        runner.advance();
        runner.advance();
        CPPUNIT_ASSERT_EQUAL(Revision{2}, test::commitNext(table, test::teamChange("b")));
        CPPUNIT_ASSERT_EQUAL(Revision{1}, std::get<CommitAccepted>(runner.run()).revision);
    }

    // Guards against two winners or none under any interleaving of concurrent commits, outages, stale reads and lost replies.
    void racingCommitsHaveOneWinner()
    {
        const auto property = [](const std::vector<std::uint8_t> &schedule) {
            constexpr std::size_t operators = 4;
            MemoryTable table;
            std::vector<CommitRunner> runners;
            for (std::size_t n = 0; n < operators; ++n) {
                runners.emplace_back(table, "id-" + std::to_string(n), 0, test::teamChange("t" + std::to_string(n)));
            }
            for (const auto it : schedule) {
                table.setOutage(it % 16 == 15);
                table.loseReplies(it % 16 >= 10 ? 1 : 0);
                if (it % 16 < 2) {
                    table.staleReads();
                } else if (it % 16 < 4) {
                    table.freshReads();
                }
                runners[it / 16 % operators].advance();
            }
            table.setOutage(false);
            table.freshReads();
            table.loseReplies(0);
            const auto winner = capture([&] { return parseHead(table.peek(configurationHeadKey())); }).value->id;
            std::size_t accepted = 0;
            for (std::size_t n = 0; n < operators; ++n) {
                const auto end = runners[n].run();
                const bool won = std::holds_alternative<CommitAccepted>(end);
                accepted += won ? 1 : 0;
                RC_ASSERT(!std::holds_alternative<CommitUnavailable>(end) || winner != "id-" + std::to_string(n));
                if (const auto *conflict = std::get_if<CommitConflict>(&end)) {
                    RC_ASSERT(conflict->current == Revision{1});
                    RC_ASSERT(winner != "id-" + std::to_string(n));
                }
            }
            const auto unfinished = std::ranges::any_of(runners, [](const CommitRunner &it) {
                return std::holds_alternative<CommitOutcomeUnknown>(it.current()) || std::holds_alternative<CommitUnavailable>(it.current());
            });
            RC_ASSERT(accepted == 1 || (accepted == 0 && unfinished));
            RC_ASSERT(table.peek(configurationHeadKey()).version <= RowVersion{1});
        };
        CPPUNIT_ASSERT(rc::check("racing commits have one winner", property));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCommitTest);

} // namespace guavafield
