"""Servers of several software versions, clients that take broken streams up again, and the fixture of both.

What two versions write doesn't fit together. The data of each event names the version that wrote it, so a client's record shows a joined stream.
"""
import http.client
import json
import random
import signal
import socket
import threading
import time
from dataclasses import dataclass, field

from fleet import wait_until
from machines import HOST_NAME, HttpService, MachinesFixture, is_ready

HOST_IDS = ("h0", "h1", "h2")

EVENTS_PER_STREAM = 30
EVENT_GAP_S = 0.1
SERVER_SLOTS = 40
# Streams start over this time, so that they are at different events when something fails.
START_SPREAD_S = 0.8

# Time that a client has for its stream, and its limits on the way.
CLIENT_LIMIT_S = 18.0
CLIENT_GAP_S = 4.0
MAX_TAKE_UPS = 6
MAX_REFUSALS = 2
PAUSE_AFTER_FAILURE_S = 0.05


class StreamServer(HttpService):
    """A server of one software version whose events name that version; it serves until it crashes."""

    def __init__(self, name, version, port=0):
        self.name = name
        # None if the server's entry names no version.
        self.version = version
        self.born_ms = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.crashed = False
        self.connections = set()
        self.running_ids = set()
        # Requests that ran when the server crashed.
        self.cut_ids = set()
        super().__init__(port)

    def entry(self, service="s", zone="a"):
        fields = {"service": service, "address": f"127.0.0.1:{self.port}", "zone": zone, "slots": SERVER_SLOTS, "state": "ready", "coldLeftMs": 0,
                  "seqNo": 1, "born": self.born_ms}
        if self.version is not None:
            fields["version"] = self.version
        return json.dumps(fields)

    def crash(self):
        """Closes the listener and all connections, in the middle of their streams."""
        with self.lock:
            if self.crashed:
                return
            self.crashed = True
            self.cut_ids = set(self.running_ids)
            self.server.socket.shutdown(socket.SHUT_RDWR)
            for it in self.connections:
                try:
                    it.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # closed by the daemon before

    def stop(self):
        self.crash()
        super().stop()

    def handle(self, handler):
        handler.body()
        request_id = handler.headers["X-Guavafield-Request-Id"]
        with self.lock:
            if self.crashed:
                handler.close_connection = True
                return
            self.connections.add(handler.connection)
        if handler.path == "/report":
            handler.respond(200, {"stage": "both", "models": [], "busy": False, "seqNo": 1, "waiting": 0, "running": len(self.running_ids), "born": self.born_ms})
            return
        if handler.headers["X-Guavafield-Expect-Instance"] != self.name:
            handler.respond(421, headers=[("X-Guavafield-Instance-Id", self.name), ("X-Guavafield-Not-Executed", "1")])
            return
        with self.lock:
            self.running_ids.add(request_id)
        try:
            self.send_events(handler, request_id, int(handler.headers.get("Last-Event-Id") or 0) + 1)
        finally:
            with self.lock:
                self.running_ids.discard(request_id)

    def send_events(self, handler, request_id, first):
        handler.send_response(200)
        handler.send_header("X-Guavafield-Request-Id", request_id)
        handler.send_header("X-Guavafield-Response-Seal", "seal-" + request_id)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(first, EVENTS_PER_STREAM + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_GAP_S)
        handler.wfile.write(b"0\r\n\r\n")


@dataclass
class Event:
    number: int
    version: str


@dataclass
class Answer:
    """The events that one attempt brought."""

    request_id: str
    events: list = field(default_factory=list)


@dataclass
class StreamRecord:
    """A stream as its client put it together, from the attempt that began it and its take-ups."""

    # Only answers with events.
    answers: list = field(default_factory=list)
    take_ups: int = 0

    @property
    def events(self):
        return [event for answer in self.answers for event in answer.events]

    @property
    def is_complete(self):
        return [it.number for it in self.events] == list(range(1, EVENTS_PER_STREAM + 1))

    @property
    def is_joined_in_answer(self):
        return any(len({it.version for it in answer.events}) > 1 for answer in self.answers)

    @property
    def is_joined_over_answers(self):
        return not self.is_joined_in_answer and len({it.version for it in self.events}) > 1

    def was_broken(self, cut_ids):
        """Returns whether the client lost its connection to the stream or a server crashed while it ran."""
        return self.take_ups > 0 or any(it.request_id in cut_ids for it in self.answers)


