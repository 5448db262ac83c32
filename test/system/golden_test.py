"""Compares complete HTTP exchanges between a caller and the daemon with test/golden; GUAVAFIELD_UPDATE=1 regenerates the files.

Only request ids, durations and token counts that depend on timing are normalised.
"""
import difflib
import json
import os
import pathlib
import re

from fleet import Fleet, http_request, chat_body, configure, run_tests

GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "golden"
BOOKINGS_ROUTE = {"routes": [{"id": "bookings", "prefix": "/bookings", "target": "service", "upstreams": ["s0"], "repeatable": False}]}
# Response headers that are part of the public interface.
STABLE_HEADERS = ("content-type", "retry-after", "x-request-id", "cache-control", "x-guavafield-configuration")


def normalise(text):
    text = re.sub(r"h0-[0-9a-f]+-\d+", "<request id>", text)
    return re.sub(r"(retry-after: )\d+", r"\1<seconds>", text)


def format_exchange(request, status, headers, body):
    lines = [f"> {request}", f"< {status}"]
    lines += [f"< {name}: {headers[name]}" for name in STABLE_HEADERS if name in headers]
    return normalise("\n".join([*lines, "<", body.rstrip("\n")])) + "\n"


def format_response(request, response):
    return format_exchange(request, response.status, response.headers, response.body)


def format_stream(request, stream, events):
    headers = {name.lower(): value for name, value in stream.response.getheaders()}
    return format_exchange(request, stream.status, headers, "\n".join(f"data: {it}" for it in events))


def compare_with_golden(name, text):
    path = GOLDEN / name
    if os.environ.get("GUAVAFIELD_UPDATE"):
        path.write_text(text)
    expected = path.read_text()
    difference = "\n".join(difflib.unified_diff(expected.splitlines(), text.splitlines(), "golden", "run", lineterm=""))
    assert not difference, f"{name} differs:\n{difference}"


def start_host(fleet):
    fleet.start_upstream("u0", "a", ["--speed", "5"])
    fleet.start_upstream("s0", "a", ["--service"], models=[])
    host = fleet.start_host("h0", "a")
    return host, configure(fleet, host, extra_upsert=BOOKINGS_ROUTE)["team-a"]


def test_plain_answer():
    with Fleet() as fleet:
        host, key = start_host(fleet)
        body = chat_body("golden question", 4)
        compare_with_golden("plain-answer.txt", format_response("POST /v1/chat/completions " + json.dumps(body), host.chat(key[1], body)))


def test_streamed_answer():
    with Fleet() as fleet:
        host, key = start_host(fleet)
        body = chat_body("golden question", 4)
        stream = host.stream(key[1], body)
        compare_with_golden("streamed-answer.txt", format_stream("POST /v1/chat/completions (stream) " + json.dumps(body), stream, list(stream.events())))


def test_refusals():
    with Fleet() as fleet:
        host, key = start_host(fleet)
        unknown_class = host.chat(key[1], chat_body("x"), {"X-Guavafield-Class": "nonesuch"})
        unknown_model = host.chat(key[1], dict(chat_body("x"), model="nonesuch"))
        fleet.run_ctl(host, "models", "create", "unserved")
        unserved = host.chat(key[1], dict(chat_body("x"), model="unserved"))
        compare_with_golden("refusals.txt", "\n".join([
            format_response("POST /v1/chat/completions without a key", host.chat(None, chat_body("x"))),
            format_response("POST /v1/chat/completions with an unknown class", unknown_class),
            format_response("POST /v1/chat/completions with an unknown model", unknown_model),
            format_response("POST /v1/chat/completions with a model that no upstream serves", unserved),
        ]))


def test_key_withdrawn_mid_stream():
    with Fleet() as fleet:
        host, (key_id, key) = start_host(fleet)
        stream = host.stream(key, chat_body("golden question", 5000))
        events = stream.events()
        next(events)
        fleet.run_ctl(host, "keys", "withdraw", key_id)
        rest = list(events)
        assert all("choices" in json.loads(it) for it in rest[:-1])
        text = format_stream("POST /v1/chat/completions (stream), key withdrawn after the first token", stream, ["<tokens>", rest[-1]])
        text += "\n" + format_response("POST /v1/chat/completions with the withdrawn key", host.chat(key, chat_body("x")))
        compare_with_golden("key-withdrawn-mid-stream.txt", text)


def test_booking_and_its_duplicate():
    with Fleet() as fleet:
        host, key = start_host(fleet)
        headers = {"Authorization": "Bearer " + key[1], "Idempotency-Key": "booking-1"}

        def send_booking(body):
            return http_request(host.caller_port, "POST", "/bookings/1", body, headers)

        compare_with_golden("booking-and-duplicate.txt", "\n".join([
            format_response("POST /bookings/1 (Idempotency-Key: booking-1) lorry 7", send_booking("lorry 7")),
            format_response("POST /bookings/1 (the same again)", send_booking("lorry 7")),
            format_response("POST /bookings/1 (the same key, another body)", send_booking("lorry 8")),
        ]))


if __name__ == "__main__":
    run_tests(globals())
