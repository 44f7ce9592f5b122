"""The fleet harness on a few real processes: guarantees hold, and each planted fault is detected."""

import asyncio
import os
import signal

import pytest

from applevale.api import EngineState
from applevale.checkers import coldstart as coldstart_checker
from applevale.checkers.history import History, max_count_in_window, read_history
from applevale.discovery.registry.settings import RegistrySettings
from applevale.fault_injection.link_conditions import LinkCondition
from applevale.fault_injection.schedule import ApplyLinkCondition, KillProcess, PauseProcess
from applevale.harness.fleet import Fleet
from applevale.harness.fleet_plan import FleetPlan
from applevale.harness.log_events import parse_event
from applevale.harness.scenarios.cases import CASES

# The tests run one after another: fleets in parallel would slow down each other and all other tests.
pytestmark = pytest.mark.xdist_group("fleet")

FRESHNESS_SECONDS = RegistrySettings("etcd", ["127.0.0.1:1"]).fresh
TIMER_MARGIN_SECONDS = 0.05  # more than the rounding of a timer


def run_scenario(script, **plan):
    """Run a script on a fleet, check that all its processes have ended, and return figures and history."""

    async def run():
        fleet = Fleet(FleetPlan(**({"instance_count": 2, "engine_count": 8} | plan)))
        try:
            async with asyncio.timeout(60):
                await fleet.start()
                await script(fleet)
                await fleet.clients.settle()
        finally:
            await fleet.stop()
        started = [
            instance.program.process for instance in fleet.instances if instance.program.process is not None
        ]
        assert all(process.returncode is not None for process in [*started, fleet.registry.process])
        history = fleet.history()
        figures = coldstart_checker.compute_figures(history)
        return figures | dict(fleet.figures) | fleet.violations(), history

    return asyncio.run(run())


async def start_and_wait_until_ready(fleet):
    await fleet.launch_all()
    assert await fleet.wait_until_ready(30)


def test_guarantees_hold_through_a_registry_outage_a_crash_and_a_pause(tmp_path):
    async def script(fleet):
        await start_and_wait_until_ready(fleet)
        fleet.mark("rest")
        await asyncio.sleep(2.0)
        fleet.mark("rest_end")
        await fleet.engines.drain(1)
        fleet.mark("break")
        await fleet.registry.send_command("down")
        assert not fleet.open_sessions()
        # By then no list may count as confirmed any more, however slow the machine is.
        await asyncio.sleep(FRESHNESS_SECONDS + TIMER_MARGIN_SECONDS)
        await fleet.wait_for_due_timers()
        assert not any(instance.is_confirmed for instance in fleet.instances)
        await fleet.registry.send_command("up")
        fleet.mark("break_end")
        assert await fleet.wait_until_ready(20)
        await fleet.play(
            [
                KillProcess(at=0, processes=["n1"], restart_after=0.1),
                PauseProcess(at=0, processes=["n2"], duration=0.5),
            ]
        )
        assert await fleet.wait_until_ready(30)
        await fleet.wait_for_convergence()

    figures, history = run_scenario(script, instance_count=6, requests_per_second=4.0)
    assert coldstart_checker.violated_limits(figures, 6, {"full_reads_most": 1, "sessions": 6}) == []
    assert figures["drains"] == 1 and figures["fault_kill"] == 1 and figures["served"] > 20
    assert "turns_left_out" not in figures
    assert {event["who"] for event in history.select("read")} == {f"n{number}" for number in range(6)}
    history.write(str(tmp_path / "h.jsonl"))
    stored = read_history(str(tmp_path / "h.jsonl"))
    assert stored.events == history.events
    assert coldstart_checker.compute_figures(stored) == coldstart_checker.compute_figures(history)


def test_six_instances_together_do_not_overload_cold_engines():
    peak_overloads = []

    async def script(fleet):
        await start_and_wait_until_ready(fleet)
        await asyncio.sleep(6.0)
        peak_overloads.extend(engine.peak_overload for engine in fleet.engines.fakes)

    figures, _ = run_scenario(
        script, instance_count=6, engine_count=2, cold_engine_count=2, requests_per_second=15.0
    )
    assert figures["engines_fallen"] == 0 and all(0.2 < overload <= 1 for overload in peak_overloads)
    assert figures["requests"] - figures["served"] > 20  # the load exceeds the engines' capacity


async def slow_registry(fleet):
    """Responses of the registry take 0.25 s each for a while: the staleness guarantee cannot be kept."""
    await start_and_wait_until_ready(fleet)
    await asyncio.sleep(3.0)  # until the instances have measured enough fast responses
    fleet.mark("slow")
    await fleet.registry.send_command("late", seconds=0.25)
    await asyncio.sleep(6.0)
    fleet.mark("slow_end")
    await fleet.registry.send_command("late", seconds=0.0)


async def late_registry(fleet):
    """The instances listen before the registry serves at all."""
    await fleet.registry.send_command("down")
    await fleet.launch_all()
    assert await fleet.wait_until(fleet.are_all_listening, 30)
    await asyncio.sleep(0.5)
    await fleet.registry.send_command("up")
    assert await fleet.wait_until_ready(20)


async def delayed_registry(fleet):
    """Messages from the registry, among them a drain, arrive 0.8 s late; requests to it arrive in time."""
    await start_and_wait_until_ready(fleet)
    link_delay = asyncio.create_task(
        fleet.play(
            [
                ApplyLinkCondition(
                    at=0, sources=["list*"], targets=["n*"], condition=LinkCondition(delay=0.8), duration=4.0
                )
            ]
        )
    )
    await asyncio.sleep(1.5)
    await fleet.engines.set_state(0, EngineState.DRAINING)
    await asyncio.sleep(1.5)
    await link_delay


