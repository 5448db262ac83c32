"""Seeded fault soak: real daemons, two services and clients under faults that overlap, while a ledger checks what clients and servers see.

Without arguments one fixed seed runs, as in CI. By hand, for example: soak_test.py --seeds 50 --first 1 --seconds 12 --jobs 4
"""
import argparse
import concurrent.futures
import functools
import glob
import itertools
import os
import random
import signal
import subprocess
import sys
import threading
import time
import traceback

from fleet import BIN_DIR, wait_until
from machines import HOST_NAME, is_ready, operators_document
from soak import FaultyServer, Ledger, Mode, PlainClient, StreamReader
from streams import StreamsFixture

CI_SEED = 22
ALL_KEYS = ("key-a", "key-b")
# Time between the starts of two faults; each lasts up to some seconds.
MEAN_FAULT_GAP_S = 0.45
# SIGKILL follows SIGTERM after the grace period of the hosts' settings and a little more.
STOP_LIMIT_S = 5.0
# Stopped, stopped at the end of the grace period with requests interrupted, killed.
EXIT_CODES_WHEN_TOLD_TO_END = (0, 3, -signal.SIGKILL)
RECOVERY_LIMIT_S = 30.0
SERVERS_LEAVE_AFTER_S = 2.5
PRINTED_VIOLATIONS = 8
PRINTED_LOG_LINES = 12


