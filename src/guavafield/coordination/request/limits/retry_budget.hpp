// Limits the additional load caused by retries and hedges.
#pragma once

#include <guavafield/coordination/request/decaying_sum.hpp>
#include <guavafield/state/types.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace guavafield {

/*!
 * @brief Retry budget per class: each request adds a fraction of a retry, and unused retries accumulate up to a limit.
 *
 * Few requests do not add up to a whole retry, so each class also has a small reserve that refills over time. It allows
 * retries on hosts with little traffic and adds at most the reserve plus its refill rate to the retries of a busy host.
 */
class RetryBudget
{
public:
    struct Settings
    {
        double retriesPerRequest{0.1};
        double maxBalance{10};
        double reserve{3};
        double reservePerSecond{0.1};
    };

    RetryBudget() = default;
    explicit RetryBudget(Settings settings) noexcept : m_settings(settings) { }

    /*! @brief Changes the limits; balances above the new limits are not cut but spent down. */
    void configure(Settings settings) noexcept
    {
        m_settings = settings;
    }

    void onRequest(const std::string &className, SteadyTime now)
    {
        auto &balance = balanceOf(className, now);
        balance = std::min(m_settings.maxBalance, balance + m_settings.retriesPerRequest);
    }

    /*! @brief Takes back onRequest() for a request that another host counts. */
    void onRelayed(const std::string &className, SteadyTime now)
    {
        auto &balance = balanceOf(className, now);
        balance = std::max(0.0, balance - m_settings.retriesPerRequest);
    }

    /*! @brief Returns whether take() would succeed. */
    [[nodiscard]] bool available(const std::string &className, SteadyTime now)
    {
        // Ten additions of 0.1 yield slightly less than 1 in floating point.
        return balanceOf(className, now) >= 1 - 1e-9;
    }

    /*! @brief Consumes one retry; returns false if the budget is exhausted. */
    [[nodiscard]] bool take(const std::string &className, SteadyTime now)
    {
        if (!available(className, now)) {
            return false;
        }
        balanceOf(className, now) -= 1;
        return true;
    }

private:
    struct Account
    {
        double balance{0};
        SteadyTime refilled{};
    };

    [[nodiscard]] double &balanceOf(const std::string &className, SteadyTime now)
    {
        auto &account = m_accounts.try_emplace(className, Account{m_settings.reserve, now}).first->second;
        if (account.balance < m_settings.reserve) {
            account.balance = std::min(m_settings.reserve, account.balance + m_settings.reservePerSecond * secondsBetween(account.refilled, now));
        }
        account.refilled = now;
        return account.balance;
    }

    Settings m_settings;
    StringMap<Account> m_accounts;
};

} // namespace guavafield
