// In-memory transactional table of the platform stand-in.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace guavafield::standin {

/*! @brief Table of versioned rows with atomic conditional transactions. */
class TransactionalTable
{
public:
    /*! @brief HTTP status and body of the response to a call. */
    using Response = std::pair<unsigned, boost::json::value>;

    [[nodiscard]] Response transact(const boost::json::object &call);
    [[nodiscard]] Response read(const boost::json::object &call) const;
    [[nodiscard]] Response scan(const boost::json::object &call) const;

private:
    using Key = std::pair<std::string, std::string>;

    struct Row
    {
        // Kept after deletion so that a recreated row never reuses a version.
        std::uint64_t version{0};
        bool exists{false};
        boost::json::value value;
    };

    [[nodiscard]] bool isSatisfied(const boost::json::object &condition, const Row *row) const;
    [[nodiscard]] const Row *findRow(const Key &key) const;

    std::map<Key, Row> m_rows;
};

} // namespace guavafield::standin
