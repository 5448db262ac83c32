"""Guards the daemon on the machines' platform with real processes: configuration, withdrawn keys, signals, duties and a store that fails."""
import http.client
import itertools
import threading
import time

from fleet import call, run_tests, wait_until
from machines import HOST_NAME, WINDOW_S, Machines, document

REQUEST_IDS = itertools.count(1)


def request(host, path, key="key-a", timeout_s=30.0):
    headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": f"r{next(REQUEST_IDS)}", "X-Guavafield-Deadline-Ms": "4000"}
    if key:
        headers["Authorization"] = "Token " + key
    return call(host["caller_port"], "GET", path, None, headers, timeout_s)


def ready(host):
    try:
        return call(host["operator_port"], "GET", "/ready").status == 200
    except OSError:
        return False


def start(machines, hosts=3):
    started = [machines.host(f"h{n}") for n in range(hosts)]
    for host in started:
        wait_until(lambda host=host: ready(host), "readiness")
    return started


def everyone(hosts, path, status, key="key-a"):
    return all(request(host, path, key).status == status for host in hosts)


def begin_stream(machines, host):
    """Starts a streamed request and waits until the server runs it; returns the thread and the list that receives the answer."""
    answers = []
    stream = threading.Thread(target=lambda: answers.append(request(host, "/stream/x")))
    stream.start()
    wait_until(lambda: machines.servers["s1"].runs, "the stream")
    return stream, answers


def test_serves_calls_and_streams_and_follows_the_configuration():
    with Machines() as machines:
        machines.server("s1")
        machines.server("s2")
        hosts = start(machines)
        answer = request(hosts[0], "/call/x")
        assert answer.status == 200 and answer.headers["x-guavafield-response-seal"].startswith("seal-r"), answer.headers
        stream = request(hosts[1], "/stream/x")
        assert stream.body == "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 11)), stream.body
        extra = {"name": "new", "host": HOST_NAME, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 1000, "service": "s"}
        assert everyone(hosts, "/new/x", 404)
        machines.store.write("op", "config", document(2, routes=[extra]))
        wait_until(lambda: everyone(hosts, "/new/x", 200), "the new route on all hosts")
        machines.store.write("op", "config", document(3, keys=["key-b"]))
        wait_until(lambda: everyone(hosts, "/call/x", 401), "the withdrawal on all hosts")
        assert everyone(hosts, "/call/x", 200, key="key-b")
        assert {tenant for _, tenant in machines.servers["s1"].runs + machines.servers["s2"].runs} == {"team-a"}


def test_store_outage_changes_nothing_for_callers():
    with Machines() as machines:
        machines.server("s1")
        hosts = start(machines)
        machines.store.down = True
        wait_until(lambda: any("platform's table lost" in host["child"].log() for host in hosts), "a lost dependency in the log")
        assert everyone(hosts, "/call/x", 200)
        # A host that cannot know the newest configuration turns nobody away for good.
        wait_until(lambda: everyone(hosts, "/nowhere/x", 503), "unsure hosts")
        machines.store.down = False
        wait_until(lambda: everyone(hosts, "/nowhere/x", 404), "hosts that are sure again")


def test_leaving_server_gets_nothing_new():
    with Machines() as machines:
        first, second = machines.server("s1"), machines.server("s2")
        hosts = start(machines)
        machines.store.write("servers", "s1", first.entry("s", "a", "draining"))
        wait_until(lambda: {request(hosts[0], "/call/x").body for _ in range(8)} == {"s2"}, "the notice")
        machines.store.write("servers", "s2", '{"service":"s","address":7}')
        wait_until(lambda: request(hosts[0], "/call/x").status == 503, "the entry that names no server")
        machines.store.write("servers", "s2", second.entry("s", "a"))
        wait_until(lambda: everyone(hosts, "/call/x", 200), "the entry that is good again")


def test_sighup_reloads_and_cuts_nothing():
    with Machines() as machines:
        machines.server("s1").pause_s = 0.1
        host = start(machines, 1)[0]
        stream, answers = begin_stream(machines, host)
        machines.reload(host)
        wait_until(lambda: "settings reloaded" in host["child"].log(), "the reload")
        with open(host["settings"], "a") as file:
            file.write("[nonsense]\nx = 1\n")
        machines.reload(host)
        wait_until(lambda: "settings not reloaded" in host["child"].log(), "the refused reload")
        stream.join()
        assert answers[0].status == 200 and "id: 10" in answers[0].body, answers[0].body
        assert host["child"].alive() and request(host, "/call/x").status == 200


def test_sigterm_is_graceful():
    with Machines() as machines:
        machines.server("s1").pause_s = 0.15
        host = start(machines, 1)[0]
        stream, answers = begin_stream(machines, host)
        kept = http.client.HTTPConnection("127.0.0.1", host["caller_port"], timeout=30)
        host["child"].terminate()
        wait_until(lambda: not ready(host), "the end of readiness")
        kept.request("GET", "/call/x", headers={"Host": HOST_NAME, "X-Guavafield-Request-Id": "kept", "Authorization": "Token key-a"})
        answer = kept.getresponse()
        assert answer.status == 200 and answer.getheader("Connection") == "close", answer.getheaders()
        stream.join()
        assert answers[0].status == 200 and "id: 10" in answers[0].body, answers[0].body
        assert host["child"].wait() == 0


def test_usage_is_reported_once_with_one_set_of_figures():
    with Machines() as machines:
        machines.server("s1")
        hosts = start(machines)
        begin = int(time.time()) // WINDOW_S
        for n in range(30):
            assert request(hosts[n % 3], "/call/x").status == 200
        end = int(time.time()) // WINDOW_S
        reported = lambda: {it[2]["window"]: it[2]["counts"] for it in machines.store.usage}
        wait_until(lambda: all(n in reported() for n in range(begin, end + 1)), "the reports")
        assert sum(reported()[n].get("team-a", 0) for n in range(begin, end + 1)) == 30, reported()
        holder = machines.store.usage[-1][0]
        machines.store.lose_answers = 2
        machines.hosts[holder]["child"].kill()
        others = [host for name, host in machines.hosts.items() if name != holder]
        later = int(time.time()) // WINDOW_S
        for n in range(10):
            assert request(others[n % 2], "/call/x").status == 200
        wait_until(lambda: any(it[0] != holder and it[2]["window"] >= later for it in machines.store.usage), "the next holder's report")
        figures = {}
        for _, _, report in machines.store.usage:
            assert figures.setdefault(report["window"], report["counts"]) == report["counts"], machines.store.usage
        fences = [it[1] for it in machines.store.usage]
        assert fences == sorted(fences), fences
        by_fence = {}
        for sender, fence, _ in machines.store.usage:
            assert by_fence.setdefault(fence, sender) == sender, machines.store.usage


if __name__ == "__main__":
    run_tests(globals())
