"""Checks that answers to HEAD requests end with their header on the ports of callers and operators."""
import socket

from fleet import run_tests, wait_until
from machines import HOST_NAME, MachinesFixture

RECEIVE_TIMEOUT_S = 20.0


def answers_of(port, first, second):
    """Sends two requests at once on one connection, the second of which closes it, and returns all bytes of the answers."""
    with socket.create_connection(("127.0.0.1", port), timeout=RECEIVE_TIMEOUT_S) as connection:
        connection.sendall(f"{first}\r\nHost: {HOST_NAME}\r\n\r\n{second}\r\nHost: {HOST_NAME}\r\nConnection: close\r\n\r\n".encode())
        received = b""
        while piece := connection.recv(65536):
            received += piece
    return received.decode()


def length_of(header):
    return next(it for it in header.split("\r\n") if it.startswith("Content-Length: "))


def check_header_alone(port, path, changing=False):
    """Checks that the answer to GET stands right behind the header of that to HEAD, with the same length if its body does not change."""
    answers = answers_of(port, f"HEAD {path} HTTP/1.1", f"GET {path} HTTP/1.1")
    first, _, second = answers.partition("\r\n\r\n")
    assert second.startswith("HTTP/1.1 "), answers
    assert changing or length_of(first) == length_of(second), answers


def test_head_request_gets_no_body_on_any_port():
    with MachinesFixture() as machines:
        host = machines.start_host("h0")
        wait_until(lambda: "200 OK" in answers_of(host["operator_port"], "GET /healthz HTTP/1.1", "GET /healthz HTTP/1.1"), "the operators' port")
        for path in ("/healthz", "/admin/status", "/nowhere"):
            check_header_alone(host["operator_port"], path)
        for path in ("/ready", "/metrics"):
            check_header_alone(host["operator_port"], path, changing=True)
        check_header_alone(host["caller_port"], "/call/x")


if __name__ == "__main__":
    run_tests(globals())
