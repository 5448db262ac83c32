"""Checks properties P3, P4, P8 and P12 of docs/proofs.md with real processes.

Callers receive only their own, complete responses, upstreams never see API keys, and a planned stop interrupts no request.
"""
import json
import time

from fleet import Fleet, response_text, http_request, chat_body, configure, run_in_parallel, run_tests, wait_until

# P11 allows "a few seconds" for detecting that an upstream is leaving.
LEAVING_DETECTION_LIMIT_S = 3.0


def direct_response_text(fleet, prompt, tokens):
    """Returns the response text of an upstream that is called directly, without the daemon."""
    port = next(iter(fleet.upstreams.values()))["port"]
    return response_text(http_request(port, "POST", "/v1/chat/completions", chat_body(prompt, tokens), {"X-Request-Id": "direct"}))


def streamed_text(host, key, prompt, tokens):
    stream = host.stream(key, chat_body(prompt, tokens))
    events = list(stream.events())
    assert stream.status == 200, (stream.status, events)
    assert events and events[-1] == "[DONE]", events[-2:]
    return "".join(json.loads(it)["choices"][0]["delta"].get("content", "") for it in events[:-1])


def test_each_caller_gets_its_own_whole_answer():
    with Fleet() as fleet:
        for n in range(3):
            fleet.start_upstream(f"u{n}", "a", ["--speed", "20"])
        hosts = [fleet.start_host(f"h{n}", "a") for n in range(2)]
        key = configure(fleet, hosts[0])["team-a"][1]

        def check_one_response(n):
            prompt = f"prompt number {n}"
            host = hosts[n % 2]
            text = streamed_text(host, key, prompt, 12) if n % 3 else response_text(host.chat(key, chat_body(prompt, 12)))
            assert text == direct_response_text(fleet, prompt, 12), (n, text)
        run_in_parallel([lambda it=n: check_one_response(it) for n in range(36)])


def test_streams_are_whole_when_upstreams_break_off():
    with Fleet() as fleet:
        for n in range(3):
            fleet.start_upstream(f"u{n}", "a", ["--speed", "5"])
        host = fleet.start_host("h0", "a")
        key = configure(fleet, host)["team-a"][1]
        expected = direct_response_text(fleet, "a long question", 20)
        http_request(fleet.upstreams["u1"]["port"], "POST", "/control/fault", {"drop_after_tokens": 5})
        complete_streams = 0
        for _ in range(12):
            stream = host.stream(key, chat_body("a long question", 20))
            events = list(stream.events())
            parts = [json.loads(it) for it in events if it != "[DONE]"]
            text = "".join(it["choices"][0]["delta"].get("content", "") for it in parts if "choices" in it)
            # No token is repeated or missing: the text is a prefix of the expected one, and equal to it if the stream ends with [DONE].
            assert expected.startswith(text), text
            if events and events[-1] == "[DONE]":
                assert text == expected, text
                complete_streams += 1
            else:
                assert any("error" in it for it in parts), events
        assert complete_streams > 0


def test_no_upstream_sees_a_key():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        fleet.start_upstream("s0", "a", ["--service"], models=[])
        host = fleet.start_host("h0", "a")
        service = {"routes": [{"id": "echo", "prefix": "/echo/", "target": "service", "upstreams": ["s0"], "repeatable": True}]}
        key = configure(fleet, host, extra_upsert=service)["team-a"][1]
        secrets = {"Cookie": "session=cookie-secret", "X-Guavafield-Class": "interactive", "Proxy-Authorization": "Basic proxy-secret"}
        assert host.chat(key, chat_body("hello"), secrets).status == 200
        list(host.stream(key, chat_body("hello"), secrets).events())
        echo = http_request(host.caller_port, "POST", "/echo/x", "data", {"Authorization": "Bearer " + key, **secrets})
        assert echo.status == 200, echo.body
        for entry in fleet.upstreams.values():
            received = "\n".join(http_request(entry["port"], "GET", "/control/received").json()["requests"])
            assert "hello" in received or "data" in received
            for secret in (key, key.rsplit("_", 1)[1], "cookie-secret", "proxy-secret", "X-Guavafield"):
                assert secret.lower() not in received.lower(), secret


def test_requests_need_the_key_of_a_team():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        fleet.start_upstream("s0", "a", ["--service"], models=[])
        host = fleet.start_host("h0", "a")
        route = {"id": "open", "prefix": "/open/", "target": "service", "upstreams": ["s0"], "repeatable": True, "open": True, "open_team": "team-a"}
        key = configure(fleet, host, extra_upsert={"routes": [route]})["team-a"][1]
        assert host.chat(None, chat_body("x")).code == 2001
        assert host.chat(key[:-1] + ("0" if key[-1] != "0" else "1"), chat_body("x")).code == 2002
        assert host.chat("gf_nobody_1234", chat_body("x")).code == 2002
        assert http_request(host.caller_port, "POST", "/open/x", "data").status == 200
        assert http_request(host.caller_port, "POST", "/closed/x", "data", {"Authorization": "Bearer " + key}).code == 2010


def test_planned_stop_cuts_no_request():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "2", "--slots", "16"], slots=16)
        host = fleet.start_host("h0", "a")
        key = configure(fleet, host)["team-a"][1]
        expected = direct_response_text(fleet, "stop", 40)
        streams = [host.stream(key, chat_body("stop", 40)) for _ in range(8)]
        readers = [it.events() for it in streams]
        first = [next(it) for it in readers]
        host.child.terminate()
        wait_until(lambda: not host.is_ready(), "the host is no longer ready")
        for start, reader in zip(first, readers):
            events = [start, *reader]
            assert events[-1] == "[DONE]", events[-1]
            text = "".join(json.loads(it)["choices"][0]["delta"].get("content", "") for it in events[:-1])
            assert text == expected
        assert host.child.wait() == 0


def test_leaving_upstream_gets_no_new_work():
    with Fleet() as fleet:
        for n in range(2):
            fleet.start_upstream(f"u{n}", "a", ["--speed", "10"])
        host = fleet.start_host("h0", "a")
        key = configure(fleet, host)["team-a"][1]
        port = fleet.upstreams["u0"]["port"]

        def received():
            return sum("/v1/chat" in it for it in http_request(port, "GET", "/control/received").json()["requests"])

        wait_until(lambda: host.chat(key, chat_body("x", 1)).status == 200 and received() > 0, "the upstream receives a request")
        http_request(port, "POST", "/control/fault", {"reclaim_ms": 10_000_000})
        end = time.monotonic() + LEAVING_DETECTION_LIMIT_S
        while time.monotonic() < end:
            assert host.chat(key, chat_body("x", 1)).status == 200
        before = received()
        for n in range(50):
            assert host.chat(key, chat_body(f"after {n}", 1)).status == 200
        assert received() == before


if __name__ == "__main__":
    run_tests(globals())
