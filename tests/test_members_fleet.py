"""Membership on a few real processes: guarantees are kept, and each planted fault is caught."""

import asyncio

import pytest

from applevale.checkers import membership as verify
from applevale.checkers.history import History
from applevale.fault_injection.link_conditions import LinkCondition
from applevale.fault_injection.schedule import (
    ApplyLinkCondition,
    KillProcess,
    PauseProcess,
    TerminateProcess,
    UpgradeProcess,
)
from applevale.harness.fleet import Fleet
from applevale.harness.fleet_plan import FleetPlan

# Never beside another fleet on the same machine.
pytestmark = pytest.mark.xdist_group("fleet")
CUT = LinkCondition(cut=True)


def run_scenario(script, **plan):
    """Run a script on a fleet whose members all know each other; return its figures and its history."""

    async def run():
        fleet = Fleet(FleetPlan(**({"nodes": 6, "engines": 4, "clients": 2.0, "members": True} | plan)))
        try:
            async with asyncio.timeout(90):
                await fleet.start()
                await fleet.launch_all()
                assert await fleet.all_ready(30)
                assert await fleet.until(
                    lambda: all(instance.member_status == "well" for instance in fleet.instances), 20
                )
                await asyncio.sleep(1.0)
                fleet.mark("joined")
                await script(fleet)
                await fleet.clients.settle()
                await asyncio.gather(
                    *(
                        instance.program.counters()
                        for instance in fleet.instances
                        if instance.program.process.returncode is None
                    )
                )
        finally:
            await fleet.stop()
        history = fleet.history()
        return verify.figures(history) | dict(fleet.violations()), history

    return asyncio.run(run())


def died(fleet, name):
    """Count the instances that last reported the member as dead or left."""
    last = {}
    for event in fleet.events:
        if event["event"] == "view":
            last.update((event["who"], change) for who, change in event["changes"] if who == name)
    return sum(change in ("died", "left") for change in last.values())


async def many_faults(fleet):
    """A kill, a pause, an orderly end, an upgrade and a quick restart."""
    others = len(fleet.instances) - 1
    await fleet.play([KillProcess(at=0, processes=["n1"])])
    assert await fleet.until(lambda: died(fleet, "n1") == others, 20)
    await fleet.play([PauseProcess(at=0, processes=["n2"], duration=1.5)])
    await fleet.play([TerminateProcess(at=0, processes=["n3"], restart_after=0.1)])
    assert await fleet.until(lambda: fleet.instances[3].member_status == "well" and not died(fleet, "n3"), 20)
    await fleet.play(
        [
            UpgradeProcess(at=0, processes=["n4"], overlap=2.0),
            KillProcess(at=0.5, processes=["n5"], restart_after=0.1),
        ]
    )
    assert await fleet.until(
        lambda: all(
            instance.member_status == "well" for instance in fleet.instances if instance.name != "n1"
        ),
        20,
    )
    await asyncio.sleep(3.0)


def test_six_instances_agree_on_who_is_alive_through_many_faults():
    figures, history = run_scenario(many_faults)
    assert verify.broken(figures, {}) == []
    assert figures["killed"] == 1 and figures["lost_requests"] == 0 and figures["served"] > 10
    statuses = {event["stand"] for event in history.select("stand")}
    assert {"joining", "well", "paused", "alone", "gone"} <= statuses  # alone: the older of two processes
    assert any(change == "restarted" for event in history.select("view") for _, change in event["changes"])


async def loss(fleet):
    await fleet.play(
        [
            ApplyLinkCondition(
                at=0, sources=["n*"], targets=["n*"], condition=LinkCondition(loss=0.3), duration=6.0
            )
        ]
    )
    await asyncio.sleep(3.0)


async def waves(fleet):
    """The second that is paused holds suspicions of the first, and misses that it is back."""
    await fleet.play(
        [
            PauseProcess(at=0, processes=["n1"], duration=6.0),
            PauseProcess(at=1.5, processes=["n2"], duration=6.5),
        ]
    )
    await asyncio.sleep(4.0)


