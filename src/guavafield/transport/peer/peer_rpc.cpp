// The kj thread: accepts, authenticates, serves and calls.
#include <guavafield/transport/peer/peer_rpc.hpp>

#include <guavafield/protocol/peer/peer.capnp.h>
#include <guavafield/state/counters.hpp>
#include <guavafield/transport/peer/endpoints.hpp>
#include <guavafield/transport/peer/handshake.hpp>
#include <guavafield/transport/peer/kj_queue.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <array>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

// Cap'n Proto's server classes are owned by kj::Own, which needs no virtual destructor.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace guavafield {

namespace asio = boost::asio;

namespace {

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = PeerRpc::maxPayloadBytes / sizeof(capnp::word);
    options.nestingLimit = 16;
    return options;
}

std::string_view viewOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

template <typename Bytes>
capnp::Data::Reader dataOf(const Bytes &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

kj::Duration toKj(Milliseconds duration)
{
    return duration.count() * kj::MILLISECONDS;
}

} // namespace

/*! @brief What the threads share: the queue, the hooks and the calls that have not ended. */
class PeerRpc::Shared
{
public:
    Shared(asio::any_io_executor executor, std::string fleetSecret, PeerRpcHooks serverHooks, Counters &counterSet)
        : handshake(std::move(fleetSecret)), hooks(std::move(serverHooks)), counters(counterSet), m_executor(std::move(executor))
    {
    }

    std::uint64_t add(Done done)
    {
        const std::scoped_lock lock(m_mutex);
        m_calls.emplace(++m_lastCall, Pending{std::move(done), asio::make_work_guard(m_executor)});
        return m_lastCall;
    }

    /*! @brief Ends a call on the executor; nothing happens if it has ended. */
    void finish(std::uint64_t id, Outcome<std::string> outcome)
    {
        const std::scoped_lock lock(m_mutex);
        auto node = m_calls.extract(id);
        if (!node.empty()) {
            asio::post(m_executor, [pending = std::move(node.mapped()), outcome = std::move(outcome)]() mutable { pending.done(std::move(outcome)); });
        }
    }

    void finishAll()
    {
        std::vector<std::uint64_t> ids;
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto &it : m_calls) {
                ids.push_back(it.first);
            }
        }
        for (const auto id : ids) {
            finish(id, {std::nullopt, {ResultCode::PeerUnreachable, "the host is stopping", {}}});
        }
    }

    template <typename Function>
    void postToExecutor(Function &&function)
    {
        asio::post(m_executor, std::forward<Function>(function));
    }

    KjQueue queue;
    const Handshake handshake;
    const PeerRpcHooks hooks;
    Counters &counters;

private:
    struct Pending
    {
        Done done;
        asio::executor_work_guard<asio::any_io_executor> work;
    };

    asio::any_io_executor m_executor;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<std::uint64_t, Pending> m_calls;
    std::uint64_t m_lastCall{0};
};

namespace {

/*! @brief Asks a hook on the executor and completes a promise of the kj thread with its payload. */
template <typename Shared>
kj::Promise<std::string> ask(const std::shared_ptr<Shared> &shared, std::function<std::string()> hook)
{
    using Fulfiller = kj::Own<kj::PromiseFulfiller<std::string>>;
    auto pair = kj::newPromiseAndFulfiller<std::string>();
    auto fulfiller = std::make_shared<Fulfiller>(kj::mv(pair.fulfiller));
    // The promise owns the fulfiller and other threads have weak references only, so that it is destroyed on the kj thread.
    const std::weak_ptr<Fulfiller> weak = fulfiller;
    shared->postToExecutor([shared, weak, hook = std::move(hook)] {
        auto payload = hook();
        shared->queue.post([weak, payload = std::move(payload)] {
            if (const auto held = weak.lock()) {
                (*held)->fulfill(std::string(payload));
            }
        });
    });
    return pair.promise.attach(kj::mv(fulfiller));
}

/*! @brief The interface behind the gate. */
template <typename Shared>
class PeerServer final : public wire::Peer::Server
{
public:
    explicit PeerServer(std::shared_ptr<Shared> shared) : m_shared(std::move(shared)) { }

protected:
    kj::Promise<void> changes(ChangesContext context) override
    {
        const auto after = context.getParams().getAfter();
        return answer(context, [hook = m_shared->hooks.changes, after] { return hook ? hook(after) : std::string(); });
    }

    kj::Promise<void> snapshot(SnapshotContext context) override
    {
        return answer(context, [hook = m_shared->hooks.snapshot] { return hook ? hook() : std::string(); });
    }

    kj::Promise<void> status(StatusContext context) override
    {
        return answer(context, [hook = m_shared->hooks.status] { return hook ? hook() : std::string(); });
    }

private:
    template <typename Context>
    kj::Promise<void> answer(Context context, std::function<std::string()> hook)
    {
        return ask(m_shared, std::move(hook)).then([context, counters = &m_shared->counters](std::string &&payload) mutable {
            counters->add(CounterId::PeerBytesSent, payload.size());
            context.getResults().setPayload(kj::StringPtr(payload.c_str(), payload.size()));
        });
    }