def count_guarantee_changes(history):
    """Count changes of the staleness guarantee while the registry is slow, after the first 2 s of it."""
    slow_at = history.mark_time("slow")
    if slow_at is None:
        return 0
    return sum(1 for _ in history.select("list", since=slow_at + 2.0, until=history.mark_time("slow_end")))


DELAYED_REGISTRY_PLAN = {"engine_count": 1, "requests_per_second": 40.0, "with_proxies": True}
PLANTED_FAULTS = [
    ("on_top", slow_registry, {}, "questions_on_top"),
    ("leaves", slow_registry, {}, "sessions_left"),
    ("thrash", slow_registry, {}, "turns"),
    ("ready", late_registry, {}, "ready_early"),
    ("arrival", delayed_registry, DELAYED_REGISTRY_PLAN, "missed_drains"),
]


@pytest.mark.parametrize(
    "script,plan", [(slow_registry, {}), (late_registry, {}), (delayed_registry, DELAYED_REGISTRY_PLAN)]
)
def test_the_application_without_a_planted_fault_shows_none_of_them(script, plan):
    figures, history = run_scenario(script, **plan)
    assert (
        not any(figures.get(figure, 0) for _, _, _, figure in PLANTED_FAULTS)
        and count_guarantee_changes(history) == 0
    )
    assert not figures["engines_fallen"] and figures["ready"] == 2
    if script is slow_registry:  # each instance logs once that the guarantee cannot be kept, and why
        messages = [event["text"] for event in history.select("said") if "cannot be kept" in event["text"]]
        assert len(messages) == 2 and all("needs 4.1 reads a second" in text for text in messages)


@pytest.mark.parametrize("fault,script,plan,figure", PLANTED_FAULTS, ids=[case[0] for case in PLANTED_FAULTS])
def test_a_planted_fault_is_detected_in_the_history(fault, script, plan, figure):
    figures, history = run_scenario(script, entry_point=("tests.planted", fault), **plan)
    assert (count_guarantee_changes(history) if figure == "turns" else figures[figure]) > 0


def test_no_process_is_left_when_a_script_fails():
    async def script(fleet):
        await start_and_wait_until_ready(fleet)
        os.kill(fleet.instances[0].program.process.pid, signal.SIGSTOP)
        raise RuntimeError("the script failed")

    with pytest.raises(RuntimeError, match="the script failed"):
        run_scenario(script)


def commit(at, state, address="10.0.0.1:1", key="k1"):
    return {"at": at, "event": "commit", "key": key, "engine": "s-1", "address": address, "state": state}


def arrival(at, address="10.0.0.1:1"):
    return {"at": at, "event": "arrival", "who": "n0", "engine": address, "ref": "x", "lane": "lookup"}


def test_work_at_an_engine_counts_against_its_drain_only_until_it_is_ready_again():
    late = [
        commit(1.0, "ready"),
        arrival(1.5),
        commit(2.0, "draining"),
        arrival(2.7),
        commit(5.0, "ready"),
        arrival(6.0),
    ]
    assert coldstart_checker.find_history_drains(History(late)) == [
        coldstart_checker.Drain(2.0, 2.7, "10.0.0.1:1")
    ]
    assert coldstart_checker.compute_figures(History(late))["missed_drains"] == 1
    gone = [commit(1.0, "ready"), commit(2.0, "gone", address=""), arrival(2.3)]
    assert coldstart_checker.find_history_drains(History(gone)) == [
        coldstart_checker.Drain(2.0, 2.3, "10.0.0.1:1")
    ]


def test_full_reads_are_counted_per_start_and_overlapping_reads_per_connection():
    def read(at, out, whole=False, caller="c1", answered=True):
        return {
            "at": at,
            "event": "read",
            "who": "n0",
            "out": out,
            "whole": whole,
            "caller": caller,
            "answered": answered,
            "member": 0,
        }

    start = {"event": "launched", "who": "n0", "how": "start"}
    history = History(
        [
            start | {"at": 0.0},
            read(1, 1.1, True),
            read(2, 2.1, True, answered=False),
            start | {"at": 5.0},
            read(6, 6.1, True),
            read(7, 8),
            read(7.5, 8.5),
            read(7.6, 8, caller="c2"),
        ]
    )
    figures = coldstart_checker.compute_figures(history)
    assert figures["full_reads"] == 2 and figures["full_reads_most"] == 1 and figures["questions_on_top"] == 1


def test_the_largest_number_of_events_within_a_window():
    assert max_count_in_window([0.0, 0.5, 0.9, 1.0, 1.4, 3.0], 1.0) == 4


def test_log_lines_in_plain_text_and_json_are_parsed():
    event = parse_event("n3 listens on 127.0.0.1:7001")
    assert event == {"event": "listening", "host": "127.0.0.1", "port": 7001}
    assert parse_event("registry: the list is not confirmed, on_stale is 'hold'")["confirmed"] is False
    present = "registry: the list is confirmed at revision 7, after 1.250 s without confirmation"
    assert parse_event(present) == {"event": "list", "confirmed": True}
    assert parse_event("registry: confirmed at revision 7") == {"event": "list", "confirmed": True}
    assert parse_event('{"event": "list", "confirmed": true}')["confirmed"] is True
    assert parse_event("{broken")["event"] == "line"


def test_every_case_has_a_description():
    assert all(case.scenario.__doc__ for case in CASES.values()) and len(CASES) >= 15