class SoakFixture(StreamsFixture):
    """The system under test and everything that can happen to it; each public method is one fault and draws from its own generator."""

    def __init__(self, seed, hosts, servers, former_bin=None):
        super().__init__(seed)
        self.former_bin = former_bin
        self.builds = random.Random(f"{seed} builds")
        self.ledger = Ledger()
        self.stopping = threading.Event()
        self.host_names = [f"h{n}" for n in range(hosts)]
        self.server_count = servers
        self.locks = {it: threading.Lock() for it in self.host_names}
        self.start_lock = threading.Lock()
        # Processes that were told to end.
        self.ended = set()
        self.started = []
        self.names = itertools.count(1)
        self.config_version = 1
        self.keys = ALL_KEYS
        self.extra_routes = []
        self.writing = threading.RLock()

    def start(self):
        self.write_configuration()
        for n in range(self.server_count):
            self.start_faulty_server(f"x{next(self.names)}", "v1", "st"[n % 2])
        for it in self.host_names:
            self.start_ready_host(it)

    def wait_for_ready_hosts(self):
        return wait_until(lambda: self.ready_hosts, "a ready host")

    # The hosts.

    def bin_dir(self):
        """Returns the folder of either build, so that hosts of both run side by side."""
        return self.builds.choice((BIN_DIR, self.former_bin)) if self.former_bin else BIN_DIR

    def start_ready_host(self, name):
        with self.start_lock:
            host = self.start_host(name)
        self.started.append(host["child"])
        wait_until(lambda: not host["child"].is_running() or is_ready(host), f"readiness of {name}")
        self.ready_hosts = [*self.ready_hosts, host]

    def restart(self, name, signal_number, pause_s):
        with self.locks[name]:
            child = self.hosts[name]["child"]
            self.ready_hosts = [it for it in self.ready_hosts if it["child"] is not child]
            self.ended.add(child)
            child.send_signal(signal_number)
            try:
                child.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                child.kill()
            time.sleep(pause_s)
            self.start_ready_host(name)

    def kill_host(self, rng):
        self.restart(rng.choice(self.host_names), signal.SIGKILL, rng.uniform(0, 1.5))

    def terminate_host(self, rng):
        self.restart(rng.choice(self.host_names), signal.SIGTERM, rng.uniform(0, 0.5))

    def kill_all_hosts(self, rng):
        pauses = [rng.uniform(0, 1) for _ in self.host_names]
        killed = [threading.Thread(target=self.restart, args=(name, signal.SIGKILL, pause)) for name, pause in zip(self.host_names, pauses)]
        for it in killed:
            it.start()
        for it in killed:
            it.join()

    def freeze_host(self, rng):
        child = self.hosts[rng.choice(self.host_names)]["child"]
        self.ledger.excuse(child)
        child.suspend()
        time.sleep(rng.uniform(0.3, 4))
        child.resume()
        self.ledger.excuse(child)

    def reload_hosts(self, rng):
        for name in rng.sample(self.host_names, 2):
            self.reload(self.hosts[name])

    # The servers.

    def start_faulty_server(self, name, version, service, port=0, entry_delay_s=0.0):
        server = FaultyServer(name, version, service, self.ledger, port)
        time.sleep(entry_delay_s)
        with self.writing:
            self.servers[name] = server
            self.store.write("servers", name, server.entry())

    def take_server(self, rng, service="st"):
        """Takes a server that nothing else happens to out of those that serve, so that one fault alone ends it."""
        with self.writing:
            found = sorted(name for name, it in self.servers.items() if it.service in service and it.state == "ready")
            return self.servers.pop(rng.choice(found)) if len(found) > 2 else None

    def crash_server(self, rng, version=None, service="st"):
        """Crashes a server; it comes back under its id or its entry goes later and another server comes."""
        server = self.take_server(rng, service)
        if server is None:
            return
        server.stop()
        time.sleep(rng.uniform(0.1, 1.5))
        name = server.name
        if rng.random() < 0.4:
            self.store.remove("servers", name)
            name = f"x{next(self.names)}"
        self.start_faulty_server(name, version or server.version, server.service)

    def replace_server_in_place(self, rng):
        """Replaces a server's process by one of any version at its address, whose entry follows later."""
        server = self.take_server(rng, "t")
        if server is not None:
            server.stop()
            self.start_faulty_server(server.name, rng.choice(("v1", "v2")), server.service, server.port, rng.uniform(0, 3))

    def drain_server(self, rng):
        """Lets a server leave as planned, after another one has come."""
        server = self.take_server(rng)
        if server is None:
            return
        self.start_faulty_server(f"x{next(self.names)}", server.version, server.service)
        # Its answers say so before its entry does.
        server.is_leaving = True
        time.sleep(rng.uniform(0, 3))
        server.state = "draining"
        self.store.write("servers", server.name, server.entry())
        time.sleep(SERVERS_LEAVE_AFTER_S + rng.uniform(0, 1.5))
        self.store.remove("servers", server.name)
        server.stop()

    def release(self, rng):
        """Gives the servers of the streams' service another version one after the other, some of them or all."""
        version = rng.choice(("v1", "v2"))
        gap_s = rng.uniform(0, 0.4)
        for _ in range(rng.randint(1, self.server_count // 2)):
            self.crash_server(rng, version, "t")
            time.sleep(gap_s)

    def misbehave(self, mode, rng):
        """Makes some servers or all of a service misbehave for a while."""
        service = rng.choice("st")
        with self.writing:
            servers = sorted((it for it in self.servers.values() if it.service == service), key=lambda it: it.name)
        chosen = rng.sample(servers, max(1, round(rng.choice((0.3, 0.6, 1.0)) * len(servers))))
        for it in chosen:
            it.mode = mode
        time.sleep(rng.uniform(0.5, 2))
        for it in chosen:
            it.mode = Mode.SOUND

    # The store and the operator.

    def take_store_down(self, rng):
        self.store.down = True
        time.sleep(rng.uniform(0.3, 3))
        self.store.down = False

    def slow_store(self, rng):
        self.store.delay_s = rng.uniform(0.1, 0.8)
        time.sleep(rng.uniform(0.5, 3))
        self.store.delay_s = 0.0

    def lose_store_answers(self, rng):
        self.store.lose_answers += rng.randint(1, 6)

    def restore_store(self, rng):
        copy = self.store.copy()
        time.sleep(rng.uniform(0.3, 2))
        with self.writing:
            self.store.down = True
            time.sleep(rng.uniform(0.1, 0.5))
            self.store.restore(copy)
            self.store.down = False
            for name in {key for (table, key) in self.store.copy()[0] if table == "servers"} - set(self.servers):
                self.store.remove("servers", name)
            for name, it in self.servers.items():
                self.store.write("servers", name, it.entry())
            self.write_configuration()

    def change_configuration(self, rng):
        with self.writing:
            self.keys = rng.choice((("key-a",), ALL_KEYS))
            self.extra_routes = [self.route(f"extra{n}", f"/extra{n}/", "idempotent", "s") for n in range(rng.randint(0, 3))]
            self.write_configuration()

    def allow_all_keys(self):
        with self.writing:
            self.keys = ALL_KEYS
            self.write_configuration()

    def write_configuration(self):
        with self.writing:
            self.config_version += 1
            routes = [self.route("once", "/once/", "non_idempotent", "s"), dict(self.route("streams", "/stream/t/", "stream", "t"), resumable=True),
                      *self.extra_routes]
            document = operators_document(self.config_version, self.keys, routes, [{"name": "t", "maxConns": 1000}])
            self.store.write("op", "config", document)

    @staticmethod
    def route(name, prefix, kind, service):
        return {"name": name, "host": HOST_NAME, "prefix": prefix, "kind": kind, "timeoutMs": 15000 if kind == "stream" else 4000,
                "targetLatencyMs": 500, "gapAimMs": 500, "service": service, "maxAttempts": 3}

    # What holds at all times.

    def check_processes(self):
        """Reports processes that ended by themselves, or not as they were told to."""
        for child in [it for it in self.started if not it.is_running()]:
            self.started.remove(child)
            if child not in self.ended or child.process.returncode not in EXIT_CODES_WHEN_TOLD_TO_END:
                self.ledger.report("ENDED", None, f"{child.name} ended with {child.process.returncode}: {child.log()[-2000:]}")

    def log_lines(self, request_id):
        """Returns what all hosts have logged about a request."""
        if request_id is None:
            return []
        found = []
        for path in sorted(glob.glob(os.path.join(self.folder.name, "*.out"))):
            with open(path, errors="replace") as file:
                found += [f"{os.path.basename(path)}: {line.rstrip()}" for line in file if request_id in line]
        return found


FAULTS = (SoakFixture.kill_host, SoakFixture.terminate_host, SoakFixture.kill_all_hosts, SoakFixture.freeze_host, SoakFixture.freeze_host,
          SoakFixture.reload_hosts, SoakFixture.crash_server, SoakFixture.crash_server, SoakFixture.drain_server, SoakFixture.release,
          SoakFixture.replace_server_in_place, SoakFixture.replace_server_in_place,
          SoakFixture.take_store_down, SoakFixture.slow_store, SoakFixture.lose_store_answers, SoakFixture.restore_store,
          SoakFixture.change_configuration,
          *(functools.partial(SoakFixture.misbehave, mode=it)
            for it in (Mode.REFUSING, Mode.REFUSING, Mode.REFUSING, Mode.LOSING, Mode.BREAKING, Mode.BREAKING)))


def name_of(fault):
    return f"misbehave {fault.keywords['mode'].value}" if isinstance(fault, functools.partial) else fault.__name__


def play_faults(fixture, seconds):
    """Starts faults until the time is over, and waits for their ends; returns what was started when."""
    begin = fixture.ledger.begin
    played = []
    threads = []
    faults = [it for it in FAULTS if not fixture.former_bin or it is not SoakFixture.replace_server_in_place]
    while time.monotonic() < begin + seconds:
        fault = fixture.random.choice(faults)
        rng = random.Random(fixture.random.getrandbits(64))
        played.append(f"{time.monotonic() - begin:.2f} s {name_of(fault)}")
        threads.append(threading.Thread(target=fault, args=(fixture,), kwargs={"rng": rng}, daemon=True))
        threads[-1].start()
        time.sleep(min(fixture.random.expovariate(1 / MEAN_FAULT_GAP_S), 2.0))
        fixture.check_processes()
    for it in threads:
        it.join()
    return played


def print_violations(fixture, played):
    print("faults:", *played, sep="\n  ")
    for it in fixture.ledger.violations[:PRINTED_VIOLATIONS]:
        print(f"{it.at_s:.2f} s {it.rule}, request {it.request_id}: {it.text}")
        print(*fixture.log_lines(it.request_id)[:PRINTED_LOG_LINES], sep="\n")


def run_seed(seed, arguments):
    """Plays one seed; returns whether all checks held."""
    with SoakFixture(seed, arguments.hosts, arguments.servers, arguments.former_bin) as fixture:
        # An error in a thread of the soak fails it like a violation.
        threading.excepthook = lambda it: fixture.ledger.report("SOAK", None, "".join(traceback.format_exception(it.exc_value)))
        fixture.start()
        clients = [PlainClient(fixture, f"p{n}") for n in range(4 * arguments.hosts)]
        readers = [StreamReader(fixture, f"r{n}") for n in range(4 * arguments.hosts)]
        for it in clients + readers:
            it.start()
        played = play_faults(fixture, arguments.seconds)
        fixture.allow_all_keys()
        try:
            wait_until(fixture.ledger.has_recovered, "nine in ten requests served", RECOVERY_LIMIT_S)
        except AssertionError as error:
            fixture.ledger.report("RECOVER", None, f"{error}; last statuses {[it.status for it in fixture.ledger.recent[-30:]]}")
        fixture.stopping.set()
        for it in clients + readers:
            it.join()
        fixture.check_processes()
        rules = sorted({it.rule for it in fixture.ledger.violations})
        if rules:
            print_violations(fixture, played)
        print(f"seed {seed}: {'failed ' + ' '.join(rules) if rules else 'passed'}, {len(played)} faults, {len(fixture.ledger.calls)} calls, "
              f"{fixture.ledger.served} served, {sum(it.completed for it in readers)} of {sum(it.streams for it in readers)} streams complete", flush=True)
        return not rules


def run_in_own_process(seed, arguments):
    """Plays one seed in a process of its own and returns whether it passed."""
    command = [sys.executable, "-B", __file__, "--first", str(seed), "--seconds", str(arguments.seconds), "--hosts", str(arguments.hosts),
               "--servers", str(arguments.servers), *(["--former-bin", arguments.former_bin] if arguments.former_bin else [])]
    result = subprocess.run(command, capture_output=True, text=True)
    output = (result.stdout + result.stderr).rstrip()
    print(output.splitlines()[-1] if result.returncode == 0 else output, flush=True)
    return result.returncode == 0


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=CI_SEED, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=18.0, help="the time over which faults start")
    parser.add_argument("--jobs", type=int, default=1, help="seeds that run at a time")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--servers", type=int, default=10)
    parser.add_argument("--former-bin", help="folder with the daemon of another version; each host starts either, and no server is replaced in place")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    if arguments.seeds == 1:
        return run_seed(arguments.first, arguments)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        seeds = range(arguments.first, arguments.first + arguments.seeds)
        passed = list(pool.map(lambda it: run_in_own_process(it, arguments), seeds))
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return all(passed)


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
