// Tests of the addresses to which reports go.
#include <guavafield/coordination/fleet/address_book.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace guavafield {

class AddressBookTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AddressBookTest);
    CPPUNIT_TEST(rowsSupplyAddressesBeforeReports);
    CPPUNIT_TEST(silentHostsAreDroppedAndComeBack);
    CPPUNIT_TEST(newAddressReplacesOldAddress);
    CPPUNIT_TEST(hostsWithFastLinksComeFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a large fleet whose hosts do not hear the one that reads for them, and all read the tables themselves.
    void rowsSupplyAddressesBeforeReports()
    {
        m_book.updateFromRow("h1", address(1), at(0));
        m_book.updateFromRow("h2", address(2), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_book.addresses(at(1)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_book.countResponsive(at(1)));
        m_book.updateFromReport("h1", address(1), false, at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_book.countResponsive(at(3)));
    }

    // Guards against datagrams to hosts that have been replaced, for good.
    void silentHostsAreDroppedAndComeBack()
    {
        m_book.updateFromRow("h1", address(1), at(0));
        CPPUNIT_ASSERT(m_book.addresses(at(60)).empty());
        m_book.updateFromRow("h1", address(1), at(60));
        CPPUNIT_ASSERT(m_book.addresses(at(61)).empty());
        m_book.updateFromReport("h1", address(1), false, at(62));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_book.addresses(at(63)).size());
    }

    // Guards against reports to the address that a host had before.
    void newAddressReplacesOldAddress()
    {
        m_book.updateFromReport("h1", address(1), false, at(0));
        m_book.updateFromRow("h1", address(9), at(1));
        CPPUNIT_ASSERT(m_book.addresses(at(2)) == std::vector<PeerAddress>{address(9)});
    }

    // Guards against hosts with slow links that pass reports on to many others.
    void hostsWithFastLinksComeFirst()
    {
        m_book.updateFromReport("h1", address(1), true, at(0));
        m_book.updateFromRow("h2", address(2), at(0));
        m_book.updateFromReport("h3", address(3), false, at(0));
        CPPUNIT_ASSERT(m_book.addresses(at(1)).front() == address(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_book.addresses(at(1)).size());
    }

private:
    static SteadyTime at(int seconds)
    {
        return SteadyTime{std::chrono::seconds{1'000 + seconds}};
    }
    static PeerAddress address(std::uint16_t port)
    {
        return {0, 0xFFFF'7F00'0001, port};
    }

    AddressBook m_book;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressBookTest);

} // namespace guavafield
