"""Checks properties P5 and P13 of docs/proofs.md with real processes.

Withdrawn keys are refused by every host, and configurations reach every host and are never rolled back.
"""
import json
import os

from fleet import Fleet, http_request, chat_body, configure, run_in_parallel, revision_of, run_tests, wait_for_revision, wait_until

# Specified time limit, in seconds, for a change to take effect on every reachable host.
PROPAGATION_LIMIT_S = 18


def change_share(fleet, host, share, expect):
    return fleet.run_ctl(host, "teams", "change", "team-a", "--share", str(share), "--expect", str(expect), check=False)


def test_racing_operators_have_one_winner():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        hosts = [fleet.start_host(f"h{n}", "a") for n in range(3)]
        configure(fleet, hosts[0])
        for _ in range(4):
            base = revision_of(hosts[0])
            wait_for_revision(hosts, base)
            documents = []
            for n, host in enumerate(hosts):
                path = os.path.join(fleet.folder, f"race-{n}.json")
                with open(path, "w") as file:
                    json.dump({"upsert": {"models": [{"id": f"model-{base}-{n}"}]}}, file)
                documents.append((host, path))
            results = run_in_parallel([lambda it=it: fleet.run_ctl(it[0], "apply", it[1], "--expect", str(base), check=False) for it in documents])
            codes = sorted(it.returncode for it in results)
            assert codes == [0, 4, 4], [(it.returncode, it.stdout, it.stderr) for it in results]
            wait_for_revision(hosts, base + 1)
            models = [json.loads(fleet.run_ctl(host, "--json", "models", "list")) for host in hosts]
            assert models[0] == models[1] == models[2]


def test_invalid_document_changes_nothing():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        host = fleet.start_host("h0", "a")
        key = configure(fleet, host)["team-a"][1]
        before = revision_of(host)
        for change in ({"upsert": {"teams": [{"id": "x"}]}}, {"upsert": {"unknown": []}}, {"upsert": {"models": [{"id": "ok"}], "routes": [{"id": "r"}]}}):
            path = os.path.join(fleet.folder, "bad.json")
            with open(path, "w") as file:
                json.dump(change, file)
            assert fleet.run_ctl(host, "apply", path, check=False).returncode == 3
        assert revision_of(host) == before
        assert host.chat(key, chat_body("still served")).status == 200


def test_withdrawn_key_stops_connected_callers_everywhere():
    with Fleet() as fleet:
        for n in range(2):
            fleet.start_upstream(f"u{n}", "a", ["--slots", "16"], slots=16)
        hosts = [fleet.start_host(f"h{n}", "a") for n in range(3)]
        keys = configure(fleet, hosts[0], teams=("team-a", "team-b"))
        key_id, key = keys["team-a"]
        other = keys["team-b"][1]
        streams = [host.stream(key, chat_body("for ever", 5000)) for host in hosts]
        readers = [it.events() for it in streams]
        for it in readers:
            next(it)
        fleet.run_ctl(hosts[0], "keys", "withdraw", key_id)
        for host in hosts:
            wait_until(lambda it=host: it.chat(key, chat_body("x", 1)).status == 401, f"{host.name} refuses the key", PROPAGATION_LIMIT_S)
            assert host.chat(other, chat_body("x", 1)).status == 200
        for reader in readers:
            last = [it for it in reader][-1]
            assert json.loads(last)["error"]["guavafield_code"] == 2003, last


def test_revision_never_falls_over_outages_and_kills():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        hosts = [fleet.start_host(f"h{n}", "a") for n in range(2)]
        key = configure(fleet, hosts[0])["team-a"][1]
        last_revisions = {host.name: revision_of(host) for host in hosts}
        for n in range(5):
            fleet.set_faults(lose_answers=1)
            fleet.run_ctl(hosts[n % 2], "teams", "change", "team-a", "--share", str(n + 2), check=False)
            fleet.set_faults(outage="refuse")
            for host in hosts:
                revision = revision_of(host)
                assert revision >= last_revisions[host.name]
                last_revisions[host.name] = revision
                assert host.chat(key, chat_body("served in the outage", 1)).status == 200
            fleet.set_faults(outage="none", lose_answers=0)
        newest = max(last_revisions.values())
        hosts[1].child.kill()
        hosts[1].start()
        wait_for_revision([hosts[1]], newest)
        wait_until(lambda: hosts[1].chat(key, chat_body("after the restart", 1)).status == 200, "service after the restart")


def test_host_cut_off_from_the_platform_learns_from_peers():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--slots", "16"], slots=16)
        hosts = [fleet.start_host("h0", "a"), fleet.start_host("h1", "a"), fleet.start_host("h2", "a", through_proxy=True)]
        keys = configure(fleet, hosts[0], teams=("team-a", "team-b"))
        key_id, key = keys["team-a"]
        wait_until(lambda: len(hosts[0].operator_request("GET", "/admin/status").json()["peers"]) == 2, "all peers are known")
        hosts[2].proxy.set_partitioned(True)
        stream = hosts[2].stream(key, chat_body("for ever", 5000))
        events = stream.events()
        next(events)
        fleet.run_ctl(hosts[0], "teams", "change", "team-b", "--share", "7")
        newest = revision_of(hosts[0])
        wait_until(lambda: revision_of(hosts[2]) >= newest, "the change reaches the host without a platform connection", PROPAGATION_LIMIT_S)
        fleet.run_ctl(hosts[0], "keys", "withdraw", key_id)
        wait_until(lambda: hosts[2].chat(key, chat_body("x", 1)).status == 401, "the partitioned host refuses the key", PROPAGATION_LIMIT_S)
        last = list(events)[-1]
        assert json.loads(last)["error"]["guavafield_code"] == 2003, last


def test_restarted_host_learns_from_peers_while_the_platform_is_down():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        hosts = [fleet.start_host(f"h{n}", "a") for n in range(2)]
        key = configure(fleet, hosts[0])["team-a"][1]
        newest = revision_of(hosts[0])
        fleet.set_faults(outage="drop")
        # The second host lists the first as a seed in its settings.
        hosts[1].child.kill()
        hosts[1].start()
        assert not hosts[1].is_ready() or revision_of(hosts[1]) == newest
        wait_until(lambda: hosts[1].is_ready() and revision_of(hosts[1]) == newest, "the configuration received from the peer")
        assert hosts[1].chat(key, chat_body("served without the platform", 1)).status == 200


def test_host_without_platform_and_peers_is_not_ready():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        host = fleet.start_host("h0", "a")
        key = configure(fleet, host)["team-a"][1]
        fleet.set_faults(outage="drop")
        host.child.kill()
        host.start()
        assert host.chat(key, chat_body("nobody knows the key", 1)).status != 200
        assert not host.is_ready()


def test_paused_host_catches_up_and_refuses_the_withdrawn_key():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        hosts = [fleet.start_host(f"h{n}", "a") for n in range(2)]
        key_id, key = configure(fleet, hosts[0])["team-a"]
        hosts[1].child.suspend()
        fleet.run_ctl(hosts[0], "keys", "withdraw", key_id)
        newest = revision_of(hosts[0])
        hosts[1].child.resume()
        wait_until(lambda: hosts[1].chat(key, chat_body("x", 1)).status == 401, "the resumed host refuses the key", PROPAGATION_LIMIT_S)
        wait_until(lambda: revision_of(hosts[1]) >= newest, "the resumed host applies the revision", PROPAGATION_LIMIT_S)


if __name__ == "__main__":
    run_tests(globals())
