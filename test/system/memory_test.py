"""Checks with a real daemon that clients outside the limits neither end it nor take its memory or descriptors from ordinary callers.

Each test starts one daemon with lowered limits, as one machine of MACHINE_MB, and a crowd of clients that stay open. What is checked does not depend
on speed: the process lives, its peak of resident memory and its open descriptors stay under a bound, and one ordinary request is answered afterwards.
"""
import os
import socket
import subprocess
import time

from fleet import BIN_DIR, http_request, run_tests, wait_until
from machines import HOST_NAME, MachinesFixture, is_ready, operators_document

# Memory of the machine that the settings describe.
MACHINE_MB = 48
DESCRIPTORS = 400
BODY_LIMIT = 1_000_000
CROWD = 60
# So many clients that the daemon has to turn some away.
IDLE_CROWD = 600
HEADERS = {"Host": HOST_NAME, "Authorization": "Token key-a"}
# Until then the daemon has taken what the crowd has sent, or has refused it.
SETTLE_LIMIT_S = 60.0
# The daemon reads no more when the bytes that wait have not changed for so long.
UNCHANGED_S = 2.0


def known_settings():
    listed = subprocess.run([os.path.join(BIN_DIR, "guavafieldd"), "--list-settings"], capture_output=True, text=True, check=True).stdout
    return {tuple(it.strip() for it in line.split("|")[1:3]) for line in listed.splitlines() if line.startswith("|")}


class Crowd:
    """Clients that send what they are given and stay open; a client that the daemon has turned away stays away."""

    def __init__(self, port):
        self.port = port
        self.open = []

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=10)
        self.open.append(connection)
        return connection

    @staticmethod
    def send(connection, data):
        """Returns whether the daemon has taken all; what it refuses may be reset, or not be read any more."""
        connection.settimeout(2)
        try:
            connection.sendall(data)
            return True
        except OSError:
            return False

    def close(self):
        for it in self.open:
            it.close()


class Daemon:
    """One daemon with lowered limits in front of one server."""

    def __enter__(self):
        self.machines = MachinesFixture().__enter__()
        known = known_settings()
        limits = [f"{key} = {value}" for key, value in (("memory_mb", MACHINE_MB), ("descriptors", DESCRIPTORS)) if ("limits", key) in known]
        self.machines.extra_settings = ["[limits]", f"body_bytes = {BODY_LIMIT}", "request_time_ms = 300000", "idle_time_ms = 300000", *limits]
        self.machines.start_server("u1")
        self.host = self.machines.start_host("h0")
        wait_until(lambda: is_ready(self.host), "readiness")
        wait_until(lambda: self.ordinary_request() == 200, "a first answer")
        self.crowd = Crowd(self.host["caller_port"])
        return self

    def __exit__(self, *arguments):
        self.crowd.close()
        self.machines.__exit__(*arguments)

    def ordinary_request(self, body=b"a short question"):
        headers = {**HEADERS, "X-Guavafield-Request-Id": f"{time.monotonic_ns():x}"}
        try:
            return http_request(self.host["caller_port"], "POST", "/call/x", body, headers, timeout_s=10).status
        except OSError:
            return None

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.host['child'].process.pid}/fd"))

    def unread_bytes(self):
        """Returns the bytes that wait in the sockets of the daemon's callers."""
        port = f"{self.host['caller_port']:04X}"
        with open("/proc/net/tcp") as file:
            rows = [it.split() for it in file.readlines()[1:]]
        return sum(int(it[4].split(":")[1], 16) for it in rows if it[1].endswith(":" + port) and it[3] == "01")

    def wait_until_taken(self):
        """Waits until the daemon has read what the crowd has sent, or reads no more of it."""
        seen = [None, time.monotonic()]

        def settled():
            unread = self.unread_bytes()
            if unread != seen[0]:
                seen[:] = unread, time.monotonic()
            return unread == 0 or time.monotonic() - seen[1] > UNCHANGED_S

        wait_until(settled, "the crowd's bytes to be taken", SETTLE_LIMIT_S)

    def check(self):
        """Checks the daemon after the crowd has sent all that it could."""
        self.wait_until_taken()
        assert self.host["child"].is_running(), "the daemon has ended"
        peak = self.host["child"].peak_memory_mb()
        descriptors = self.descriptors()
        print(f"peak memory {peak:.1f} MB, descriptors {descriptors}")
        assert peak <= MACHINE_MB, f"{peak:.1f} MB of resident memory on a machine of {MACHINE_MB} MB"
        assert descriptors <= DESCRIPTORS, f"{descriptors} open descriptors, bound {DESCRIPTORS}"
        wait_until(lambda: self.ordinary_request() == 200, "an answer to an ordinary request", SETTLE_LIMIT_S)


