"""Stand-in for a service instance that refuses some requests and sends each refusal a second time."""
import dataclasses
import enum
import json
import random
import socket
import threading
import time

REFUSAL_STATUSES = (503, 429)
# Longest time that a run takes.
LONGEST_RUN_S = 0.008
# Pause between the two writes of a copy that is split.
SPLIT_PAUSE_S = 0.001


class CopyTiming(enum.Enum):
    """When the copy of a refusal is sent on its connection."""

    NONE = "none"
    BEFORE_NEXT_ANSWER = "before the next answer"
    DELAYED = "delayed"


@dataclasses.dataclass
class RefusalPolicy:
    """Which requests are refused and what becomes of the copies."""

    seed: int
    refused_share: float
    timing: CopyTiming
    delay_s: float = 0.0
    # Copies are sent in two writes.
    split: bool = False


class Request:
    """A request as it was received; header names are in lower case."""

    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.headers = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in lines[1:] if it)}
        self.id = self.headers.get("x-guavafield-request-id", "")
        self.body_bytes = int(self.headers.get("content-length", 0))


class ServerConnection:
    """The server's side of a connection. An answer is never interrupted by a copy."""

    def __init__(self, connection, policy):
        self.connection = connection
        self.policy = policy
        self.lock = threading.Lock()
        self.received = b""
        # Copies to be sent right before the next answer.
        self.due = []

    def read_request(self):
        """Returns the next request, or None if the other side closed the connection."""
        while b"\r\n\r\n" not in self.received:
            if not self._receive():
                return None
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        request = Request(head)
        while len(self.received) < request.body_bytes:
            if not self._receive():
                return None
        self.received = self.received[request.body_bytes:]
        return request

    def _receive(self):
        piece = self.connection.recv(65536)
        self.received += piece
        return bool(piece)

    def send_answer(self, answer):
        with self.lock:
            for it in self.due:
                self._send_copy(it)
            self.due.clear()
            self.connection.sendall(answer)

    def send_refusal(self, refusal):
        self.send_answer(refusal)
        if self.policy.timing is CopyTiming.BEFORE_NEXT_ANSWER:
            with self.lock:
                self.due.append(refusal)
        elif self.policy.timing is CopyTiming.DELAYED:
            threading.Timer(self.policy.delay_s, self._send_late, (refusal,)).start()

    def _send_late(self, copy):
        try:
            with self.lock:
                self._send_copy(copy)
        except OSError:
            pass

    def _send_copy(self, copy):
        if not self.policy.split:
            self.connection.sendall(copy)
            return
        half = len(copy) // 2
        self.connection.sendall(copy[:half])
        time.sleep(SPLIT_PAUSE_S)
        self.connection.sendall(copy[half:])


class RefusingServer:
    """Runs requests that name it, and counts the runs of each id. Listens on an ephemeral port."""

    def __init__(self, name, policy):
        self.name = name
        self.policy = policy
        self.lock = threading.Lock()
        # The moments at which runs of each id began, and the arrivals of each id.
        self.runs = {}
        self.arrivals = {}
        self.refusals = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def start_again(self, name):
        """Takes another id, as a new process does that is given the address of one that has ended."""
        with self.lock:
            self.name = name

    def entry(self, service, zone):
        """Returns the entry of the store under which hosts find the server."""
        return json.dumps({"service": service, "address": f"127.0.0.1:{self.port}", "zone": zone, "version": "v1", "slots": 64, "state": "ready",
                           "coldLeftMs": 0, "seqNo": 1, "born": 1700000000000})

    def stop(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                served = ServerConnection(connection, self.policy)
                while request := served.read_request():
                    self.handle(served, request)
            except OSError:
                pass

    def handle(self, served, request):
        choice = self.choices_for(request)
        if request.headers.get("x-guavafield-expect-instance") != self.name:
            self.refuse(served, request, 421)
        elif choice.random() < self.policy.refused_share:
            self.refuse(served, request, choice.choice(REFUSAL_STATUSES))
        else:
            self.run(served, request, choice.uniform(0, LONGEST_RUN_S))

    def choices_for(self, request):
        """Returns a generator that depends on the seed, the id and the number of its arrivals here alone."""
        with self.lock:
            arrival = self.arrivals[request.id] = self.arrivals.get(request.id, 0) + 1
        return random.Random(f"{self.policy.seed}:{request.id}:{arrival}")

    def refuse(self, served, request, status):
        with self.lock:
            self.refusals += 1
        served.send_refusal(f"HTTP/1.1 {status} Refused\r\nX-Guavafield-Request-Id: {request.id}\r\nX-Guavafield-Not-Executed: 1\r\n"
                            f"X-Guavafield-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())

    def run(self, served, request, duration_s):
        with self.lock:
            self.runs.setdefault(request.id, []).append(time.monotonic())
        time.sleep(duration_s)
        served.send_answer(f"HTTP/1.1 200 OK\r\nX-Guavafield-Request-Id: {request.id}\r\nX-Guavafield-Response-Seal: seal-{request.id}\r\n"
                           f"Content-Length: {len(request.id)}\r\n\r\n{request.id}".encode())
