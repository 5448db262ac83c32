// A request path that passes requests on to one pool of fake upstreams, and what these answer with.
#pragma once

#include "transport/http/path_fixture.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace guavafield::test {

inline constexpr std::string_view seal = "X-Guavafield-Response-Seal: s.1\r\n";

/*! @brief Returns the request's id as the upstream received it. */
[[nodiscard]] std::string idOf(const FakeCall &call);
/*! @brief Returns the header lines of a genuine answer. */
[[nodiscard]] std::string echo(const FakeCall &call);
/*! @brief Returns the text of event n. */
[[nodiscard]] std::string event(int id);
/*! @brief Sends the header of a stream. */
void beginEvents(FakeCall &call);

/*!
 * @brief Returns a fixture with one pool and routes by kind: /call/ (repeatable), /once/, /stream/, /resume/ and /open/ (repeatable, without a key).
 * @param upstreams Get the ids u1, u2 and so on.
 */
[[nodiscard]] std::unique_ptr<PathFixture> makeForwardFixture(const std::vector<FakeUpstream *> &upstreams);

} // namespace guavafield::test
