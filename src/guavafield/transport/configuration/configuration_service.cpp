// Follower's actions as calls to the platform and to peers; commits and withdrawals.
#include <guavafield/transport/configuration/configuration_service.hpp>

#include <guavafield/protocol/configuration/configuration_json.hpp>
#include <guavafield/protocol/configuration/configuration_rows_json.hpp>
#include <guavafield/state/key_hasher.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace guavafield {

namespace asio = boost::asio;

namespace internal {

constexpr Milliseconds catchUpCheck{20};
constexpr int catchUpChecks = 150;
// Conflicts of a withdrawal with other operators' changes; each try starts from the winner's revision.
constexpr int withdrawalTries = 5;

std::optional<std::vector<ChangeRecord>> parseRecords(const std::vector<std::string> &texts)
{
    std::vector<ChangeRecord> records;
    records.reserve(texts.size());
    for (const auto &it : texts) {
        auto record = capture([&] { return parseChangeRecord(it); });
        if (!record) {
            return std::nullopt;
        }
        records.push_back(std::move(*record.value));
    }
    return records;
}

std::vector<std::string> valuesOf(ReadRows reply)
{
    std::vector<std::string> texts;
    texts.reserve(reply.rows.size());
    for (auto &it : reply.rows) {
        texts.push_back(std::move(it.value));
    }
    return texts;
}

Outcome<Revision> conflictWith(Revision current)
{
    return {std::nullopt, {ResultCode::ConfigurationConflict, "another change was accepted first", std::to_string(current)}};
}

Outcome<Revision> invalidBy(const ConfigurationFaults &faults)
{
    return {std::nullopt, {faults.front().code, faults.front().message, faults.front().path}};
}

} // namespace internal

ConfigurationService::ConfigurationService(ConfigurationDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_strand(asio::make_strand(m_dependencies.executor))
    , m_timer(m_strand)
    , m_follower(m_dependencies.settings, m_dependencies.clock.now())
{
}

void ConfigurationService::start()
{
    asio::post(m_strand, [self = shared_from_this()] { self->drive(); });
}

void ConfigurationService::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_stopped = true;
        self->m_timer.cancel();
    });
}

void ConfigurationService::onPeerRevision(Revision revision, Milliseconds age)
{
    post([revision, age](ConfigurationFollower &follower, SteadyTime now) { follower.onPeerRevision(revision, age, now); });
}

void ConfigurationService::onWithdrawal(KeyId key)
{
    post([key = std::move(key)](ConfigurationFollower &follower, SteadyTime now) { follower.onWithdrawal(key, now); });
}

FollowerStatus ConfigurationService::status() const
{
    const std::scoped_lock lock(m_mutex);
    return m_follower.status(m_dependencies.clock.now());
}

std::optional<KnownRevision> ConfigurationService::knowledge() const
{
    const std::scoped_lock lock(m_mutex);
    return m_follower.knownRevision(m_dependencies.clock.now());
}

std::vector<KeyId> ConfigurationService::recentWithdrawals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_follower.recentWithdrawals(m_dependencies.clock.now());
}

std::optional<std::vector<std::string>> ConfigurationService::changesAfter(Revision revision) const
{
    const std::scoped_lock lock(m_mutex);
    return m_follower.changesAfter(revision);
}

std::shared_ptr<const Configuration> ConfigurationService::snapshot() const
{
    const std::scoped_lock lock(m_mutex);
    return m_follower.snapshot();
}

void ConfigurationService::post(Event event)
{
    asio::post(m_strand, [self = shared_from_this(), event = std::move(event)] { self->apply(event); });
}

void ConfigurationService::apply(const Event &event)
{
    {
        const std::scoped_lock lock(m_mutex);
        event(m_follower, m_dependencies.clock.now());
    }
    drive();
}

void ConfigurationService::drive()
{
    if (m_stopped) {
        return;
    }
    std::vector<FollowerAction> actions;
    SteadyTime next;
    {
        const std::scoped_lock lock(m_mutex);
        actions = m_follower.step(m_dependencies.clock.now());
        next = m_follower.nextWakeup();
    }
    for (const auto &it : actions) {
        perform(it);
    }
    noteObstacle();
    arm(next);
}

