// A request path that passes requests on to one pool of fake upstreams, and what these answer with.
#pragma once

#include "support/http/path_fixture.hpp"

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
/*! @brief Returns the text of a POST request with the test's key; each header ends its line. */
[[nodiscard]] std::string forwardRequest(std::string_view path, std::string_view id = "abc123", std::string_view headers = {}, std::string_view body = "hello");
/*! @brief Returns bytes as one chunk of a body. */
[[nodiscard]] std::string chunk(std::string_view bytes);
/*! @brief Sends the header of a stream. */
void beginEvents(FakeCall &call);

/*!
 * @brief Returns a fixture with one pool and routes by kind: /call/ (repeatable), /once/, /stream/, /resume/ and /open/ (repeatable, without a key).
 * @param upstreams Get the ids u1, u2 and so on.
 */
[[nodiscard]] std::unique_ptr<PathFixture> makeForwardFixture(const std::vector<FakeUpstream *> &upstreams);

} // namespace guavafield::test
