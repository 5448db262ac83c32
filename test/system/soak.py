"""Servers that misbehave on demand and clients of a soak; both write what they see into one ledger, which checks it at once.

A call is what clients send under one request id: one attempt, and repeats of it at the same host after an answer that promises that nothing has run.
"""
import enum
import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field

from machines import HOST_NAME
from streams import EVENT_GAP_S, EVENTS_PER_STREAM, StreamClient, StreamServer

PROMISES_NOT_RUN = (408, 421, 429, 503)
# Other 4xx to proper requests that every configuration allows: at most so many and one in so many calls.
MAX_DENIALS = 5
CALLS_PER_DENIAL = 500
# Time after which a host that was told that a server leaves sends it nothing that a client sends later.
DRAIN_S = 2.0
# Answers of the last seconds, from which the share that is served is taken.
RECENT_S = 2.0
MIN_RECENT = 20

CLIENT_TIMEOUT_S = 8.0
PAUSE_BETWEEN_CALLS_S = 0.05
MAX_REPEATS = 4
PLAIN_WORK_S = 0.03


@dataclass
class Attempt:
    """One sending of a call; `child` is the process of the host that it went to."""

    child: object
    sent_at: float
    status: int = None


@dataclass
class Call:
    is_idempotent: bool
    attempts: list = field(default_factory=list)
    # Names of the servers that ran it, in order.
    runs: list = field(default_factory=list)


@dataclass
class Violation:
    at_s: float
    rule: str
    # None if it isn't about one request.
    request_id: str
    text: str


@dataclass
class RecentAnswer:
    at: float
    status: int


class Ledger:
    """All that clients and servers have seen; collects each violation as it happens."""

    def __init__(self):
        self.lock = threading.RLock()
        self.begin = time.monotonic()
        self.calls = {}
        self.violations = []
        self.denials = 0
        self.recent = []
        self.served = 0
        # Requests that a server has answered with Server-Leaving.
        self.leaving_answers = {}
        # Time at which a host's process first passed on that a server leaves.
        self.told_leaving = {}

    def report(self, rule, request_id, text):
        with self.lock:
            self.violations.append(Violation(time.monotonic() - self.begin, rule, request_id, text))

    def sent(self, request_id, is_idempotent, child):
        with self.lock:
            call = self.calls.setdefault(request_id, Call(is_idempotent))
            call.attempts.append(Attempt(child, time.monotonic()))

    def arrived(self, request_id, server):
        """Notes that a request has reached a server, whether it is then run or refused."""
        with self.lock:
            if request_id not in self.calls:
                return
            attempt = self.calls[request_id].attempts[-1]
            told_at = self.told_leaving.get((attempt.child, server))
            if told_at is not None and attempt.sent_at > told_at + DRAIN_S:
                self.report("DRAIN", request_id, f"{server.name}, {attempt.sent_at - told_at:.1f} s after {attempt.child.name} was told that it leaves")

    def run(self, request_id, server):
        with self.lock:
            call = self.calls.get(request_id)
            if call is None:
                self.report("UNASKED", request_id, f"run by {server.name}, sent by no client")
                return
            call.runs.append(server.name)
            if call.is_idempotent:
                return
            if len(call.runs) > 1:
                self.report("TWICE", request_id, f"run by {', '.join(call.runs)}")
            if call.attempts[-1].status in PROMISES_NOT_RUN:
                self.report("REFUSED", request_id, f"run by {server.name} after {call.attempts[-1].status}")

    def answered(self, request_id, status, is_denial=False):
        """Notes the status that a client got, or None if the connection broke or the client gave up."""
        with self.lock:
            call = self.calls[request_id]
            attempt = call.attempts[-1]
            attempt.status = status
            now = time.monotonic()
            self.served += status == 200
            self.recent = [it for it in self.recent if it.at > now - RECENT_S] + [RecentAnswer(now, status)]
            if status in PROMISES_NOT_RUN and call.runs and not call.is_idempotent:
                self.report("REFUSED", request_id, f"answered {status} by {attempt.child.name}, but run by {', '.join(call.runs)}")
            if status == 200 and request_id in self.leaving_answers:
                self.told_leaving.setdefault((attempt.child, self.leaving_answers[request_id]), now)
            self.denials += is_denial
            if is_denial and self.denials > MAX_DENIALS + len(self.calls) / CALLS_PER_DENIAL:
                self.report("DENIED", request_id, f"answered {status} by {attempt.child.name}")

    def excuse(self, child):
        """Forgets what a host was told, as its process freezes."""
        with self.lock:
            self.told_leaving = {key: value for key, value in self.told_leaving.items() if key[0] is not child}

    def has_recovered(self):
        with self.lock:
            since = time.monotonic() - RECENT_S
            recent = [it.status for it in self.recent if it.at > since]
            return len(recent) >= MIN_RECENT and recent.count(200) >= 0.9 * len(recent)