void ConfigurationService::arm(SteadyTime next)
{
    m_timer.expires_after(std::max(next - m_dependencies.clock.now(), SteadyTime::duration::zero()));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec) {
            self->drive();
        }
    });
}

void ConfigurationService::perform(const FollowerAction &action)
{
    const auto spawn = [this](Awaitable<void> work) { asio::co_spawn(m_strand, std::move(work), asio::detached); };
    std::visit(Overloaded{[&](const ReadHeadAction &it) {
                              spawn(readHead(it));
                              if (!m_unrecorded.empty() && !m_recording) {
                                  spawn(repeatWithdrawals());
                              }
                          },
                          [&](const FetchChangesAction &it) { spawn(fetchChanges(it)); },
                          [&](const FetchSnapshotAction &it) { spawn(fetchSnapshot(it)); },
                          [&](const FetchPeerChangesAction &it) { spawn(fetchPeerChanges(it)); },
                          [&](const FetchPeerSnapshotAction &it) { spawn(fetchPeerSnapshot(it)); },
                          [&](const PublishAction &it) { publish(it); },
                          [&](const StopKeysAction &it) {
                              if (m_dependencies.hooks.stopKeys) {
                                  m_dependencies.hooks.stopKeys(it.keys);
                              }
                          }},
               action);
}

void ConfigurationService::publish(const PublishAction &action)
{
    const auto before = m_dependencies.cell.load();
    m_dependencies.cell.store(action.configuration);
    if (action.configuration->revision > before->revision) {
        m_dependencies.counters.add(CounterId::ConfigurationApplied, action.configuration->revision - before->revision);
        log("revision " + std::to_string(action.configuration->revision) + " is in force");
    }
    if (m_dependencies.hooks.published) {
        m_dependencies.hooks.published();
    }
}

auto ConfigurationService::readHead(ReadHeadAction action) -> Awaitable<void>
{
    const auto self = shared_from_this();
    std::vector<RowKey> keys;
    keys.push_back(configurationHeadKey());
    const auto reply = co_await m_dependencies.platform.read(std::move(keys));
    const auto *rows = std::get_if<ReadRows>(&reply);
    const auto head = rows == nullptr ? Outcome<ConfigurationHead>{} : capture([&] { return parseHead(rows->rows.front()); });
    apply([&](ConfigurationFollower &follower, SteadyTime) { head ? follower.onHead(action.id, *head.value) : follower.onHeadFailed(action.id); });
}

auto ConfigurationService::fetchChanges(FetchChangesAction action) -> Awaitable<void>
{
    const auto self = shared_from_this();
    auto range = configurationChangeRange(action.after, action.upTo);
    auto reply = co_await m_dependencies.platform.scan(std::move(range));
    auto *rows = std::get_if<ReadRows>(&reply);
    auto records = rows == nullptr ? std::nullopt : internal::parseRecords(internal::valuesOf(std::move(*rows)));
    apply([&](ConfigurationFollower &follower, SteadyTime now) {
        records ? follower.onChanges(action.id, std::move(*records), now) : follower.onFetchFailed(action.id, now);
    });
}

auto ConfigurationService::fetchSnapshot(FetchSnapshotAction action) -> Awaitable<void>
{
    const auto self = shared_from_this();
    auto name = snapshotObjectName(action.revision);
    const auto text = co_await m_dependencies.platform.getObject(std::move(name));
    auto parsed = text ? parseSnapshot(*text.value) : Validated<Configuration>(ConfigurationFaults{});
    auto *snapshot = std::get_if<Configuration>(&parsed);
    apply([&](ConfigurationFollower &follower, SteadyTime now) {
        snapshot != nullptr ? follower.onSnapshot(action.id, std::move(*snapshot), now) : follower.onFetchFailed(action.id, now);
    });
}

