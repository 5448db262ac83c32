// Determination of the floor by epochs.
#include <guavafield/coordination/usage/seal_floor.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

void SealFloor::onVersionKnown(RowVersion version, BillingWindow openWindow) noexcept
{
    const auto epoch = epochStart(version);
    if (!m_openAtFirstSight || epoch > m_newestEpoch) {
        m_newestEpoch = epoch;
        m_openAtFirstSight = openWindow;
    }
}

void SealFloor::beginTenure(Fence fence) noexcept
{
    m_record = SealFloorRecord{epochStart(fence), 0};
    m_claimed.reset();
}

std::optional<Transaction> SealFloor::claim(const Row &row, BillingWindow openWindow)
{
    if (!inEpoch(row.version)) {
        return std::nullopt;
    }
    const auto known = m_codec.decode(row.value);
    if (known && known->epoch == m_record.epoch) {
        m_record.window = known->window;
    } else {
        // Seals are written after the end of their window, so that a window which this host saw open in this epoch was not sealed in another.
        const auto open = m_newestEpoch == m_record.epoch ? m_openAtFirstSight.value_or(openWindow) : openWindow;
        m_record.window = std::max<BillingWindow>(open, 1) - 1;
    }
    Transaction transaction;
    transaction.conditions.push_back({m_key, row.version});
    transaction.writes.push_back({m_key, m_codec.encode(m_record)});
    return transaction;
}

void SealFloor::onClaimed(RowVersion version) noexcept
{
    if (version != 0 && inEpoch(version)) {
        m_claimed = version;
    }
}

} // namespace guavafield
