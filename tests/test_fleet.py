"""The fleet harness on a few real processes: guarantees are kept, and each planted fault is caught."""

import asyncio
import os
import signal

import pytest

from applevale.api import EngineState
from applevale.checkers import coldstart as verify
from applevale.checkers.history import History, max_in_window, read_history
from applevale.discovery.registry.settings import RegistrySettings
from applevale.fault_injection.link_conditions import LinkCondition
from applevale.fault_injection.schedule import ApplyLinkCondition, KillProcess, PauseProcess
from applevale.harness.fleet import Fleet
from applevale.harness.fleet_plan import FleetPlan
from applevale.harness.log_events import parse_event
from applevale.harness.scenarios.cases import CASES

# One after another: many processes at once would slow each other, and the tests beside them.
pytestmark = pytest.mark.xdist_group("fleet")

FRESH = RegistrySettings("etcd", ["127.0.0.1:1"]).fresh  # s
MARGIN = 0.05  # s by which a timer may be rounded, and more


def run_scenario(script, **plan):
    """Run a script on a fleet; return the figures and its history. All processes have ended then."""

    async def run():
        fleet = Fleet(FleetPlan(**({"nodes": 2, "engines": 8} | plan)))
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
        return verify.figures(history, fleet.plan.nodes) | dict(fleet.figures) | fleet.violations(), history

    return asyncio.run(run())


async def start_all(fleet):
    await fleet.launch_all()
    assert await fleet.all_ready(30)


def test_six_processes_start_lose_the_registry_and_an_instance_and_keep_all_guarantees(tmp_path):
    async def script(fleet):
        await start_all(fleet)
        fleet.mark("rest")
        await asyncio.sleep(2.0)
        fleet.mark("rest_end")
        await fleet.engines.drain(1)
        fleet.mark("break")
        await fleet.registry.order("down")
        assert not fleet.open_sessions()
        await asyncio.sleep(FRESH + MARGIN)  # whatever the machine's speed, the guarantee ends by then
        await fleet.run_event_loops()
        assert not any(instance.is_confirmed for instance in fleet.instances)
        await fleet.registry.order("up")
        fleet.mark("break_end")
        assert await fleet.all_ready(20)
        await fleet.play(
            [
                KillProcess(at=0, processes=["n1"], restart_after=0.1),
                PauseProcess(at=0, processes=["n2"], duration=0.5),
            ]
        )
        assert await fleet.all_ready(30)
        await fleet.quiet()

    figures, history = run_scenario(script, nodes=6, clients=4.0)
    assert verify.violated_limits(figures, 6, {"full_reads_most": 1, "sessions": 6}) == []
    assert figures["drains"] == 1 and figures["fault_kill"] == 1 and figures["served"] > 20
    assert "turns_left_out" not in figures
    assert {event["who"] for event in history.select("read")} == {f"n{number}" for number in range(6)}
    history.write(str(tmp_path / "h.jsonl"))
    again = read_history(str(tmp_path / "h.jsonl"))
    assert again.events == history.events and verify.figures(again, 6) == verify.figures(history, 6)


def test_six_processes_together_stay_within_the_budget_of_cold_engines():
    peak_overloads = []

    async def script(fleet):
        await start_all(fleet)
        await asyncio.sleep(6.0)
        peak_overloads.extend(engine.peak_overload for engine in fleet.engines.fakes)

    figures, _ = run_scenario(script, nodes=6, engines=2, cold=2, clients=15.0)
    assert figures["engines_fallen"] == 0 and all(0.2 < overload <= 1 for overload in peak_overloads)
    assert figures["requests"] - figures["served"] > 20  # more requests than they bear


async def slow(fleet):
    await start_all(fleet)
    await asyncio.sleep(3.0)  # until answers were quick for long enough to judge by
    fleet.mark("slow")
    await fleet.registry.order("late", seconds=0.25)
    await asyncio.sleep(6.0)
    fleet.mark("slow_end")
    await fleet.registry.order("late", seconds=0.0)


async def never_served(fleet):
    await fleet.registry.order("down")
    await fleet.launch_all()
    assert await fleet.until(fleet.all_listening, 30)
    await asyncio.sleep(0.5)
    await fleet.registry.order("up")
    assert await fleet.all_ready(20)


