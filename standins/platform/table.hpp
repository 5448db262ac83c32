// Transactional table of the platform stand-in, in memory.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace guavafield::standin {

/*! @brief Rows with versions; transactions are atomic. */
class TransactionalTable
{
public:
    /*! @brief Answer to a call: an HTTP status and a body. */
    using Response = std::pair<unsigned, boost::json::value>;

    [[nodiscard]] Response transact(const boost::json::object &call);
    [[nodiscard]] Response read(const boost::json::object &call) const;
    [[nodiscard]] Response scan(const boost::json::object &call) const;

private:
    using Key = std::pair<std::string, std::string>;

    struct Row
    {
        // Survives deletion, so that a row that is written again never repeats a version.
        std::uint64_t version{0};
        bool exists{false};
        boost::json::value value;
    };

    [[nodiscard]] bool isSatisfied(const boost::json::object &condition, const Row *row) const;
    [[nodiscard]] const Row *findRow(const Key &key) const;

    std::map<Key, Row> m_rows;
};

} // namespace guavafield::standin
