"""Checks property P7 of docs/proofs.md with real processes.

Each usage window is reported once, with the usage that callers received. The platform's clock runs fast, so that windows of 300 s
pass in a few seconds.
"""
import json
import time

from fleet import Fleet, chat_body, configure, run_tests, wait_until

CLOCK_SPEED = 60
TOKENS_PER_REQUEST = 3


def received_reports(fleet):
    """Returns the reports that the platform received, in order of arrival."""
    response = fleet.platform_request("GET", "/usage").json()
    return response["reports"] if isinstance(response, dict) else response


def sum_usage(reports):
    result = {"requests": 0, "output_tokens": 0}
    for report in reports:
        for it in report["figures"]:
            for name in result:
                result[name] += it[name]
    return result


def reports_by_window(reports):
    """Checks that all reports of a window have the same figures, digest and reporter; returns one report per window."""
    first_reports = {}
    for report in reports:
        window = report["window"]
        first_report = first_reports.setdefault(window, report)
        assert first_report["figures"] == report["figures"], (first_report, report)
        assert first_report["digest"] == report["digest"], (first_report, report)
        assert first_report["reporter"] == report["reporter"], (first_report, report)
    return list(first_reports.values())


def send_requests(hosts, key, count):
    for n in range(count):
        response = hosts[n % len(hosts)].chat(key, chat_body(f"usage {n}", TOKENS_PER_REQUEST))
        assert response.status == 200, response.body


def start_hosts(fleet, hosts):
    fleet.start_upstream("u0", "a", ["--speed", "50"])
    started = [fleet.start_host(f"h{n}", "a") for n in range(hosts)]
    return started, configure(fleet, started[0])["team-a"][1]


def wait_for_requests(fleet, count):
    wait_until(lambda: sum_usage(reports_by_window(received_reports(fleet)))["requests"] >= count, f"reports of {count} requests", 120)
    result = sum_usage(reports_by_window(received_reports(fleet)))
    assert result == {"requests": count, "output_tokens": count * TOKENS_PER_REQUEST}, result


def test_every_request_is_reported_once():
    with Fleet(platform_arguments=["--speed", str(CLOCK_SPEED)]) as fleet:
        hosts, key = start_hosts(fleet, 2)
        send_requests(hosts, key, 20)
        wait_for_requests(fleet, 20)


def test_lost_answers_and_a_paused_reporter_change_no_figure():
    with Fleet(platform_arguments=["--speed", str(CLOCK_SPEED)]) as fleet:
        hosts, key = start_hosts(fleet, 2)
        send_requests(hosts, key, 10)
        holder = next(it for it in hosts if "lease: usage taken" in it.child.log())
        other = next(it for it in hosts if it is not holder)
        fleet.set_faults(lose_answers=3)
        send_requests(hosts, key, 10)
        holder.child.suspend()
        wait_until(lambda: "lease: usage taken" in other.child.log(), "the other host takes the lease")
        send_requests([other], key, 5)
        # No other host reports while the suspended holder could still resume and report.
        before = len(received_reports(fleet))
        end = time.monotonic() + 5
        while time.monotonic() < end:
            assert len(received_reports(fleet)) == before
            time.sleep(0.1)
        holder.child.resume()
        wait_for_requests(fleet, 25)


def test_planned_stop_loses_no_usage():
    with Fleet(platform_arguments=["--speed", str(CLOCK_SPEED)]) as fleet:
        hosts, key = start_hosts(fleet, 2)
        send_requests(hosts, key, 10)
        hosts[0].child.terminate()
        assert hosts[0].child.wait() == 0
        send_requests([hosts[1]], key, 4)
        wait_for_requests(fleet, 14)


if __name__ == "__main__":
    # The tests mostly wait, so they run in parallel: a window is closed one minute after the last failure or change of the lease holder.
    run_tests(globals(), parallel=True)