class Mode(enum.Enum):
    """How a server answers; a misbehaving one does so to some requests, and to the others as a sound one."""

    SOUND = "sound"
    # Refuses, at times with a second copy of the refusal later.
    REFUSING = "refusing"
    # Runs plain requests and closes the connection without an answer.
    LOSING = "losing"
    # Breaks streams off, in the middle of an event too.
    BREAKING = "breaking"


class FaultyServer(StreamServer):
    """A server of plain requests and streams that refuses, loses answers or breaks streams while it is told to."""

    def __init__(self, name, version, service, ledger, port=0):
        self.service = service
        self.ledger = ledger
        # State in the server's entry, and whether its answers say that it leaves.
        self.state = "ready"
        self.is_leaving = False
        self.mode = Mode.SOUND
        self.random = random.Random(name)
        super().__init__(name, version, port)

    def entry(self, service=None, zone="a"):
        return json.dumps(dict(json.loads(super().entry(self.service, zone)), state=self.state))

    def leaving_headers(self):
        return [("Server-Leaving", "1")] if self.is_leaving else []

    def send_events(self, handler, request_id, first):
        """Answers a request that is meant for this server: a stream, or a plain request by its path."""
        self.ledger.arrived(request_id, self)
        self.send_late_copy(handler)
        if self.mode is Mode.REFUSING and self.random.random() < 0.7:
            self.refuse(handler, request_id)
        elif handler.path.startswith("/stream/"):
            self.send_stream(handler, request_id, first)
        else:
            self.send_plain(handler, request_id)

    @staticmethod
    def send_late_copy(handler):
        """Sends the second copy of the connection's last refusal where the answer to this request is due."""
        status, headers = getattr(handler, "late_copy", (None, None))
        handler.late_copy = (None, None)
        if status is not None:
            handler.respond(status, headers=headers)

    def refuse(self, handler, request_id):
        status = self.random.choice((503, 503, 429, 421))
        headers = [("X-Guavafield-Request-Id", request_id), ("X-Guavafield-Not-Executed", "1"), *self.leaving_headers()]
        if status == 503 and self.random.random() < 0.2:
            headers.append(("Retry-After", "0.3"))
        handler.respond(status, headers=headers)
        if self.random.random() < 0.5:
            handler.late_copy = (status, headers)

    def send_plain(self, handler, request_id):
        self.ledger.run(request_id, self)
        time.sleep(PLAIN_WORK_S * self.random.random())
        if self.mode is Mode.LOSING:
            handler.close_connection = True
            return
        leaving_headers = self.leaving_headers()
        if leaving_headers:
            with self.ledger.lock:
                self.ledger.leaving_answers[request_id] = self
        headers = [("X-Guavafield-Request-Id", request_id), ("X-Guavafield-Response-Seal", "seal-" + request_id), *leaving_headers]
        handler.respond(200, f"body of {request_id}".encode(), headers)

    def send_stream(self, handler, request_id, first):
        handler.send_response(200)
        headers = [("X-Guavafield-Request-Id", request_id), ("X-Guavafield-Response-Seal", "seal-" + request_id),
                   ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self.leaving_headers()]
        for name, value in headers:
            handler.send_header(name, value)
        handler.end_headers()
        for number in range(first, EVENTS_PER_STREAM + 1):
            event = f"id: {number}\ndata: {self.version}:{handler.path} {number}\n\n".encode()
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            if self.mode is Mode.BREAKING and self.random.random() < 0.2:
                handler.wfile.write(chunk[:self.random.randrange(len(chunk))])
                handler.close_connection = True
                return
            handler.wfile.write(chunk)
            time.sleep(EVENT_GAP_S)
        handler.wfile.write(b"0\r\n\r\n")