class StreamClient(threading.Thread):
    """Reads one stream to its end; takes it up at another host when it breaks, and begins anew only when it has to."""

    def __init__(self, fixture, name, start_delay_s):
        super().__init__(daemon=True)
        self.fixture = fixture
        self.path = f"/stream/{name}"
        self.start_delay_s = start_delay_s
        self.random = random.Random(f"{fixture.seed} {name}")
        self.end = None
        # Of the last attempt.
        self.host = None
        # The last of them is under way; the others could not go on.
        self.records = []

    def run(self):
        time.sleep(self.start_delay_s)
        self.end = time.monotonic() + CLIENT_LIMIT_S
        while self.time_left() > 0:
            self.records.append(StreamRecord())
            self.read_stream(self.records[-1])
            if self.records[-1].is_complete:
                return

    def time_left(self):
        return self.end - time.monotonic()

    def received(self):
        """Returns the number of events of the current stream."""
        return len(self.records[-1].events) if self.records else 0

    def read_stream(self, record):
        refusals = 0
        while not record.is_complete and record.take_ups < MAX_TAKE_UPS and refusals < MAX_REFUSALS and self.time_left() > 0:
            is_take_up = bool(record.events)
            if is_take_up:
                record.take_ups += 1
            status = self.send_attempt(record)
            if is_take_up and status == 503:
                refusals += 1

    def send_attempt(self, record):
        """Sends one attempt and reads its answer; returns its status, or None if the connection broke first."""
        self.host = self.choose_host()
        answer = Answer(f"{self.random.getrandbits(64):016x}")
        headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": answer.request_id, "X-Guavafield-Deadline-Ms": str(int(self.time_left() * 1000)),
                   "Authorization": "Token key-a"}
        if record.events:
            headers["Last-Event-Id"] = str(record.events[-1].number)
            headers["Resumes"] = record.answers[0].request_id
        connection = http.client.HTTPConnection("127.0.0.1", self.host["caller_port"], timeout=CLIENT_GAP_S)
        try:
            connection.request("GET", self.path, headers=headers)
            response = connection.getresponse()
            if response.status == 200:
                self.read_events(response, record, answer)
            else:
                response.read()
                time.sleep(self.pause(response))
            return response.status
        except (http.client.HTTPException, OSError):
            time.sleep(PAUSE_AFTER_FAILURE_S)
            return None
        finally:
            connection.close()

    def choose_host(self):
        """Returns a host other than the last one if there is another, and waits while there is none at all."""
        ready = wait_until(lambda: self.fixture.ready_hosts, "a ready host")
        others = [it for it in ready if it is not self.host]
        return self.random.choice(others or ready)

    def pause(self, response):
        if response.status in (429, 503):
            return min(float(response.getheader("Retry-After") or PAUSE_AFTER_FAILURE_S), max(0.0, self.time_left() / 3))
        return PAUSE_AFTER_FAILURE_S

    @staticmethod
    def read_events(response, record, answer):
        number = version = None
        while line := response.readline():
            name, _, value = line.decode().rstrip("\n").partition(": ")
            if name == "id":
                number = int(value)
            elif name == "data":
                version = value.split()[0]
            elif line == b"\n" and number is not None:
                if not answer.events:
                    record.answers.append(answer)
                answer.events.append(Event(number, version))
                number = None


@dataclass
class Outcome:
    """What became of the streams of a test."""

    streams: int
    broken: int
    taken_up: int
    went_on: int
    joined_in_answer: int
    joined_over_answers: int


class StreamsFixture(MachinesFixture):
    """Servers of several versions, hosts and clients of one test; the seed decides who fails and which host a client chooses."""

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        self.ready_hosts = []
        self.clients = []
        self.crashed_servers = []
        print(f"seed {seed}", flush=True)

    def start_stream_server(self, name, version):
        server = self.servers[name] = StreamServer(name, version)
        self.store.write("servers", name, server.entry())

    def start_stream_servers(self, versions, per_version):
        for version in versions:
            for n in range(per_version):
                self.start_stream_server(f"{version}-{n}", version)

    def servers_of(self, version, count):
        """Returns the names of `count` servers of a version, chosen at random."""
        return self.random.sample(sorted(name for name, it in self.servers.items() if it.version == version), count)

    def crash_servers(self, names):
        """Crashes servers at once; their entries stay."""
        crashed = [self.servers.pop(it) for it in names]
        for it in crashed:
            it.crash()
        for it in crashed:
            it.stop()
        self.crashed_servers += crashed

    def replace_in_place(self, names, version, entry_delay_s):
        """Replaces the processes of servers by those of another version at the same addresses; their entries follow later."""
        ports = {name: self.servers[name].port for name in names}
        self.crash_servers(names)
        for name, port in ports.items():
            server = self.servers[name] = StreamServer(name, version, port)
            threading.Timer(entry_delay_s, self.store.write, ("servers", name, server.entry())).start()

    def remove_entries(self, names):
        """Removes the entries of servers, which serve on."""
        for name in names:
            self.store.remove("servers", name)

    def start_ready_hosts(self):
        """Starts all hosts together; clients use each of them as soon as it is ready."""
        for host in [self.start_host(it) for it in HOST_IDS]:
            wait_until(lambda host=host: is_ready(host), "readiness")
            self.ready_hosts = [*self.ready_hosts, host]

    def kill_hosts(self, names):
        """Kills hosts at once, with no time to say anything to anyone."""
        self.ready_hosts = [it for it in self.ready_hosts if it["child"].name not in names]
        killed = [self.hosts.pop(it)["child"] for it in names]
        for it in killed:
            it.send_signal(signal.SIGKILL)
        for it in killed:
            it.wait()

    def start_clients(self, count):
        first = len(self.clients)
        started = [StreamClient(self, str(n), START_SPREAD_S * self.random.random()) for n in range(first, first + count)]
        for it in started:
            it.start()
        self.clients += started

    def wait_for_events(self, count):
        """Waits until each client has read `count` events."""
        wait_until(lambda: all(it.received() >= count for it in self.clients), f"{count} events at each client")

    def finish(self):
        """Waits for all clients and returns what became of their streams."""
        for it in self.clients:
            it.join()
        records = [record for it in self.clients for record in it.records if record.events]
        cut_ids = {it for server in self.crashed_servers for it in server.cut_ids}
        broken = [it for it in records if it.was_broken(cut_ids)]
        outcome = Outcome(len(records), len(broken), sum(it.take_ups > 0 for it in records), sum(it.is_complete for it in broken),
                          sum(it.is_joined_in_answer for it in records), sum(it.is_joined_over_answers for it in records))
        print(outcome, flush=True)
        return outcome
