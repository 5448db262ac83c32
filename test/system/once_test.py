"""Checks properties P9 and P10 of docs/proofs.md with real processes.

Non-repeatable calls are executed at most once, and a call that is reported as "not run" was not executed.
"""
import time

from fleet import Fleet, http_request, chat_body, configure, run_in_parallel, run_tests, wait_until

BOOKINGS_ROUTE = {"routes": [{"id": "bookings", "prefix": "/bookings", "target": "service", "upstreams": ["s0"], "repeatable": False, "timeout_ms": 5000}]}


def start_hosts(fleet, hosts=2):
    fleet.start_upstream("s0", "a", ["--service"], models=[])
    started = [fleet.start_host(f"h{n}", "a") for n in range(hosts)]
    key = configure(fleet, started[0], extra_upsert=BOOKINGS_ROUTE)["team-a"][1]
    return started, key


def send_booking(host, key, idempotency_key, body="book the lorry"):
    headers = {"Authorization": "Bearer " + key, "Idempotency-Key": idempotency_key}
    return http_request(host.caller_port, "POST", "/bookings/1", body, headers)


def executed_calls(fleet):
    """Returns the number of executions by the service for each idempotency key."""
    return http_request(fleet.upstreams["s0"]["port"], "GET", "/control/calls").json()["calls"]


def set_service_fault(fleet, **switches):
    http_request(fleet.upstreams["s0"]["port"], "POST", "/control/fault", switches)


def test_duplicates_through_any_host_run_once():
    with Fleet() as fleet:
        hosts, key = start_hosts(fleet)
        responses = run_in_parallel([lambda n=n: send_booking(hosts[n % 2], key, "booking-1") for n in range(12)])
        assert {it.status for it in responses} == {200}, [(it.status, it.body) for it in responses]
        assert len({it.body for it in responses}) == 1
        assert executed_calls(fleet) == {"booking-1": 1}
        with_other_body = send_booking(hosts[1], key, "booking-1", "another body")
        assert with_other_body.code == 5002, with_other_body.body
        without_key = http_request(hosts[0].caller_port, "POST", "/bookings/1", "x", {"Authorization": "Bearer " + key})
        assert without_key.code == 5004, without_key.body
        assert executed_calls(fleet) == {"booking-1": 1}


def test_store_outage_refuses_these_calls_only_and_truthfully():
    with Fleet() as fleet:
        fleet.start_upstream("u0", "a", ["--speed", "20"])
        hosts, key = start_hosts(fleet, 1)
        fleet.set_faults(outage="refuse")
        refused = send_booking(hosts[0], key, "booking-2")
        assert refused.code == 5001 and refused.json()["error"]["not_run"] is True, refused.body
        assert hosts[0].chat(key, chat_body("not affected", 2)).status == 200
        assert executed_calls(fleet) == {}
        fleet.set_faults(outage="none")
        assert wait_until(lambda: (lambda a: a if a.status == 200 else None)(send_booking(hosts[0], key, "booking-2")), "service after the outage")
        assert executed_calls(fleet) == {"booking-2": 1}


def test_lost_store_answers_never_double_a_call():
    with Fleet() as fleet:
        hosts, key = start_hosts(fleet)
        for n in range(6):
            name = f"booking-lost-{n}"
            fleet.set_faults(lose_answers=2)
            responses = [send_booking(hosts[(n + i) % 2], key, name) for i in range(3)]
            executions = executed_calls(fleet).get(name, 0)
            assert executions <= 1, (name, executions)
            for response in responses:
                if response.status != 200 and response.json()["error"]["not_run"]:
                    assert executions == 0, (name, response.body)
                if response.status == 200:
                    assert executions == 1


def test_lost_upstream_answer_is_unknown_and_never_sent_again():
    with Fleet() as fleet:
        hosts, key = start_hosts(fleet)
        set_service_fault(fleet, lose_answers=1)
        first = send_booking(hosts[0], key, "booking-3")
        assert first.status != 200 and first.json()["error"]["not_run"] is False, first.body
        repeated = send_booking(hosts[1], key, "booking-3")
        assert repeated.status != 200 and repeated.json()["error"]["not_run"] is False, repeated.body
        assert executed_calls(fleet) == {"booking-3": 1}


def test_host_that_dies_after_sending_leaves_no_second_run():
    with Fleet() as fleet:
        hosts, key = start_hosts(fleet)
        set_service_fault(fleet, delay_ms=3000)

        def send_first():
            try:
                return send_booking(hosts[0], key, "booking-4").status
            except OSError:
                return None
            except Exception:
                return None

        def kill():
            wait_until(lambda: any("booking-4" in it for it in http_request(fleet.upstreams["s0"]["port"], "GET", "/control/received").json()["requests"])
                       or time.sleep(0.05), "the call reaches the service")
            hosts[0].child.kill()

        run_in_parallel([send_first, kill])
        set_service_fault(fleet, delay_ms=0)
        repeated = send_booking(hosts[1], key, "booking-4")
        assert repeated.status != 200 and repeated.code == 5003 and repeated.json()["error"]["not_run"] is False, repeated.body
        assert executed_calls(fleet).get("booking-4", 0) <= 1


if __name__ == "__main__":
    run_tests(globals())