def head(framing):
    lines = [f"POST /call/x HTTP/1.1", *(f"{name}: {value}" for name, value in HEADERS.items()), "X-Guavafield-Request-Id: crowd", framing, "", ""]
    return "\r\n".join(lines).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def test_one_body_of_the_largest_size_is_served():
    """A bound on all bodies must not refuse a single one inside the limits."""
    with Daemon() as daemon:
        assert daemon.ordinary_request(b"a" * BODY_LIMIT) == 200
        daemon.check()


def test_whole_bodies_that_stop_short_of_their_end():
    with Daemon() as daemon:
        for _ in range(CROWD):
            Crowd.send(daemon.crowd.connect(), head(f"Content-Length: {BODY_LIMIT}") + b"a" * (BODY_LIMIT - 1))
        daemon.check()


def test_bodies_sent_piece_by_piece_that_stop_short_of_their_end():
    pieces = 20
    with Daemon() as daemon:
        clients = [daemon.crowd.connect() for _ in range(CROWD)]
        for it in clients:
            Crowd.send(it, head(f"Content-Length: {BODY_LIMIT}"))
        piece = b"a" * ((BODY_LIMIT - 1) // pieces)
        for _ in range(pieces):
            clients = [it for it in clients if Crowd.send(it, piece)]
        daemon.check()


def test_chunked_bodies_that_stop_short_of_their_end():
    with Daemon() as daemon:
        for _ in range(CROWD):
            Crowd.send(daemon.crowd.connect(), head("Transfer-Encoding: chunked") + chunk(b"a" * 100_000) * 9)
        daemon.check()


def test_very_small_chunks_that_stop_short_of_their_end():
    with Daemon() as daemon:
        for _ in range(CROWD):
            Crowd.send(daemon.crowd.connect(), head("Transfer-Encoding: chunked") + chunk(b"a" * 16) * (BODY_LIMIT // 16 - 1))
        daemon.check()


def test_bodies_announced_far_over_the_limit():
    with Daemon() as daemon:
        for _ in range(CROWD):
            Crowd.send(daemon.crowd.connect(), head(f"Content-Length: {100 * BODY_LIMIT}") + b"a" * 2 * BODY_LIMIT)
        daemon.check()


def test_chunked_bodies_sent_far_over_the_limit():
    with Daemon() as daemon:
        for _ in range(CROWD):
            Crowd.send(daemon.crowd.connect(), head("Transfer-Encoding: chunked") + chunk(b"a" * 100_000) * 30)
        daemon.check()


def test_idle_connections_that_take_all_places():
    """Connections without a request must not keep ordinary callers out, nor use up the descriptors."""
    with Daemon() as daemon:
        for _ in range(IDLE_CROWD):
            daemon.crowd.connect()
        daemon.check()


def test_headers_that_never_end():
    with Daemon() as daemon:
        for _ in range(IDLE_CROWD):
            Crowd.send(daemon.crowd.connect(), b"POST /call/x HTTP/1.1\r\nX-Long: " + b"a" * 15_000)
        daemon.check()


if __name__ == "__main__":
    run_tests(globals())
