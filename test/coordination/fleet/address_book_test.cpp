// Tests of the addresses to which reports are sent.
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
    // In a large fleet, hosts that get no reports from the reading host would all read the tables themselves.
    void rowsSupplyAddressesBeforeReports()
    {
        m_book.updateFromRow("h1", address(1), at(0));
        m_book.updateFromRow("h2", address(2), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_book.addresses(at(1)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_book.countResponsive(at(1)));
        m_book.updateFromReport("h1", address(1), false, at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_book.countResponsive(at(3)));
    }

    // Hosts that were replaced must not get datagrams forever.
    void silentHostsAreDroppedAndComeBack()
    {
        m_book.updateFromRow("h1", address(1), at(0));
        CPPUNIT_ASSERT(m_book.addresses(at(60)).empty());
        m_book.updateFromRow("h1", address(1), at(60));
        CPPUNIT_ASSERT(m_book.addresses(at(61)).empty());
        m_book.updateFromReport("h1", address(1), false, at(62));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_book.addresses(at(63)).size());
    }

    // Reports must not go to the previous address of a host.
    void newAddressReplacesOldAddress()
    {
        m_book.updateFromReport("h1", address(1), false, at(0));
        m_book.updateFromRow("h1", address(9), at(1));
        CPPUNIT_ASSERT(m_book.addresses(at(2)) == std::vector<PeerAddress>{address(9)});
    }

    // Hosts with slow links must not be chosen to relay reports to many others.
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
