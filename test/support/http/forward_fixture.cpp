// Routes and answers of the forwarding tests.
#include "support/http/forward_fixture.hpp"

#include "platform/request_dialect.hpp"

#include <sstream>

namespace guavafield::test {

namespace {

void addRoute(Configuration &configuration, const std::string &prefix, Repeat repeat, bool stream)
{
    PoolTarget target;
    target.pools = {{"p", 1}};
    target.repeat = repeat;
    target.stream = stream;
    target.maxAttempts = repeat == Repeat::Never ? 1 : 2;
    target.target = Milliseconds{400};
    Route route;
    route.id = prefix;
    route.prefix = prefix;
    route.target = target;
    route.timeout = Milliseconds{20'000};
    route.host = "app.example";
    configuration.routes[prefix] = route;
}

} // namespace

std::string idOf(const FakeCall &call)
{
    return std::string(call.request()["X-Guavafield-Request-Id"]);
}

std::string echo(const FakeCall &call)
{
    return "X-Guavafield-Request-Id: " + idOf(call) + "\r\n" + std::string(seal);
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

std::string forwardRequest(std::string_view path, std::string_view id, std::string_view headers, std::string_view body)
{
    std::string text = "POST " + std::string(path) + " HTTP/1.1\r\nHost: app.example\r\nX-Guavafield-Request-Id: " + std::string(id) + "\r\n";
    text += headers;
    text += "Authorization: Token " + std::string(testKey) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

std::string chunk(std::string_view bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

void beginEvents(FakeCall &call)
{
    call.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo(call) + "\r\n");
}

std::unique_ptr<PathFixture> makeForwardFixture(const std::vector<FakeUpstream *> &upstreams)
{
    auto fixture = std::make_unique<PathFixture>();
    fixture->hooks.forward = std::make_shared<const ForwardDialect>(platform::requestDialect());
    auto &configuration = fixture->configuration;
    configuration.pools["p"].id = "p";
    const auto digest = KeyHasher(std::string(fleetSecret)).digest(testKey);
    configuration.keys[toHex(digest)] = ApiKey{toHex(digest), "acme", digest, false};
    addRoute(configuration, "/call/", Repeat::Always, false);
    addRoute(configuration, "/once/", Repeat::Never, false);
    addRoute(configuration, "/stream/", Repeat::Never, true);
    addRoute(configuration, "/resume/", Repeat::Resume, true);
    addRoute(configuration, "/open/", Repeat::Always, false);
    configuration.routes["/open/"].open = true;
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        const auto id = "u" + std::to_string(n + 1);
        fixture->addUpstream(id, *upstreams[n], false);
        configuration.upstreams[id].pool = "p";
    }
    return fixture;
}

} // namespace guavafield::test
