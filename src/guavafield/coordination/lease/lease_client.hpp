// Client of one lease: acquires, renews and releases it, and decides whether this host may send under it.
#pragma once

#include <guavafield/coordination/lease/lease_record.hpp>
#include <guavafield/coordination/table/table_io.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavafield {

/*! @brief Settings of a LeaseClient. */
struct LeaseSettings
{
    std::string name;
    LeaseHolder self;
    Milliseconds term{10'000};
    Milliseconds renewEvery{3'000};
    // Delay after a failed operation, and the interval between reads of the list of hosts while earlier holders are unreleased.
    Milliseconds retryEvery{1'000};
    // Whether the row lists earlier holders until they have released; required by SendRule::SoleHolder.
    bool recordsUnreleased{true};
    // Delay before the driver's first step, so that the hosts can discover each other and the holder.
    Milliseconds firstStepDelay{0};
    // Additional delay per rank, so that only one host tries to acquire an expired lease, and not all at once.
    Milliseconds takeOverDelayPerRank{500};
};

/*! @brief Read the platform's list of hosts and pass it to onHosts(). */
struct ListHostsAction
{
};

/*! @brief The host has acquired, regained or lost the lease; used for logging and counters only. */
struct LeaseChanged
{
    bool held{false};
    Fence fence{0};
};

using LeaseAction = std::variant<TransactAction, ReadAction, ListHostsAction, LeaseChanged>;

/*! @brief Condition under which a holder may send. */
enum class SendRule : std::uint8_t {
    // Holding the lease suffices: the receiver checks fencing tokens, or no earlier holder can reach it.
    Holder,
    // Every earlier holder must have released as well, because the receiver ignores fencing tokens.
    SoleHolder,
};

/*!
 * @brief Acquires, renews and releases one lease.
 *
 * Time is the host's own steady clock, which may run up to 5% fast or slow. Each action gets one reply through the on...() functions;
 * at most one table operation is outstanding. Not safe for several threads.
 */
class LeaseClient
{
public:
    LeaseClient(LeaseSettings settings, LeaseCodec codec);

    /*! @brief Returns the actions that are due; call several times a second and after each reply. */
    [[nodiscard]] std::vector<LeaseAction> step(SteadyTime now);
    [[nodiscard]] std::vector<LeaseAction> onTransaction(const TransactionReply &reply, SteadyTime now);
    [[nodiscard]] std::vector<LeaseAction> onRead(const ReadReply &reply, SteadyTime now);
    /*! @brief Takes the platform's list of hosts; empty if it could not be read. */
    [[nodiscard]] std::vector<LeaseAction> onHosts(std::span<const ListedHost> hosts, SteadyTime now);

    /*! @brief Sets this host's rank among the candidates, see candidateRank(). */
    void setRank(std::uint32_t rank) noexcept;
    /*! @brief Another host announces that it holds the lease. While announcements continue, this host does not read the row. */
    void onHolderAnnounced(std::string_view holder, Fence fence, SteadyTime now);
    /*! @brief A host announces that it does not hold the lease. */
    void onNonHolderAnnounced(std::string_view host) noexcept;
    /*! @brief An operator confirms that this incarnation of a host will never send again. */
    void confirmGone(const LeaseHolder &holder);
    /*! @brief Stops renewing and releases the lease as soon as no send is in progress. */
    void stop() noexcept;
    /*! @brief Returns whether stop() has completed: the row lists this host neither as holder nor as unreleased. */
    [[nodiscard]] bool stopped() const noexcept;

    /*! @brief Returns the fencing token while the lease is held. */
    [[nodiscard]] std::optional<Fence> fence(SteadyTime now) const noexcept;
    /*! @brief Returns whether an order may be sent to a receiver that ignores fencing tokens. */
    [[nodiscard]] bool mayOrderWithoutFencing(SteadyTime now) const noexcept;

    /*!
     * @brief Starts a send; the lease is not released before endSend().
     *
     * A process that is paused between this check and the send therefore remains listed as an unreleased holder.
     * @return The fencing token to send, or nothing if the rule forbids the send.
     */
    [[nodiscard]] std::optional<Fence> beginSend(SendRule rule, SteadyTime now) noexcept;
    /*! @brief The send has ended: it was answered, or its connection is closed. */
    void endSend() noexcept;

    /*! @brief Returns the earlier holders that have not released, as last read. They block sends to receivers that ignore fencing tokens. */
    [[nodiscard]] const std::vector<LeaseHolder> &unreleased() const noexcept;

private:
    [[nodiscard]] bool holds(SteadyTime now) const noexcept;
    [[nodiscard]] bool isRecordedHolder() const noexcept;
    [[nodiscard]] bool holderRecentlyAnnounced(SteadyTime now) const noexcept;
    [[nodiscard]] SteadyTime takeOverDueAt() const noexcept;
    // Delays the next call after a failed one.
    void backOff(SteadyTime now) noexcept;
    // Whether a host that has not read the row yet can expect to hear who holds the lease.
    [[nodiscard]] bool waitsForAnnouncement(SteadyTime now) const noexcept;
    [[nodiscard]] std::vector<LeaseAction> advance(SteadyTime now);
    [[nodiscard]] std::optional<LeaseAction> nextOperation(SteadyTime now);
    [[nodiscard]] std::optional<LeaseAction> nextAsHolder(SteadyTime now);
    [[nodiscard]] std::optional<LeaseAction> nextAsCandidate(SteadyTime now);
    [[nodiscard]] bool hasConfirmedUnreleased() const noexcept;
    [[nodiscard]] LeaseAction read(SteadyTime now);
    [[nodiscard]] LeaseAction takeOver(SteadyTime now);
    [[nodiscard]] LeaseAction writeAsHolder(LeaseRecord record, SteadyTime now);
    [[nodiscard]] LeaseAction write(LeaseRecord record);
    [[nodiscard]] std::string uniqueId();
    void removeConfirmedGone(LeaseRecord &record) const;
    void applyRow(const Row &row, SteadyTime now);
    void applyRecord(LeaseRecord record, RowVersion version, SteadyTime now);

    LeaseSettings m_settings;
    LeaseCodec m_codec;
    RowKey m_key;
    std::uint32_t m_rank{0};
    bool m_stopping{false};

    // The row as last read or written; version 0 and an empty record if it is absent.
    LeaseRecord m_record;
    RowVersion m_version{0};
    bool m_rowKnown{false};
    // The record was written in an earlier epoch of the table. Later writes are lost, so that other hosts may have held the lease since.
    bool m_recordLapsed{false};
    // This host held the lease when it found that out, so that no other host held it.
    bool m_heldWhenLapsed{false};
    // When this host first saw the current holder and renewal of the row.
    SteadyTime m_unchangedSince{};

    // The host that last announced that it holds the lease, and when.
    HostId m_announcedHolder;
    Fence m_announcedFence{0};
    // Fence of the lease whose holder has announced that it no longer holds it.
    std::optional<Fence> m_endedFence;
    std::optional<SteadyTime> m_holderAnnouncedAt;

    // Renewals that were sent and are not known to have failed, with the time just before each was sent.
    std::map<std::string, SteadyTime> m_pendingRenewals;
    std::uint64_t m_lastId{0};
    // Record that the outstanding transaction writes.
    LeaseRecord m_pendingRecord;
    bool m_outstanding{false};
    bool m_mustRead{true};
    // Failed calls in a row.
    int m_failures{0};
    SteadyTime m_firstStep{};
    SteadyTime m_notBefore{};
    SteadyTime m_lastRead{};
    SteadyTime m_nextRenewal{};

    // End of the lease on this host's clock; the epoch if it does not hold the lease.
    SteadyTime m_validUntil{};
    bool m_reportedHeld{false};
    std::uint32_t m_sendsInProgress{0};

    std::vector<LeaseHolder> m_confirmedGone;
    bool m_listOutstanding{false};
    SteadyTime m_nextList{};
};

} // namespace guavafield
