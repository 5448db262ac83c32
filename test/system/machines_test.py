"""Checks the daemon on the machines platform with real processes: configuration, withdrawn keys, signals, duties and store outages."""
import http.client
import itertools
import threading
import time

from fleet import http_request, run_tests, wait_until
from machines import HOST_NAME, WINDOW_S, EndlessServer, MachinesFixture, is_ready, operators_document

# Longest time until a change of the configuration is in force.
IN_FORCE_S = 18.0
REQUEST_IDS = itertools.count(1)
# Memory of the smallest machines.
SMALLEST_MACHINE_MB = 88
ENDLESS_ANSWERS = 200


def send_request(host, path, key="key-a", timeout_s=30.0, deadline_ms=4000):
    headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": f"r{next(REQUEST_IDS)}", "X-Guavafield-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Authorization"] = "Token " + key
    return http_request(host["caller_port"], "GET", path, None, headers, timeout_s)


def send_and_ignore_breaks(host, path):
    try:
        send_request(host, path, deadline_ms=40000)
    except (http.client.HTTPException, OSError):
        pass


def start_hosts(machines, hosts=3):
    started = [machines.start_host(f"h{n}") for n in range(hosts)]
    for host in started:
        wait_until(lambda host=host: is_ready(host), "readiness")
    return started


def all_hosts_return(hosts, path, status, key="key-a"):
    return all(send_request(host, path, key).status == status for host in hosts)


def start_stream(machines, host):
    """Starts a streamed request and waits until the server handles it; returns the thread and the list that receives the response."""
    responses = []
    stream = threading.Thread(target=lambda: responses.append(send_request(host, "/stream/x")))
    stream.start()
    wait_until(lambda: machines.servers["s1"].handled_requests, "the server receives the stream request")
    return stream, responses


def test_serves_calls_and_streams_and_follows_the_configuration():
    with MachinesFixture() as machines:
        machines.start_server("s1")
        machines.start_server("s2")
        hosts = start_hosts(machines)
        response = send_request(hosts[0], "/call/x")
        assert response.status == 200 and response.headers["x-guavafield-response-seal"].startswith("seal-r"), response.headers
        stream = send_request(hosts[1], "/stream/x")
        assert stream.body == "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 11)), stream.body
        extra = {"name": "new", "host": HOST_NAME, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 1000, "service": "s"}
        assert all_hosts_return(hosts, "/new/x", 404)
        machines.store.write("op", "config", operators_document(2, routes=[extra]))
        wait_until(lambda: all_hosts_return(hosts, "/new/x", 200), "all hosts serve the new route")
        machines.store.write("op", "config", operators_document(3, keys=["key-b"]))
        wait_until(lambda: all_hosts_return(hosts, "/call/x", 401), "all hosts refuse the withdrawn key")
        assert all_hosts_return(hosts, "/call/x", 200, key="key-b")
        assert {tenant for _, tenant in machines.servers["s1"].handled_requests + machines.servers["s2"].handled_requests} == {"team-a"}


def test_store_outage_changes_nothing_for_callers():
    with MachinesFixture() as machines:
        machines.start_server("s1")
        hosts = start_hosts(machines)
        machines.store.down = True
        wait_until(lambda: any("platform's table lost" in host["child"].log() for host in hosts), "the log reports the lost table")
        assert all_hosts_return(hosts, "/call/x", 200)
        # Without the newest configuration a host can't rule out that the route exists, so it returns 503, which may be retried, instead of 404.
        wait_until(lambda: all_hosts_return(hosts, "/nowhere/x", 503), "503 while the configuration may be stale")
        machines.store.down = False
        wait_until(lambda: all_hosts_return(hosts, "/nowhere/x", 404), "404 after the store is back")


