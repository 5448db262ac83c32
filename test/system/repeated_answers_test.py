"""Checks rules TWICE and REFUSED with real processes whose servers send refusals a second time, late and under the id of the refused request."""
import contextlib
import http.client
import random
import threading
import time

from fleet import http_request, run_in_parallel, run_tests, wait_until
from machines import HOST_NAME, MachinesFixture, operators_document
from refusing_server import CopyTiming, RefusalPolicy, RefusingServer

SEED = 39
REQUESTS = 400
CALLERS = 8
# Callers press on, so that only a fault leaves a request without success.
MOST_TRIES = 60
LEAST_SUCCESS_SHARE = 0.98
# Shortest and longest pause of a caller before it sends a refused request again.
PAUSES_S = (0.0, 0.01)
# How long a process keeps its address, and how long the one before is listed beside it.
GENERATION_S = 0.01
EXPIRY_S = 0.06
MOST_GENERATIONS = 500
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
ONCE_ROUTE = {"name": "once", "host": HOST_NAME, "prefix": "/once/", "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 500, "service": "s",
              "maxAttempts": 3}


class Try:
    """One sending of a request; the status is None where the connection was closed without an answer."""

    def __init__(self, started, status, body):
        self.started = started
        self.status = status
        self.body = body


class Caller:
    """Sends requests on a kept connection, each again under its id until it is answered without a promise that it has not run."""

    def __init__(self, host, seed, pauses_s):
        self.connection = http.client.HTTPConnection("127.0.0.1", host["caller_port"], timeout=20)
        self.choices = random.Random(seed)
        self.pauses_s = pauses_s
        # By request id.
        self.tries = {}

    def send_all(self, ids):
        for it in ids:
            tries = self.tries[it] = [self.send(it)]
            while tries[-1].status in PROMISES and len(tries) < MOST_TRIES:
                time.sleep(self.choices.uniform(*self.pauses_s))
                tries.append(self.send(it))
        self.connection.close()

    def send(self, request_id):
        started = time.monotonic()
        headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": request_id, "X-Guavafield-Deadline-Ms": "4000", "Authorization": "Token key-a"}
        try:
            self.connection.request("POST", "/once/x", "x", headers)
            response = self.connection.getresponse()
            return Try(started, response.status, response.read().decode())
        except (http.client.HTTPException, OSError):
            self.connection.close()
            return Try(started, None, "")


class Figures:
    """What clients and servers saw of all requests of a case."""

    def __init__(self, tries, servers):
        self.requests = len(tries)
        self.runs = {}
        for server in servers:
            for request_id, moments in server.runs.items():
                self.runs.setdefault(request_id, []).extend(moments)
        self.refusals = sum(it.refusals for it in servers)
        self.succeeded = sum(it[-1].status == 200 for it in tries.values())
        self.ran_twice = sorted(request_id for request_id, moments in self.runs.items() if len(moments) > 1)
        self.refused_though_run = sorted(request_id for request_id in tries if self.was_refused_though_run(request_id, tries[request_id]))
        self.misanswered = sorted(request_id for request_id, sent in tries.items() if sent[-1].status == 200 and sent[-1].body != request_id)

    def was_refused_though_run(self, request_id, tries):
        """Returns whether a run began in a try that was refused, or after it and before the next one."""
        ends = [it.started for it in tries[1:]] + [float("inf")]
        moments = self.runs.get(request_id, [])
        return any(it.status in PROMISES and it.started <= moment < end for it, end in zip(tries, ends) for moment in moments)

    def __str__(self):
        return (f"requests={self.requests} refusals={self.refusals} succeeded={self.succeeded} ran_twice={len(self.ran_twice)} "
                f"refused_though_run={len(self.refused_though_run)}")


def is_served(host):
    headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": f"probe{random.random()}", "X-Guavafield-Deadline-Ms": "4000", "Authorization": "Token key-a"}
    return http_request(host["caller_port"], "POST", "/once/x", "x", headers).status == 200