    std::shared_ptr<Shared> m_shared;
};

/*! @brief What a connection offers before it is authenticated. Each connection has its own and one attempt. */
template <typename Shared>
class GateServer final : public wire::Gate::Server
{
public:
    GateServer(std::shared_ptr<Shared> shared, std::shared_ptr<bool> opened) : m_shared(std::move(shared)), m_opened(std::move(opened)) { }

protected:
    kj::Promise<void> challenge(ChallengeContext context) override
    {
        m_clientNonce = viewOf(context.getParams().getClientNonce());
        if (m_clientNonce.size() != Handshake::nonceBytes) {
            throw std::invalid_argument("the nonce has a wrong size");
        }
        m_serverNonce = Handshake::makeNonce();
        const auto proof = m_shared->handshake.serverProof(m_clientNonce, m_serverNonce);
        auto results = context.getResults();
        results.setServerNonce(dataOf(m_serverNonce));
        results.setProof(dataOf(proof));
        return kj::READY_NOW;
    }

    kj::Promise<void> open(OpenContext context) override
    {
        const auto serverNonce = std::exchange(m_serverNonce, {});
        const auto expected = m_shared->handshake.clientProof(m_clientNonce, serverNonce);
        if (serverNonce.empty() || !Handshake::matches(viewOf(context.getParams().getProof()), expected)) {
            m_shared->counters.add(CounterId::PeerDatagramsRejected);
            throw std::invalid_argument("the proof does not match");
        }
        *m_opened = true;
        context.getResults().setPeer(kj::heap<PeerServer<Shared>>(m_shared));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<Shared> m_shared;
    std::shared_ptr<bool> m_opened;
    std::string m_clientNonce;
    // Empty unless a challenge is open.
    std::string m_serverNonce;
};

struct ServerConnection
{
    ServerConnection(kj::Own<kj::AsyncIoStream> &&connected, wire::Gate::Client gate)
        : stream(kj::mv(connected))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , rpc(capnp::makeRpcServer(network, capnp::Capability::Client(kj::mv(gate))))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

struct ClientConnection
{
    explicit ClientConnection(kj::Own<kj::AsyncIoStream> &&connected)
        : stream(kj::mv(connected)), network(*stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions()), rpc(capnp::makeRpcClient(network))
    {
    }

    wire::Gate::Client gate()
    {
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc.bootstrap(server).castAs<wire::Gate>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

template <typename Request>
kj::Promise<std::string> payloadOf(Request request)
{
    return request.send().then([](auto &&response) {
        const auto payload = response.getPayload();
        return std::string(payload.begin(), payload.size());
    });
}

kj::Promise<std::string> request(wire::Peer::Client peer, PeerMethod method, Revision after)
{
    switch (method) {
    case PeerMethod::Snapshot:
        return payloadOf(peer.snapshotRequest());
    case PeerMethod::Status:
        return payloadOf(peer.statusRequest());
    case PeerMethod::Changes:
        break;
    }
    auto changes = peer.changesRequest();
    changes.setAfter(after);
    return payloadOf(kj::mv(changes));
}

} // namespace

/*! @brief The thread with kj's event loop. All members but the thread are used on it only. */
class PeerRpc::Loop final : private kj::TaskSet::ErrorHandler
{
public:
    Loop(std::shared_ptr<Shared> shared, asio::ip::tcp::acceptor acceptor)
        : m_shared(std::move(shared)), m_listenFd(acceptor.release()), m_thread([this] { run(); })
    {
    }

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /*! @brief Ends the thread; called from another one. */
    void stop()
    {
        std::call_once(m_stopped, [this] {
            m_shared->queue.close();
            m_thread.join();
        });
    }