def test_restored_store_neither_reverts_nor_stops_the_configuration():
    with MachinesFixture() as machines:
        server = machines.start_server("s1")
        hosts = start_hosts(machines)
        copy = machines.store.copy()
        extra = {"name": "new", "host": HOST_NAME, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 1000, "service": "s"}
        lost = operators_document(5, routes=[extra])
        for n in range(2, 6):
            machines.store.write("op", "config", operators_document(n, routes=[extra]))
        wait_until(lambda: all_hosts_return(hosts, "/new/x", 200), "all hosts serve the new route")
        machines.store.down = True
        wait_until(lambda: all("platform's table lost" in host["child"].log() for host in hosts), "the log reports the lost table")
        machines.store.restore(copy)
        machines.store.down = False
        wait_until(lambda: all_hosts_return(hosts, "/nowhere/x", 404), "404 after the store is back")
        assert all_hosts_return(hosts, "/new/x", 200)
        machines.store.write("op", "config", lost)
        machines.store.write("servers", "s1", server.entry("s", "a"))
        machines.store.write("op", "config", operators_document(6, keys=["key-b"], routes=[extra]))
        wait_until(lambda: all_hosts_return(hosts, "/new/x", 401), "all hosts refuse the withdrawn key", IN_FORCE_S)
        assert all_hosts_return(hosts, "/new/x", 200, key="key-b")


def test_leaving_server_gets_nothing_new():
    with MachinesFixture() as machines:
        first, second = machines.start_server("s1"), machines.start_server("s2")
        hosts = start_hosts(machines)
        machines.store.write("servers", "s1", first.entry("s", "a", "draining"))
        wait_until(lambda: {send_request(hosts[0], "/call/x").body for _ in range(8)} == {"s2"}, "only s2 gets requests")
        machines.store.write("servers", "s2", '{"service":"s","address":7}')
        wait_until(lambda: send_request(hosts[0], "/call/x").status == 503, "503 after an invalid server entry")
        machines.store.write("servers", "s2", second.entry("s", "a"))
        wait_until(lambda: all_hosts_return(hosts, "/call/x", 200), "service after the entry is corrected")


def take_up(host, resumes):
    headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": f"r{next(REQUEST_IDS)}", "X-Guavafield-Deadline-Ms": "6000", "Authorization": "Token key-a",
               "Last-Event-Id": "4", "Resumes": resumes}
    return http_request(host["caller_port"], "GET", "/stream/x", None, headers, 30.0)


def test_host_that_lost_its_memory_takes_up_only_streams_whose_origin_was_kept():
    with MachinesFixture() as machines:
        machines.start_server("s1")
        host = start_hosts(machines, 1)[0]
        first = f"r{next(REQUEST_IDS)}"
        headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": first, "X-Guavafield-Deadline-Ms": "4000", "Authorization": "Token key-a"}
        assert http_request(host["caller_port"], "GET", "/stream/x", None, headers, 30.0).status == 200
        wait_until(lambda: any(table == "stream_origins" for table, _ in machines.store.rows), "the origin is written")
        host["child"].kill()
        again = machines.start_host("h1")
        wait_until(lambda: is_ready(again), "readiness")
        known = take_up(again, first)
        assert known.status == 200 and "id: 5" in known.body and "id: 4" not in known.body, known.body
        unknown = take_up(again, "never-seen")
        assert unknown.status == 503 and "retry-after" in unknown.headers, (unknown.status, unknown.body)
        log = again["child"].log()
        assert "source=store resumes=" + first + " pool=s version=v1" in log, log
        assert "origin of a stream not known, resumes=never-seen" in log, log


def test_sighup_reloads_and_cuts_nothing():
    with MachinesFixture() as machines:
        machines.start_server("s1").delay_s = 0.1
        host = start_hosts(machines, 1)[0]
        stream, responses = start_stream(machines, host)
        machines.reload(host)
        wait_until(lambda: "settings reloaded" in host["child"].log(), "the settings are reloaded")
        with open(host["settings"], "a") as file:
            file.write("[nonsense]\nx = 1\n")
        machines.reload(host)
        wait_until(lambda: "settings not reloaded" in host["child"].log(), "the invalid settings are rejected")
        stream.join()
        assert responses[0].status == 200 and "id: 10" in responses[0].body, responses[0].body
        assert host["child"].is_running() and send_request(host, "/call/x").status == 200