auto ConfigurationService::fetchPeerChanges(FetchPeerChangesAction action) -> Awaitable<void>
{
    const auto self = shared_from_this();
    Outcome<std::vector<std::string>> texts;
    if (m_dependencies.hooks.fetchPeerChanges) {
        texts = co_await m_dependencies.hooks.fetchPeerChanges(action.after);
    }
    auto records = texts ? internal::parseRecords(*texts.value) : std::nullopt;
    apply([&](ConfigurationFollower &follower, SteadyTime now) {
        records ? follower.onPeerChanges(action.id, std::move(*records), now) : follower.onFetchFailed(action.id, now);
    });
}

auto ConfigurationService::fetchPeerSnapshot(FetchPeerSnapshotAction action) -> Awaitable<void>
{
    const auto self = shared_from_this();
    Outcome<std::string> text;
    if (m_dependencies.hooks.fetchPeerSnapshot) {
        text = co_await m_dependencies.hooks.fetchPeerSnapshot();
    }
    auto parsed = text ? parseSnapshot(*text.value) : Validated<Configuration>(ConfigurationFaults{});
    auto *snapshot = std::get_if<Configuration>(&parsed);
    apply([&](ConfigurationFollower &follower, SteadyTime now) {
        snapshot != nullptr ? follower.onPeerSnapshot(action.id, std::move(*snapshot), now) : follower.onFetchFailed(action.id, now);
    });
}

auto ConfigurationService::commit(ConfigurationChange change, Revision expected) -> Awaitable<Outcome<Revision>>
{
    const auto self = shared_from_this();
    auto work = commitOnStrand(std::move(change), expected);
    auto outcome = co_await asio::co_spawn(m_strand, std::move(work), asio::use_awaitable);
    co_return outcome;
}

auto ConfigurationService::withdraw(KeyId key) -> Awaitable<Outcome<Revision>>
{
    const auto self = shared_from_this();
    onWithdrawal(key);
    auto work = recordWithdrawal(std::move(key));
    auto outcome = co_await asio::co_spawn(m_strand, std::move(work), asio::use_awaitable);
    co_return outcome;
}