async def back(fleet):
    others = len(fleet.instances) - 1
    await fleet.play([KillProcess(at=0, processes=["n1"])])
    await fleet.until(lambda: died(fleet, "n1") == others, 10)
    await fleet.launch(fleet.instances[1])
    assert await fleet.until(lambda: fleet.instances[1].member_status == "well", 20)
    await asyncio.sleep(4.0)


async def killed(fleet):
    await fleet.play([KillProcess(at=0, processes=["n1"])])
    await asyncio.sleep(6.5)


async def halves(fleet):
    first = ["n0", "n1", "n2"]
    second = ["n3", "n4", "n5"]
    await fleet.play(
        [
            ApplyLinkCondition(at=0, sources=first, targets=second, condition=CUT, duration=8.0),
            ApplyLinkCondition(at=0, sources=second, targets=first, condition=CUT, duration=8.0),
        ]
    )
    await asyncio.sleep(5.0)


async def calm(fleet):
    await asyncio.sleep(6.0)


CAUGHT = [
    ("one_word", loss, "false_dead"),
    ("no_look", waves, "false_dead"),
    ("reset", back, "wrong_views"),
    ("no_help", killed, "missed"),
    ("never_mended", halves, "wrong_views"),
]


@pytest.mark.parametrize("fault,script,figure", CAUGHT, ids=[case[0] for case in CAUGHT])
def test_a_planted_fault_shows_in_the_history(fault, script, figure):
    figures, _ = run_scenario(script, clients=0.0, entry=("tests.planted", fault))
    assert figures[figure] > 0


@pytest.mark.parametrize("script", [waves, halves], ids=["waves", "halves"])
def test_the_program_keeps_its_guarantees_where_planted_faults_are_caught(script):
    figures, _ = run_scenario(script, clients=0.0)
    assert verify.broken(figures, {}) == []


def test_one_instance_that_calls_all_others_dead_harms_no_one():
    figures, history = run_scenario(calm, clients=0.0, entry=("tests.planted", "liar"), entry_of="n0")
    assert verify.broken(figures, {}) == []
    assert sum(1 for _ in history.select("view", since=history.mark_time("joined"))) == 0


def test_the_checker_tells_false_deaths_from_true_ones():
    def view(at, change, name="n1"):
        return {"at": at, "event": "view", "who": "n0", "changes": [[name, change]]}

    start = [{"at": 0.0, "event": "launched", "who": f"n{number}", "how": "start"} for number in range(3)]
    end = {"at": 10.0, "event": "ended", "who": "n1", "how": "kill"}
    last = {"at": 20.0, "event": "held", "who": "n0", "view": ["n0", "n2"]}
    assert verify.figures(History([*start, end, view(12.0, "died"), last]))["false_dead"] == 0
    assert verify.figures(History([*start, end, view(9.0, "died"), last]))["false_dead"] == 1
    assert verify.figures(History([*start, end, last]))["missed"] == 2  # neither of two others knew
    still = {"at": 5.0, "event": "fault", "do": "stop", "who": ["n1"], "span": 3.0}
    assert verify.figures(History([*start, still, view(7.5, "died"), last]))["false_dead"] == 0
    assert verify.figures(History([*start, still, view(9.5, "died"), last]))["false_dead"] == 1
    cut = {
        "at": 5.0,
        "event": "fault",
        "do": "link",
        "sources": ["n0", "n2"],
        "targets": ["n1"],
        "fate": {"cut": True},
        "span": 4.0,
    }
    assert verify.figures(History([*start, cut, view(8.0, "died"), last]))["false_dead"] == 0
    assert verify.figures(History([*start, last]))["wrong_views"] == 1
    sent = [
        {"at": 1 + tenth / 10, "event": "sent", "who": "n0", "bytes": 300, "most": 257, "count": 2}
        for tenth in range(10)
    ]
    figures = verify.figures(History([*start, *sent, last | {"view": ["n0", "n1", "n2"]}]))
    assert figures["bytes_s_max"] == 3000 and len(verify.broken(figures, {})) == 2