def test_sigterm_is_graceful():
    with MachinesFixture() as machines:
        machines.start_server("s1").delay_s = 0.15
        host = start_hosts(machines, 1)[0]
        stream, responses = start_stream(machines, host)
        connection = http.client.HTTPConnection("127.0.0.1", host["caller_port"], timeout=30)
        host["child"].terminate()
        wait_until(lambda: not is_ready(host), "the host is no longer ready")
        connection.request("GET", "/call/x", headers={"Host": HOST_NAME, "X-Guavafield-Request-Id": "kept", "Authorization": "Token key-a"})
        response = connection.getresponse()
        assert response.status == 200 and response.getheader("Connection") == "close", response.getheaders()
        stream.join()
        assert responses[0].status == 200 and "id: 10" in responses[0].body, responses[0].body
        assert host["child"].wait() == 0


def test_answers_without_end_leave_a_small_machine_its_memory():
    """Many answers at once that never end must neither exceed the memory of the smallest machines nor end the requests of others."""
    with MachinesFixture() as machines:
        machines.extra_settings = ["[limits]", "answer_bytes = 4194304", "held_answer_bytes = 8388608"]
        machines.start_server("s1")
        plain = {"name": "plain", "host": HOST_NAME, "prefix": "/plain/", "kind": "idempotent", "timeoutMs": 40000, "service": "f", "maxAttempts": 1}
        stream = {"name": "endless", "host": HOST_NAME, "prefix": "/endless/", "kind": "stream", "timeoutMs": 40000, "service": "f"}
        services = [{"name": "f", "maxConns": 1000}]
        machines.store.write("op", "config", operators_document(2, routes=[plain, stream], services=services))
        host = start_hosts(machines, 1)[0]
        sound = []
        for form in ("event", "lines", "comments", "body", "stray", "header", "headers", "extension"):
            path = ("/plain/" if form in ("body", "stray") else "/endless/") + form
            # A new one for each form, as an upstream that fails too often is given up.
            name = "endless-" + form
            server = machines.servers[name] = EndlessServer(name)
            machines.store.write("servers", name, server.entry("f", "a"))
            wait_until(lambda: f"upstream found, upstream={name}" in host["child"].log(), f"{name} is known")
            callers = [threading.Thread(target=send_and_ignore_breaks, args=(host, path)) for _ in range(ENDLESS_ANSWERS)]
            for it in callers:
                it.start()
            # Answers that do not pause have been refused or broken off.
            wait_until(lambda: server.paused + sum(not it.is_alive() for it in callers) >= ENDLESS_ANSWERS, f"all answers of the form {form}")
            sound += [send_request(host, "/call/x").status for _ in range(5)]
            server.released.set()
            for it in callers:
                it.join()
            machines.store.remove("servers", name)
            peak = host["child"].peak_memory_mb()
            assert peak <= SMALLEST_MACHINE_MB, f"{form}: {peak:.0f} MB at the peak"
        assert host["child"].is_running()
        assert set(sound) == {200}, {it: sound.count(it) for it in set(sound)}


def test_usage_is_reported_once_with_one_set_of_figures():
    with MachinesFixture() as machines:
        machines.start_server("s1")
        hosts = start_hosts(machines)
        first_window = int(time.time()) // WINDOW_S
        for n in range(30):
            assert send_request(hosts[n % 3], "/call/x").status == 200
        end = int(time.time()) // WINDOW_S
        reported = lambda: {it[2]["window"]: it[2]["counts"] for it in machines.store.usage}
        wait_until(lambda: all(n in reported() for n in range(first_window, end + 1)), "usage reports of all windows")
        assert sum(reported()[n].get("team-a", 0) for n in range(first_window, end + 1)) == 30, reported()
        holder = machines.store.usage[-1][0]
        machines.store.lose_answers = 2
        machines.hosts[holder]["child"].kill()
        others = [host for name, host in machines.hosts.items() if name != holder]
        later = int(time.time()) // WINDOW_S
        for n in range(10):
            assert send_request(others[n % 2], "/call/x").status == 200
        wait_until(lambda: any(it[0] != holder and it[2]["window"] >= later for it in machines.store.usage), "a report from the next lease holder")
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