    void startCall(std::uint64_t id, const PeerAddress &peer, PeerMethod method, Revision after)
    {
        const asio::ip::tcp::endpoint endpoint(toIpAddress(peer), peer.port);
        auto address = m_io->provider->getNetwork().getSockaddr(endpoint.data(), static_cast<kj::uint>(endpoint.size()));
        auto connecting = address->connect();
        auto call = connecting.attach(kj::mv(address)).then([this, id, method, after](kj::Own<kj::AsyncIoStream> &&stream) {
            auto connection = kj::heap<ClientConnection>(kj::mv(stream));
            auto payload =
                authenticate(id, connection->gate()).then([method, after](wire::Peer::Client &&opened) { return request(kj::mv(opened), method, after); });
            return payload.attach(kj::mv(connection));
        });
        auto limited = m_io->provider->getTimer().timeoutAfter(toKj(callTimeout), kj::mv(call));
        m_tasks->add(limited.then(
            [this, id](std::string &&payload) {
                m_shared->counters.add(CounterId::PeerBytesReceived, payload.size());
                m_shared->finish(id, {std::move(payload), {}});
            },
            [this, id](kj::Exception &&error) { fail(id, ResultCode::PeerUnreachable, error.getDescription().cStr()); }));
    }

private:
    void run()
    {
        // kj initializes function-local statics here; without the lock the thread sanitizer sees a race between two loops.
        static std::mutex settingUp;
        std::unique_lock lock(settingUp);
        auto io = kj::setupAsyncIo();
        m_io = &io;
        auto listener = io.lowLevelProvider->wrapListenSocketFd(m_listenFd, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
        auto wakeups = io.lowLevelProvider->wrapInputFd(m_shared->queue.wakeupFd());
        lock.unlock();
        kj::TaskSet tasks(*this);
        m_tasks = &tasks;
        tasks.add(accept(*listener));
        runQueue(*wakeups).wait(io.waitScope);
    }

    kj::Promise<void> runQueue(kj::AsyncInputStream &wakeups)
    {
        return wakeups.read(m_wakeupBytes.data(), 1, m_wakeupBytes.size()).then([this, &wakeups](std::size_t) -> kj::Promise<void> {
            for (const auto &task : m_shared->queue.take()) {
                task();
            }
            if (m_shared->queue.closed()) {
                return kj::READY_NOW;
            }
            return runQueue(wakeups);
        });
    }

    kj::Promise<void> accept(kj::ConnectionReceiver &listener)
    {
        return listener.accept().then([this, &listener](kj::Own<kj::AsyncIoStream> &&stream) {
            if (m_connections < maxConnections) {
                serve(kj::mv(stream));
            }
            return accept(listener);
        });
    }

    void serve(kj::Own<kj::AsyncIoStream> &&stream)
    {
        ++m_connections;
        auto opened = std::make_shared<bool>(false);
        auto connection = kj::heap<ServerConnection>(kj::mv(stream), kj::heap<GateServer<Shared>>(m_shared, opened));
        auto &timer = m_io->provider->getTimer();
        auto limit = timer.afterDelay(toKj(handshakeTimeout)).then([&timer, opened]() -> kj::Promise<void> {
            if (!*opened) {
                return kj::READY_NOW;
            }
            return timer.afterDelay(toKj(callTimeout));
        });
        auto ended = connection->network.onDisconnect().exclusiveJoin(kj::mv(limit));
        m_tasks->add(ended.attach(kj::mv(connection)).attach(kj::defer([this] { --m_connections; })));
    }

    /*! @brief Checks the server's proof, gives the own one and returns the interface behind the gate. */
    kj::Promise<wire::Peer::Client> authenticate(std::uint64_t id, wire::Gate::Client gate)
    {
        auto clientNonce = Handshake::makeNonce();
        auto challenge = gate.challengeRequest();
        challenge.setClientNonce(dataOf(clientNonce));
        return challenge.send().then([this, id, clientNonce, gate = kj::mv(gate)](auto &&response) mutable -> kj::Promise<wire::Peer::Client> {
            const auto serverNonce = viewOf(response.getServerNonce());
            const auto expected = m_shared->handshake.serverProof(clientNonce, serverNonce);
            if (!Handshake::matches(viewOf(response.getProof()), expected)) {
                fail(id, ResultCode::PeerUnauthenticated, "the peer did not prove that it knows the fleet secret");
                throw std::runtime_error("unauthenticated");
            }
            const auto proof = m_shared->handshake.clientProof(clientNonce, serverNonce);
            auto open = gate.openRequest();
            open.setProof(dataOf(proof));
            return open.send().then([](auto &&opened) { return opened.getPeer(); });
        });
    }

    void fail(std::uint64_t id, ResultCode code, std::string message)
    {
        m_shared->finish(id, {std::nullopt, {code, std::move(message), {}}});
    }

    // A connection that ends with an error concerns nobody but its peer, which sees it close.
    void taskFailed(kj::Exception && /*exception*/) override { }

    std::shared_ptr<Shared> m_shared;
    int m_listenFd;
    kj::AsyncIoContext *m_io{nullptr};
    kj::TaskSet *m_tasks{nullptr};
    std::size_t m_connections{0};
    std::array<kj::byte, 64> m_wakeupBytes{};
    std::once_flag m_stopped;
    // Last, so that the members exist before it runs.
    std::thread m_thread;
};

PeerRpc::PeerRpc(asio::any_io_executor executor, asio::ip::tcp::acceptor acceptor, std::string fleetSecret, PeerRpcHooks hooks, Counters &counters)
    : m_shared(std::make_shared<Shared>(std::move(executor), std::move(fleetSecret), std::move(hooks), counters))
    , m_loop(std::make_unique<Loop>(m_shared, std::move(acceptor)))
{
}

PeerRpc::~PeerRpc()
{
    stop();
}

void PeerRpc::stop()
{
    m_loop->stop();
    m_shared->finishAll();
}

void PeerRpc::call(const PeerAddress &peer, PeerMethod method, Revision after, Done done)
{
    const auto id = m_shared->add(std::move(done));
    const bool posted = m_shared->queue.post([loop = m_loop.get(), id, peer, method, after] { loop->startCall(id, peer, method, after); });
    if (!posted) {
        m_shared->finish(id, {std::nullopt, {ResultCode::PeerUnreachable, "the host is stopping", {}}});
    }
}

} // namespace guavafield
