// Tests of the bound on the bytes of answers that a host holds.
#include <guavafield/transport/http/answer_memory.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace guavafield {

namespace {

constexpr std::uint64_t limit = std::uint64_t{8} << 20U;
constexpr std::uint64_t answerLimit = std::uint64_t{4} << 20U;
constexpr std::uint64_t piece = 16'384;

} // namespace

class AnswerMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerMemoryTest);
    CPPUNIT_TEST(oneAnswerMayReachItsOwnLimit);
    CPPUNIT_TEST(manyAnswersShareTheBoundAndLeaveAPartFree);
    CPPUNIT_TEST(smallAnswersAreNeverRefused);
    CPPUNIT_TEST(shrunkAndEndedAnswersGiveBackTheirBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneAnswerMayReachItsOwnLimit()
    {
        AnswerReservation answer(m_memory, answerLimit);
        CPPUNIT_ASSERT(answer.resize(answerLimit));
        CPPUNIT_ASSERT(!answer.resize(answerLimit + 1));
    }

    // Answers without end must not add up to more than the host has, nor leave nothing for a sound one.
    void manyAnswersShareTheBoundAndLeaveAPartFree()
    {
        constexpr std::uint64_t count = 200;
        std::vector<std::unique_ptr<AnswerReservation>> endless;
        for (std::uint64_t n = 0; n < count; ++n) {
            endless.push_back(std::make_unique<AnswerReservation>(m_memory, answerLimit));
        }
        // They grow together, a piece at a time.
        bool grows = true;
        for (std::uint64_t bytes = piece; grows; bytes += piece) {
            grows = false;
            for (const auto &it : endless) {
                grows |= it->resize(bytes);
            }
        }
        CPPUNIT_ASSERT(m_memory.held() <= limit);
        AnswerReservation sound(m_memory, answerLimit);
        // Half of what is free at least, as its own size has to stay free beside it.
        CPPUNIT_ASSERT(sound.resize(limit / (count + 1) / 2));
    }

    void smallAnswersAreNeverRefused()
    {
        AnswerReservation large(m_memory, limit);
        CPPUNIT_ASSERT(large.resize(limit / 2));
        AnswerMemory full(0);
        AnswerReservation small(full, answerLimit);
        CPPUNIT_ASSERT(small.resize(AnswerReservation::uncountedBytes));
        CPPUNIT_ASSERT(!small.resize(AnswerReservation::uncountedBytes + 1));
    }

    void shrunkAndEndedAnswersGiveBackTheirBytes()
    {
        {
            AnswerReservation answer(m_memory, answerLimit);
            CPPUNIT_ASSERT(answer.resize(1'000'000));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'000'000}, m_memory.held());
            CPPUNIT_ASSERT(answer.resize(100'000));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{100'000}, m_memory.held());
            CPPUNIT_ASSERT(answer.resize(10));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_memory.held());
            CPPUNIT_ASSERT(answer.resize(50'000));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_memory.held());
    }

private:
    AnswerMemory m_memory{limit};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMemoryTest);

} // namespace guavafield
