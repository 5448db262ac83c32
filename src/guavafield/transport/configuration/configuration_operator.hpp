// Operators' requests on the configuration, keys and status; free of the HTTP server.
#pragma once

#include <guavafield/state/key_hasher.hpp>
#include <guavafield/transport/configuration/configuration_service.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavafield {

/*! @brief What this host knows of a peer's configuration. */
struct PeerConfigurationStatus
{
    HostId host;
    DataCentreId dataCentre;
    Revision revision{0};
    // Age of this knowledge.
    Milliseconds age{0};
};

/*! @brief Answer to an operator; the body is JSON. */
struct OperatorReply
{
    unsigned status{200};
    std::string body;
};

/*! @brief Serves /admin/configuration, /admin/keys and /admin/status. */
class ConfigurationOperator
{
public:
    using PeerStatuses = std::function<std::vector<PeerConfigurationStatus>()>;

    /*!
     * @param host Id of this host, for the status.
     * @param hasher Digests new keys under the fleet secret.
     * @param peers Returns the known peers; may be empty.
     */
    ConfigurationOperator(std::shared_ptr<ConfigurationService> service, HostId host, KeyHasher hasher, PeerStatuses peers);

    /*!
     * @brief Answers a request whose operator token has been checked.
     * @param path Without the query, e.g. "/admin/keys/k1/withdraw".
     */
    [[nodiscard]] boost::asio::awaitable<OperatorReply> handle(std::string method, std::string path, std::string body);

private:
    [[nodiscard]] OperatorReply showConfiguration() const;
    [[nodiscard]] OperatorReply showKeys() const;
    [[nodiscard]] OperatorReply showStatus() const;
    [[nodiscard]] boost::asio::awaitable<OperatorReply> change(std::string body);
    [[nodiscard]] boost::asio::awaitable<OperatorReply> createKey(std::string body);
    [[nodiscard]] boost::asio::awaitable<OperatorReply> withdrawKey(KeyId id);

    std::shared_ptr<ConfigurationService> m_service;
    HostId m_host;
    KeyHasher m_hasher;
    PeerStatuses m_peers;
};

} // namespace guavafield