async def delayed_registry(fleet):
    """Messages of the registry arrive 0.8 s late, a drain among them, while requests to it get through."""
    await start_all(fleet)
    late = asyncio.create_task(
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
    await late


def count_guarantee_changes(history):
    """Changes of the staleness guarantee while it cannot be kept, but for the first seconds."""
    slow = history.mark_time("slow")
    return (
        0
        if slow is None
        else sum(1 for _ in history.select("list", since=slow + 2.0, until=history.mark_time("slow_end")))
    )


LATE = {"engines": 1, "clients": 40.0, "gates": True}
CAUGHT = [
    ("on_top", slow, {}, "questions_on_top"),
    ("leaves", slow, {}, "sessions_left"),
    ("thrash", slow, {}, "turns"),
    ("ready", never_served, {}, "ready_early"),
    ("arrival", delayed_registry, LATE, "missed_drains"),
]


@pytest.mark.parametrize("script,plan", [(slow, {}), (never_served, {}), (delayed_registry, LATE)])
def test_the_program_keeps_its_guarantees_where_planted_faults_are_caught(script, plan):
    figures, history = run_scenario(script, **plan)
    assert (
        not any(figures.get(figure, 0) for _, _, _, figure in CAUGHT)
        and count_guarantee_changes(history) == 0
    )
    assert not figures["engines_fallen"] and figures["ready"] == 2
    if script is slow:  # it logs once that the guarantee cannot be kept, and with which figures
        messages = [event["text"] for event in history.select("said") if "cannot be kept" in event["text"]]
        assert len(messages) == 2 and all("needs 4.1 reads a second" in text for text in messages)


@pytest.mark.parametrize("fault,script,plan,figure", CAUGHT, ids=[case[0] for case in CAUGHT])
def test_a_planted_fault_shows_in_the_history(fault, script, plan, figure):
    figures, history = run_scenario(script, entry=("tests.planted", fault), **plan)
    assert (count_guarantee_changes(history) if figure == "turns" else figures[figure]) > 0


def test_a_harness_that_fails_itself_leaves_no_process_behind():
    async def script(fleet):
        await start_all(fleet)
        os.kill(fleet.instances[0].program.process.pid, signal.SIGSTOP)
        raise RuntimeError("the script failed")

    with pytest.raises(RuntimeError, match="the script failed"):
        run_scenario(script)


def commit(at, state, address="10.0.0.1:1", key="k1"):
    return {"at": at, "event": "commit", "key": key, "engine": "s-1", "address": address, "state": state}


def arrival(at, address="10.0.0.1:1"):
    return {"at": at, "event": "arrival", "who": "n0", "engine": address, "ref": "x", "lane": "lookup"}


def test_the_checker_finds_late_work_at_a_drain_and_only_until_the_engine_is_back():
    late = [
        commit(1.0, "ready"),
        arrival(1.5),
        commit(2.0, "draining"),
        arrival(2.7),
        commit(5.0, "ready"),
        arrival(6.0),
    ]
    assert verify.drains(History(late)) == [verify.Drain(2.0, 2.7, "10.0.0.1:1")]
    assert verify.figures(History(late), 1)["missed_drains"] == 1
    gone = [commit(1.0, "ready"), commit(2.0, "gone", address=""), arrival(2.3)]
    assert verify.drains(History(gone)) == [verify.Drain(2.0, 2.3, "10.0.0.1:1")]


def test_the_checker_counts_full_reads_by_start_and_overlaps_by_connection():
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
    figures = verify.figures(history, 1)
    assert figures["full_reads"] == 2 and figures["full_reads_most"] == 1 and figures["questions_on_top"] == 1


def test_the_most_within_a_second_and_lines_of_an_older_version():
    assert max_in_window([0.0, 0.5, 0.9, 1.0, 1.4, 3.0], 1.0) == 4
    event = parse_event("n3 listens on 127.0.0.1:7001")
    assert event == {"event": "listening", "host": "127.0.0.1", "port": 7001}
    assert parse_event("registry: the list is not confirmed, on_stale is 'hold'")["confirmed"] is False
    assert parse_event('{"event": "list", "confirmed": true}')["confirmed"] is True
    assert parse_event("{broken")["event"] == "line"


def test_every_case_describes_what_happens():
    assert all(case.play.__doc__ for case in CASES.values()) and len(CASES) >= 15