class PlainClient(threading.Thread):
    """Sends plain requests over one kept connection, which it uses until it breaks or the host closes it."""

    def __init__(self, fixture, name):
        super().__init__(daemon=True)
        self.fixture = fixture
        self.ledger = fixture.ledger
        self.random = random.Random(f"{fixture.seed} plain {name}")
        self.path = self.random.choice(("/call/", "/once/", "/once/")) + name
        self.is_idempotent = self.path.startswith("/call/")
        self.repeats_id = self.random.random() < 0.6
        # Some don't wait as they are told.
        self.patience = self.random.choice((0.0, 0.1, 1.0))
        self.key = self.random.choice(("key-a", "key-a", "key-a", "key-b"))
        self.host = None
        self.connection = None

    def run(self):
        while not self.fixture.stopping.is_set():
            self.send_call()
            time.sleep(PAUSE_BETWEEN_CALLS_S * self.random.random())
        self.disconnect()

    def send_call(self):
        request_id = f"{self.random.getrandbits(64):016x}"
        for _ in range(MAX_REPEATS):
            status, pause_s = self.send_attempt(request_id)
            if status not in (429, 503):
                return
            time.sleep(pause_s)
            if not self.repeats_id:
                request_id = f"{self.random.getrandbits(64):016x}"
                self.disconnect()

    def send_attempt(self, request_id):
        """Returns the status, or None if there was no complete answer, and the time that the host asks for."""
        if self.connection is None:
            self.connect()
        headers = {"Host": HOST_NAME, "X-Guavafield-Request-Id": request_id, "X-Guavafield-Deadline-Ms": "4000", "Authorization": "Token " + self.key}
        self.ledger.sent(request_id, self.is_idempotent, self.host["child"])
        try:
            self.connection.request("POST", self.path, b"question of " + request_id.encode(), headers)
            response = self.connection.getresponse()
            body = response.read()
        except (http.client.HTTPException, OSError):
            self.disconnect()
            self.ledger.answered(request_id, None)
            return None, 0.0
        self.check_success(request_id, response, body)
        # Configurations withdraw and add the other key.
        is_denial = self.key == "key-a" and 400 <= response.status < 500 and response.status not in PROMISES_NOT_RUN
        self.ledger.answered(request_id, response.status, is_denial)
        if response.will_close:
            self.disconnect()
        return response.status, self.patience * min(float(response.getheader("Retry-After") or 0.0), 1.0)

    def check_success(self, request_id, response, body):
        seal = response.getheader("X-Guavafield-Response-Seal")
        if response.status == 200 and (seal != "seal-" + request_id or body != f"body of {request_id}".encode()):
            self.ledger.report("MIXED", request_id, f"seal {seal}, body {body[:80]}")

    def connect(self):
        others = [it for it in self.fixture.wait_for_ready_hosts() if it is not self.host]
        self.host = self.random.choice(others or self.fixture.wait_for_ready_hosts())
        self.connection = http.client.HTTPConnection("127.0.0.1", self.host["caller_port"], timeout=CLIENT_TIMEOUT_S)

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class CheckedStreamClient(StreamClient):
    """A stream's client that reports to the ledger what is wrong with its answers."""

    def read_events(self, response, record, answer):
        seal = response.getheader("X-Guavafield-Response-Seal")
        # Parts of an answer may come from later servers; its headers are the first one's.
        if seal != "seal-" + answer.request_id:
            self.fixture.ledger.report("MIXED", answer.request_id, f"seal {seal}")
        try:
            super().read_events(response, record, answer)
            # readline() doesn't tell a broken connection from the last chunk, after which no chunk is left to read.
            has_last_chunk = response.chunked and response.chunk_left is None
            if has_last_chunk and answer.events and not record.is_complete:
                self.fixture.ledger.report("ORDER", answer.request_id, f"ends as complete after {len(record.events)} events")
        finally:
            self.check_order(record, answer)

    def check_order(self, record, answer):
        numbers = [it.number for it in record.events]
        writers = sorted({it.version for it in record.events})
        if numbers != list(range(1, len(numbers) + 1)) or len(writers) > 1 or any(not it.endswith(":" + self.path) for it in writers):
            ids = [it.request_id for it in record.answers]
            self.fixture.ledger.report("ORDER", answer.request_id, f"{self.path}, attempts {ids}: events {numbers} of {writers}")


class StreamReader(threading.Thread):
    """Reads one stream after the other."""

    def __init__(self, fixture, name):
        super().__init__(daemon=True)
        self.fixture = fixture
        self.name = name
        self.streams = 0
        self.completed = 0

    def run(self):
        while not self.fixture.stopping.is_set():
            client = CheckedStreamClient(self.fixture, f"t/{self.name}-{self.streams}", start_delay_s=0.0)
            client.run()
            self.streams += 1
            self.completed += client.records[-1].is_complete
