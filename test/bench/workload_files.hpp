// Loads the workload files in bench/workloads.
#pragma once

#include <bench/simulation/workload.hpp>

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <string>
#include <utility>

namespace guavafield::bench {

/*! @brief Loads bench/workloads/<name>.ini. */
inline Workload loadRepositoryWorkload(const std::string &name)
{
    const auto path = std::string(std::getenv("GUAVAFIELD_SOURCE_DIR")) + "/bench/workloads/" + name + ".ini";
    auto outcome = capture([&] { return loadWorkload(path); });
    CPPUNIT_ASSERT_MESSAGE(outcome.error.message, outcome.value.has_value());
    return std::move(*outcome.value);
}

} // namespace guavafield::bench
