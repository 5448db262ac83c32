"""Checks with real processes that no stream holds events of two software versions, and that broken streams go on where their version serves."""
from fleet import run_tests
from streams import HOST_IDS, StreamsFixture

SEED = 39
BOTH_VERSIONS = ("v1", "v2")
# Fewer broken streams would show nothing.
MIN_BROKEN = 12


def assert_none_joined(outcome):
    assert outcome.broken >= MIN_BROKEN, outcome
    assert outcome.joined_in_answer == 0 and outcome.joined_over_answers == 0, outcome


def assert_half_went_on(outcome):
    assert outcome.broken >= MIN_BROKEN, outcome
    assert 2 * outcome.went_on >= outcome.broken, outcome


def start_streams(fixture, versions, per_version, clients, events):
    """Starts servers, hosts and clients, and waits until each stream has brought `events` events."""
    fixture.start_stream_servers(versions, per_version)
    fixture.start_ready_hosts()
    fixture.start_clients(clients)
    fixture.wait_for_events(events)


def restart_all_hosts(fixture, while_down=lambda: None):
    fixture.kill_hosts(HOST_IDS)
    while_down()
    fixture.start_ready_hosts()


def test_crash_of_half_of_the_servers_joins_no_versions_and_ends_few_streams():
    with StreamsFixture(SEED) as fixture:
        start_streams(fixture, BOTH_VERSIONS, 6, clients=150, events=4)
        fixture.crash_servers(fixture.servers_of("v1", 3) + fixture.servers_of("v2", 3))
        outcome = fixture.finish()
        assert_none_joined(outcome)
        assert_half_went_on(outcome)


def test_crash_of_servers_beside_the_kill_of_all_hosts_joins_no_versions():
    with StreamsFixture(SEED + 1) as fixture:
        start_streams(fixture, BOTH_VERSIONS, 6, clients=120, events=4)
        crashed = fixture.servers_of("v1", 2) + fixture.servers_of("v2", 2)

        def return_with_the_other_version():
            for name in crashed:
                fixture.start_stream_server(name, "v2" if name.startswith("v1") else "v1")

        fixture.crash_servers(crashed)
        restart_all_hosts(fixture, while_down=return_with_the_other_version)
        assert_none_joined(fixture.finish())


def test_kill_of_all_hosts_just_after_a_version_left_joins_no_versions():
    with StreamsFixture(SEED + 2) as fixture:
        start_streams(fixture, BOTH_VERSIONS, 6, clients=120, events=4)
        left = fixture.servers_of("v1", 6)
        fixture.remove_entries(left)
        fixture.crash_servers(left)
        restart_all_hosts(fixture)
        assert_none_joined(fixture.finish())


def test_kill_of_all_hosts_while_a_version_leaves_joins_no_versions():
    with StreamsFixture(SEED + 6) as fixture:
        start_streams(fixture, BOTH_VERSIONS, 6, clients=120, events=4)
        leaving = fixture.servers_of("v1", 6)
        fixture.remove_entries(leaving)
        restart_all_hosts(fixture, while_down=lambda: fixture.crash_servers(leaving))
        assert_none_joined(fixture.finish())


def test_kill_of_all_hosts_ends_few_streams_of_a_version_that_serves_alone():
    with StreamsFixture(SEED + 3) as fixture:
        start_streams(fixture, ("v1",), 12, clients=120, events=4)
        restart_all_hosts(fixture)
        outcome = fixture.finish()
        assert_none_joined(outcome)
        assert_half_went_on(outcome)


def test_streams_do_not_go_on_at_a_process_whose_entry_is_still_that_of_its_predecessor():
    with StreamsFixture(SEED + 7) as fixture:
        start_streams(fixture, ("v1",), 6, clients=120, events=4)
        fixture.replace_in_place(fixture.servers_of("v1", 3), "v2", entry_delay_s=4.0)
        restart_all_hosts(fixture)
        outcome = fixture.finish()
        assert_none_joined(outcome)
        assert_half_went_on(outcome)


def test_streams_begun_at_a_process_whose_entry_is_still_that_of_its_predecessor_do_not_go_on_at_the_old_version():
    with StreamsFixture(SEED + 8) as fixture:
        start_streams(fixture, ("v1",), 6, clients=0, events=0)
        replaced = fixture.servers_of("v1", 3)
        fixture.replace_in_place(replaced, "v2", entry_delay_s=6.0)
        restart_all_hosts(fixture)
        fixture.start_clients(120)
        fixture.wait_for_events(4)
        fixture.crash_servers(replaced[:2] + fixture.servers_of("v1", 1))
        assert_none_joined(fixture.finish())


def test_kill_of_one_host_ends_few_streams_and_joins_no_versions():
    with StreamsFixture(SEED + 4) as fixture:
        # More than a second passes between the first of these events and the last.
        start_streams(fixture, BOTH_VERSIONS, 6, clients=120, events=13)
        fixture.kill_hosts(HOST_IDS[:1])
        outcome = fixture.finish()
        assert_none_joined(outcome)
        assert_half_went_on(outcome)


def test_kill_of_all_hosts_ends_few_streams_of_servers_that_name_no_version():
    with StreamsFixture(SEED + 5) as fixture:
        start_streams(fixture, (None,), 12, clients=120, events=4)
        restart_all_hosts(fixture)
        outcome = fixture.finish()
        assert_none_joined(outcome)
        assert_half_went_on(outcome)


if __name__ == "__main__":
    run_tests(globals())