class Succession:
    """Gives the addresses of servers to new processes again and again; the store lists the one before for a moment more."""

    def __init__(self, machines, servers):
        self.machines = machines
        self.servers = servers
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()

    def run(self):
        for generation in range(2, MOST_GENERATIONS):
            for it in self.servers:
                if self.stopped.wait(GENERATION_S):
                    return
                before = it.name
                it.start_again(f"{before.partition('-')[0]}-{generation}")
                self.machines.store.write("servers", it.name, it.entry("s", "a"))
                if self.stopped.wait(EXPIRY_S):
                    return
                self.machines.store.remove("servers", before)


def start_servers(machines, policy, number):
    servers = [RefusingServer(f"s{n}-1", policy) for n in range(number)]
    for it in servers:
        machines.servers[it.name] = it
        machines.store.write("servers", it.name, it.entry("s", "a"))
    return servers


def send_from_all_callers(host, policy, pauses_s):
    """Returns the tries of all requests by request id."""
    callers = [Caller(host, f"{policy.seed}:{n}", pauses_s) for n in range(CALLERS)]
    ids = [f"{n}-{policy.seed}" for n in range(REQUESTS)]
    run_in_parallel([lambda n=n: callers[n].send_all(ids[n::CALLERS]) for n in range(CALLERS)])
    return {request_id: tries for caller in callers for request_id, tries in caller.tries.items()}


def play(case, policy, servers=1, succession=False, pauses_s=PAUSES_S):
    with MachinesFixture() as machines:
        machines.store.write("op", "config", operators_document(2, routes=[ONCE_ROUTE]))
        started = start_servers(machines, policy, servers)
        host = machines.start_host("h0")
        wait_until(lambda: is_served(host), "the host serves the route")
        with Succession(machines, started) if succession else contextlib.nullcontext():
            tries = send_from_all_callers(host, policy, pauses_s)
        figures = Figures(tries, started)
    print(f"{case}: seed={policy.seed} {figures}", flush=True)
    assert figures.requests == REQUESTS and figures.refusals > REQUESTS // 10, str(figures)
    assert not figures.ran_twice, figures.ran_twice
    assert not figures.refused_though_run, figures.refused_though_run
    assert not figures.misanswered, figures.misanswered
    assert figures.succeeded >= LEAST_SUCCESS_SHARE * REQUESTS, str(figures)


def test_refusals_without_copies():
    play("no copies", RefusalPolicy(SEED, 0.4, CopyTiming.NONE))


def test_copy_before_the_next_answer_is_not_taken_for_it():
    play("before the next answer", RefusalPolicy(SEED, 0.4, CopyTiming.BEFORE_NEXT_ANSWER))


def test_copy_in_two_writes_is_not_taken_for_the_next_answer():
    play("before the next answer, in two writes", RefusalPolicy(SEED + 1, 0.4, CopyTiming.BEFORE_NEXT_ANSWER, split=True))


def test_copies_of_two_servers_are_not_taken_for_the_next_answers():
    play("before the next answer, two servers", RefusalPolicy(SEED + 2, 0.6, CopyTiming.BEFORE_NEXT_ANSWER), servers=2)


def test_copy_that_comes_soon_is_not_taken_for_the_next_answer():
    play("3 ms late", RefusalPolicy(SEED + 3, 0.4, CopyTiming.DELAYED, 0.003))


def test_copy_that_comes_late_in_two_writes_is_not_taken_for_the_next_answer():
    play("60 ms late, in two writes", RefusalPolicy(SEED + 4, 0.4, CopyTiming.DELAYED, 0.06, split=True), pauses_s=(0.05, 0.06))


def test_copy_of_a_misdirected_answer_is_not_taken_for_the_next_one():
    play("an address under two ids", RefusalPolicy(SEED + 5, 0.0, CopyTiming.BEFORE_NEXT_ANSWER), succession=True)


def test_copies_of_two_misdirecting_servers_are_not_taken_for_the_next_answers():
    play("two addresses under two ids each", RefusalPolicy(SEED + 6, 0.1, CopyTiming.BEFORE_NEXT_ANSWER), servers=2, succession=True)


def test_late_copy_of_a_misdirected_answer_is_not_taken_for_the_next_one():
    play("an address under two ids, 3 ms late", RefusalPolicy(SEED + 7, 0.0, CopyTiming.DELAYED, 0.003), succession=True)


if __name__ == "__main__":
    run_tests(globals())
