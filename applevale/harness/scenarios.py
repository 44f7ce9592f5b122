"""The cases of the fleet rig: what happens, and what may come of it at the most."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from ..checkers import coldstart as verify
from ..checkers import membership
from ..checkers.history import History, quantile
from ..fault_injection.link_conditions import LinkCondition
from ..fault_injection.scenarios import SCENARIOS, scenario_steps
from ..fault_injection.schedule import ApplyLinkCondition, KillProcess, TerminateProcess, draw_schedule
from .fleet import Fleet
from .fleet_plan import FleetPlan

UP = 60.0  # s within which all are ready, with the machine's share
REST = 5.0
JOINED = 6.0  # s behind the last fault among members, within which all views agree
READY_LATER = 2.0  # s that the last ones are ready behind processes that only import the program

Play = Callable[[Fleet], Awaitable[None]]


@dataclass(frozen=True)
class Case:
    """`bars`: figures and the most that each may be, from the figures and the number of instances."""

    play: Play
    bars: Callable[[dict, int], dict[str, float]] = lambda found, nodes: {}
    plan: dict = field(default_factory=dict)  # what differs from the usual


async def _up(fleet: Fleet, within: float = UP) -> None:
    await fleet.launch_all()
    await fleet.all_ready(within)


async def _rest(fleet: Fleet) -> None:
    """All that a start has brought has settled; then some seconds are looked at."""
    await asyncio.sleep(2.0)
    end = fleet.measure_idle()
    fleet.mark("rest")
    await asyncio.sleep(REST)
    fleet.mark("rest_end")
    end()


async def _break(fleet: Fleet, span: float, after: float = verify.SESSIONS_AFTER_BREAK_SECONDS) -> None:
    """The list service is away for `span` s, for all at once."""
    fleet.mark("break")
    await fleet.service.order("down")
    await asyncio.sleep(span)
    await fleet.service.order("up")
    fleet.mark("break_end")
    await asyncio.sleep(after)


async def coldstart(fleet: Fleet) -> None:
    """All at once, to rest; drains; the list service away for 1 s."""
    await _up(fleet)
    await _rest(fleet)
    await fleet.drain(3)
    await _break(fleet, 1.0)
    await fleet.quiet()


def _coldstart_bars(found: dict, nodes: int) -> dict[str, float]:
    return {
        "sessions": 1.05 * nodes,
        "sessions_after_break": 1.05 * nodes,
        "full_reads_most": 1,
        "list_reads_s_steady": 5 * nodes,
        "unconfirmed_at_rest": 0,
        "reads_after_break": found.get("list_reads_s_steady", 0),
        "connects_per_engine_s_max": 20,
    }


async def _up_before_the_service(fleet: Fleet, after: float) -> None:
    await fleet.service.order("down")
    await fleet.launch_all()
    await fleet.until(lambda: all(one.program.listening.is_set() for one in fleet.instances), UP)
    await asyncio.sleep(after)
    fleet.mark("break_end")
    await fleet.service.order("up")
    await fleet.all_ready(UP)
    await _rest(fleet)
    await fleet.drain(2)
    await fleet.quiet()


async def late_service(fleet: Fleet) -> None:
    """The instances come first, the list service 20 s later."""
    await _up_before_the_service(fleet, 20.0)


async def restart(fleet: Fleet) -> None:
    """The list service is restarted under all of them, three times."""
    await _up(fleet)
    await _rest(fleet)
    for _ in range(2):
        await _break(fleet, 0.3, 3.0)
    await _break(fleet, 3.0)
    await fleet.drain(2)
    await fleet.quiet()


async def scarce(fleet: Fleet) -> None:
    """The list service takes 50 reads a second, or 1.25 an instance, and refuses the rest; then as ever."""
    await fleet.service.order("capacity", rate=min(50.0, 1.25 * fleet.plan.nodes), most=0.1)
    await fleet.launch_all()
    await asyncio.sleep(25.0)
    await fleet.drain(2)
    await fleet.service.order("capacity", rate=fleet.plan.capacity)
    await fleet.all_ready(UP)
    await asyncio.sleep(8.0)  # trials of the promise, one after the other
    await _rest(fleet)
    await fleet.drain(2)
    await fleet.quiet()


def _slow(seconds: float) -> Play:
    async def slow(fleet: Fleet) -> None:
        """All at rest, then every answer of the list service takes that long, then none does."""
        await _up(fleet)
        await _rest(fleet)
        await fleet.service.order("late", seconds=seconds)
        fleet.mark("slow")
        await asyncio.sleep(3.0)
        await fleet.drain(2)
        await asyncio.sleep(5.0)
        fleet.mark("slow_end")
        await fleet.service.order("late", seconds=0.0)
        await asyncio.sleep(12.0)
        await fleet.drain(1)
        await fleet.quiet()

    return slow


async def slow_member(fleet: Fleet) -> None:
    """One member of three takes 0.3 s for each answer."""
    await _up(fleet)
    await _rest(fleet)
    fleet.mark("slow")
    await fleet.service.order("late", seconds=0.3, member=0)
    await asyncio.sleep(5.0)
    fleet.mark("slow_end")
    await fleet.drain(2)
    await fleet.quiet()


async def restore(fleet: Fleet) -> None:
    """The list service comes back from a backup that knows less."""
    await _up(fleet)
    await fleet.service.order("keep")
    kept = dict(fleet.states)
    await fleet.drain(1)
    await fleet.list_engine(0, "gone")
    await _rest(fleet)
    fleet.mark("break")
    await fleet.service.order("restore")
    fleet.states = kept
    fleet.mark("break_end")
    await asyncio.sleep(verify.SESSIONS_AFTER_BREAK_SECONDS)
    await fleet.drain(2)
    await fleet.quiet()


async def cut_third(fleet: Fleet) -> None:
    """A third of the instances is cut off from the list service for 6 s."""
    await _up(fleet)
    await _rest(fleet)
    third = [one.name for one in fleet.instances[: max(1, len(fleet.instances) // 3)]]
    cut = asyncio.create_task(
        fleet.play(
            [
                ApplyLinkCondition(
                    at=0, sources=third, targets=["list*"], condition=LinkCondition(cut=True), duration=6.0
                ),
                ApplyLinkCondition(
                    at=0, sources=["list*"], targets=third, condition=LinkCondition(cut=True), duration=6.0
                ),
            ]
        )
    )
    await asyncio.sleep(1.0)
    await fleet.drain(3)
    await cut
    await asyncio.sleep(6.0)
    await fleet.drain(1)
    await fleet.quiet()


async def crash_loop(fleet: Fleet) -> None:
    """Half of the instances crash and start again every 2 s."""
    await _up(fleet)
    await _rest(fleet)
    half = [one.name for one in fleet.instances[: len(fleet.instances) // 2]]
    fleet.mark("crashes")
    await fleet.play([KillProcess(at=2.0 * turn, processes=half, restart_after=0.1) for turn in range(5)])
    fleet.mark("crashes_end")
    await fleet.all_ready(UP)
    await asyncio.sleep(3.0)
    await fleet.drain(2)
    await fleet.quiet()


async def rolling(fleet: Fleet) -> None:
    """A release: each is ended and started anew, a tenth at a time."""
    await _up(fleet)
    await _rest(fleet)
    names = [one.name for one in fleet.instances]
    step = max(1, len(names) // 10)
    for first in range(0, len(names), step):
        await fleet.play([TerminateProcess(at=0, processes=names[first : first + step], restart_after=0.1)])
        await fleet.all_ready(UP)
    await fleet.drain(2)
    await fleet.quiet()


async def cold_site(fleet: Fleet) -> None:
    """Engines cold and instances cold together: the whole site comes up."""
    await _up(fleet)
    await asyncio.sleep(8.0)
    await fleet.drain(2)
    await fleet.quiet()


async def cold_push(fleet: Fleet) -> None:
    """More is asked for than cold engines bear: all instances together stay within their budget."""
    await _up(fleet)
    await asyncio.sleep(12.0)


async def eager(fleet: Fleet) -> None:
    """Clients come before anyone is ready, and repeat at once what is refused."""
    await _up_before_the_service(fleet, 4.0)


async def away(fleet: Fleet) -> None:
    """The list service is away for a minute; its return is no second cold start."""
    await _up(fleet)
    await _rest(fleet)
    await _break(fleet, 60.0)
    await fleet.drain(2)
    await fleet.quiet()


async def engines_cut(fleet: Fleet) -> None:
    """The network to all engines is away for 3 s: every link breaks at once."""
    await _up(fleet)
    await asyncio.sleep(6.0)
    await _rest(fleet)
    await fleet.play(
        [
            ApplyLinkCondition(
                at=0, sources=["n*"], targets=["e*"], condition=LinkCondition(refuse=True), duration=3.0
            )
        ]
    )
    await asyncio.sleep(8.0)
    await fleet.drain(2)
    await fleet.quiet()


async def snapshots(fleet: Fleet) -> None:
    """All are killed at once and come back with the list that they kept: confirmed by its revision alone."""
    await _up(fleet)
    await asyncio.sleep(3.0)  # until each has kept its list
    await fleet.play([KillProcess(at=0, processes=["n*"], restart_after=0.1)])
    fleet.mark("again")
    await fleet.all_ready(UP)
    await _rest(fleet)
    await fleet.drain(2)
    await fleet.quiet()


async def schedule(fleet: Fleet) -> None:
    """The steps of a file, or drawn from the seed, with drains beside them all the time."""
    steps = list(fleet.plan.schedule) or draw_schedule(fleet.plan.seed, fleet.plan.nodes)
    await _up(fleet)
    await _rest(fleet)
    playing = asyncio.create_task(fleet.play(steps))
    try:
        while not playing.done():
            await fleet.drain(1)
        await playing
    finally:
        playing.cancel()
    await fleet.all_ready(UP)
    await asyncio.sleep(8.0)  # trials of the promise, one after the other
    await fleet.drain(2)
    await fleet.quiet()


def _members(name: str) -> Play:
    async def play(fleet: Fleet) -> None:
        await _up(fleet)
        await fleet.until(lambda: all(one.member_status == "well" for one in fleet.instances), UP)
        await asyncio.sleep(3.0)
        fleet.mark("joined")
        steps = scenario_steps(name, fleet.plan.nodes, fleet.plan.seed)
        await fleet.play(steps)
        await asyncio.sleep(JOINED)

    play.__doc__ = SCENARIOS[name].__doc__ or f"Among members: {name}."
    return play


def _calm(found: dict, nodes: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0, "full_reads_most": 1, "sessions": 1.05 * nodes}


def _all_slow(found: dict, nodes: int) -> dict[str, float]:
    return _calm(found, nodes) | {"sessions_left": 0}


def _at_rest(found: dict, nodes: int) -> dict[str, float]:
    return {"unconfirmed_at_rest": 0}


def _after_break(found: dict, nodes: int) -> dict[str, float]:
    return _calm(found, nodes) | {
        "sessions_after_break": 1.05 * nodes,
        "reads_after_break": found.get("list_reads_s_steady", 0),
    }


CASES: dict[str, Case] = {
    "coldstart": Case(coldstart, _coldstart_bars),
    "late-service": Case(late_service, lambda found, nodes: {"unconfirmed_at_rest": 0, "full_reads_most": 1}),
    "restart": Case(restart, _calm),
    "scarce": Case(scarce, lambda found, nodes: {"full_reads_most": 1}),
    "slow-200": Case(_slow(0.2), _all_slow),
    "slow-400": Case(_slow(0.4), _all_slow),
    "slow-member": Case(slow_member, _calm),
    "restore": Case(restore, _at_rest),
    "cut-third": Case(cut_third, _calm, {"gates": True}),
    "crash-loop": Case(crash_loop, _calm),
    "rolling": Case(rolling, _calm),
    "cold-site": Case(
        cold_site,
        lambda found, nodes: {"connects_per_engine_s_max": 20},
        {"engines": 30, "cold": 30, "clients": 4.0},
    ),
    "cold-push": Case(
        cold_push, lambda found, nodes: {"pushed_most": 1}, {"engines": 6, "cold": 6, "clients": 10.0}
    ),
    "eager": Case(eager, lambda found, nodes: {"unconfirmed_at_rest": 0}, {"eager": True}),
    "away": Case(away, _after_break),
    "snapshots": Case(
        snapshots,
        lambda found, nodes: {"unconfirmed_at_rest": 0, "full_reads": 1.02 * nodes, "full_reads_most": 1},
        {"snapshot": True},
    ),
    "schedule": Case(schedule, lambda found, nodes: {}, {"gates": True}),
    "engines-cut": Case(engines_cut, lambda found, nodes: {"connects_per_engine_s_max": 20}, {"gates": True}),
}


MEMBERS = {"members": True, "clients": 1.0}
CASES |= {
    name if name == "membership" else f"members-{name}": Case(_members(name), plan=MEMBERS)
    for name in SCENARIOS
}


async def run(plan: FleetPlan, case: str, history: str = "") -> dict:
    """One run; the figures, with `ok` and what was `broken`. `history`: where to write it."""
    chosen = CASES[case]
    fleet = Fleet(replace(plan, **chosen.plan))
    play = asyncio.create_task(_play(fleet, chosen))
    try:
        found = await play
    finally:
        await fleet.stop()
    figures = _figures(fleet, fleet.history(), found, chosen)
    if history:
        fleet.history().write(history)  # with what the rules found
    return {"rig": "fleet", "case": case, **figures}


async def _play(fleet: Fleet, chosen: Case) -> dict:
    await fleet.measure_imports()
    await fleet.start()
    await chosen.play(fleet)
    await fleet.settle()
    shown = await asyncio.gather(
        *(one.program.counters() for one in fleet.instances if one.program.process.returncode is None)
    )
    return {
        name: sum(counts.get(f"registry_{name}", 0) for counts in shown)
        for name in ("stalls", "trials", "slow_for_all", "declined", "given_up", "stale", "breaks")
    }


def _figures(fleet: Fleet, history: History, counted: dict, chosen: Case) -> dict:
    nodes = fleet.plan.nodes
    found = verify.figures(history, nodes) | counted
    rules = fleet.rules()
    found |= {
        name: rules[name]
        for name in (
            *verify.REQUEST_RULES,
            "requests",
            "served",
            "cut_by_ends",
            "late_by_standstill",
        )
    }
    found["wrong_lists"] = fleet.figures["wrong_lists"]
    found["pushed_most"] = round(max(engine.peak_overload for engine in fleet.engines), 2)
    found["import_s"] = {
        name: round(quantile(fleet.import_s, share), 2)
        for name, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
    }
    found["idle"] = fleet.idle
    found["turns_left_out"] = fleet.figures["turns_left_out"]
    missed = verify.broken(found, nodes, chosen.bars(found, nodes))
    if fleet.plan.members:
        among = membership.figures(history)
        missed += membership.broken(among, {})
        found |= among | {"datagrams": dict(fleet.relay.stats)}
    if fleet.figures["bad_exits"]:
        missed.append(f"exits with another code than 0: {fleet.figures['bad_exits']}")
    if chosen.play is coldstart and found["ready_s"]["p99"] > found["import_s"]["p99"] + READY_LATER:
        missed.append(f"ready_s: p99 {found['ready_s']['p99']}, imports {found['import_s']['p99']}")
    faults = {
        name.removeprefix("fault_"): count
        for name, count in fleet.figures.items()
        if name.startswith("fault_")
    }
    return {
        "ok": not missed,
        "broken": missed,
        "seed": fleet.plan.seed,
        "nodes": nodes,
        "faults": faults,
        **found,
    }