auto ConfigurationService::waitForRevision(Revision revision) -> Awaitable<bool>
{
    const auto self = shared_from_this();
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    for (int n = 0; n < internal::catchUpChecks && snapshot()->revision < revision; ++n) {
        timer.expires_after(internal::catchUpCheck);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return snapshot()->revision >= revision;
}

auto ConfigurationService::commitOnStrand(ConfigurationChange change, Revision expected) -> Awaitable<Outcome<Revision>>
{
    const auto self = shared_from_this();
    // An operator may have seen a newer revision at another host.
    co_await waitForRevision(expected);
    const auto base = snapshot();
    if (base->revision > expected) {
        co_return internal::conflictWith(base->revision);
    }
    if (base->revision < expected) {
        co_return Outcome<Revision>{std::nullopt,
                                    {ResultCode::ConfigurationNotReady, "this host has not reached the revision", std::to_string(base->revision)}};
    }
    const auto faults = validateChange(*base, change);
    if (!faults.empty()) {
        m_dependencies.counters.add(CounterId::ConfigurationRejected);
        co_return internal::invalidBy(faults);
    }
    const auto id = makeSecret();
    auto commitId = id;
    const auto result = co_await runCommit(m_dependencies.platform, std::move(commitId), expected, std::move(change));
    co_return takeCommit(result, id);
}

Outcome<Revision> ConfigurationService::takeCommit(const CommitResult &result, const std::string &id)
{
    if (const auto *accepted = std::get_if<CommitAccepted>(&result.end)) {
        acceptCommit(result, accepted->revision);
        return {accepted->revision, {}};
    }
    if (const auto *conflict = std::get_if<CommitConflict>(&result.end)) {
        // The winner's change is fetched without waiting for the next poll.
        apply([&](ConfigurationFollower &follower, SteadyTime) { follower.onHead(0, ConfigurationHead{conflict->current, {}, 0, 0}); });
        return internal::conflictWith(conflict->current);
    }
    if (std::holds_alternative<CommitUnavailable>(result.end)) {
        return {std::nullopt, {ResultCode::PlatformUnavailable, "the platform is unavailable; the change was not accepted", {}}};
    }
    return {std::nullopt, {ResultCode::PlatformOutcomeUnknown, "the platform's answers were lost; look for this change id before repeating", id}};
}

void ConfigurationService::acceptCommit(const CommitResult &result, Revision revision)
{
    auto record = capture([&] { return parseChangeRecord(result.recordText); });
    if (record) {
        apply([&](ConfigurationFollower &follower, SteadyTime now) { follower.onCommitted(std::move(*record.value), now); });
    }
    const auto configuration = snapshot();
    if (revision % snapshotInterval == 0 && configuration->revision == revision) {
        asio::co_spawn(m_strand, storeSnapshot(configuration), asio::detached);
    }
}

auto ConfigurationService::storeSnapshot(std::shared_ptr<const Configuration> configuration) -> Awaitable<void>
{
    const auto self = shared_from_this();
    const auto revision = configuration->revision;
    auto name = snapshotObjectName(revision);
    auto text = formatSnapshot(*configuration);
    const auto stored = co_await m_dependencies.platform.putObject(std::move(name), std::move(text));
    if (!stored) {
        log("snapshot " + std::to_string(revision) + " could not be stored: " + stored.error.message);
        co_return;
    }
    // The newest two stay. An earlier one is there only if its removal failed.
    for (auto age = 2 * snapshotInterval; age <= 3 * snapshotInterval && age < revision; age += snapshotInterval) {
        auto old = snapshotObjectName(revision - age);
        const auto removed = co_await m_dependencies.platform.deleteObject(std::move(old));
        if (!removed) {
            log("snapshot " + std::to_string(revision - age) + " could not be removed: " + removed.error.message);
        }
    }
}

auto ConfigurationService::recordWithdrawal(KeyId key) -> Awaitable<Outcome<Revision>>
{
    const auto self = shared_from_this();
    m_unrecorded.insert(key);
    Outcome<Revision> outcome;
    for (int n = 0; n < internal::withdrawalTries; ++n) {
        const auto base = snapshot();
        const auto it = base->keys.find(key);
        if (it == base->keys.end() || it->second.withdrawn) {
            m_unrecorded.erase(key);
            co_return Outcome<Revision>{base->revision, {}};
        }
        ConfigurationChange change;
        change.upsert.keys.push_back(it->second);
        change.upsert.keys.back().withdrawn = true;
        outcome = co_await commitOnStrand(std::move(change), base->revision);
        if (outcome) {
            m_unrecorded.erase(key);
        }
        if (outcome || outcome.error.code != ResultCode::ConfigurationConflict) {
            break;
        }
        const auto current = std::stoull(outcome.error.place);
        co_await waitForRevision(current);
    }
    co_return outcome;
}

auto ConfigurationService::repeatWithdrawals() -> Awaitable<void>
{
    const auto self = shared_from_this();
    m_recording = true;
    const std::vector<KeyId> keys(m_unrecorded.begin(), m_unrecorded.end());
    for (const auto &it : keys) {
        auto key = it;
        const auto outcome = co_await recordWithdrawal(std::move(key));
        if (!outcome) {
            break;
        }
    }
    m_recording = false;
}

void ConfigurationService::noteObstacle()
{
    const auto obstacle = status().applyFault;
    const auto text = obstacle ? obstacle->path + ": " + obstacle->message : std::string();
    if (text != m_loggedObstacle && obstacle) {
        m_dependencies.counters.add(CounterId::ConfigurationRejected);
        log("the next change cannot be applied here: " + text);
    }
    m_loggedObstacle = text;
}

void ConfigurationService::log(std::string_view text) const
{
    if (m_dependencies.hooks.log) {
        m_dependencies.hooks.log(text);
    }
}

} // namespace guavafield
