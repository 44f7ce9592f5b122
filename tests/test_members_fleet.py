"""Membership on a fleet of real processes: it keeps its guarantees, and planted faults are detected."""

import asyncio

import pytest

from applevale.checkers import membership as membership_checker
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

# Tests with a fleet must not run in parallel on one machine.
pytestmark = pytest.mark.xdist_group("fleet")
CUT = LinkCondition(cut=True)


def run_scenario(script, **plan):
    """Run a script on a fleet whose members have all joined; return its figures and its history."""

    async def run():
        defaults = {
            "instance_count": 6,
            "engine_count": 4,
            "requests_per_second": 2.0,
            "with_membership": True,
        }
        fleet = Fleet(FleetPlan(**(defaults | plan)))
        try:
            async with asyncio.timeout(90):
                await fleet.start()
                await fleet.launch_all()
                assert await fleet.wait_until_ready(30)
                assert await fleet.wait_until(
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
        return membership_checker.compute_figures(history) | dict(fleet.violations()), history

    return asyncio.run(run())


def count_removals(fleet, name):
    """Return the number of instances whose latest report of the member is that it died or left."""
    latest_changes = {}
    for event in fleet.events:
        if event["event"] == "view":
            latest_changes.update((event["who"], change) for who, change in event["changes"] if who == name)
    return sum(change in ("died", "left") for change in latest_changes.values())


async def many_faults(fleet):
    """A kill, a pause, an orderly restart, an upgrade, and a kill with a quick restart."""
    other_count = len(fleet.instances) - 1
    await fleet.play([KillProcess(at=0, processes=["n1"])])
    assert await fleet.wait_until(lambda: count_removals(fleet, "n1") == other_count, 20)
    await fleet.play([PauseProcess(at=0, processes=["n2"], duration=1.5)])
    await fleet.play([TerminateProcess(at=0, processes=["n3"], restart_after=0.1)])
    assert await fleet.wait_until(
        lambda: fleet.instances[3].member_status == "well" and not count_removals(fleet, "n3"), 20
    )
    await fleet.play(
        [
            UpgradeProcess(at=0, processes=["n4"], overlap=2.0),
            KillProcess(at=0.5, processes=["n5"], restart_after=0.1),
        ]
    )
    assert await fleet.wait_until(
        lambda: all(
            instance.member_status == "well" for instance in fleet.instances if instance.name != "n1"
        ),
        20,
    )
    await asyncio.sleep(3.0)


def test_six_instances_agree_on_the_members_alive_through_many_faults():
    figures, history = run_scenario(many_faults)
    assert membership_checker.violated_limits(figures, {}) == []
    assert figures["killed"] == 1
    assert figures["lost_requests"] == 0
    assert figures["served"] > 10
    statuses = {event["stand"] for event in history.select("stand")}
    # During the upgrade the older of the two processes is "alone".
    assert {"joining", "well", "paused", "alone", "gone"} <= statuses
    assert any(change == "restarted" for event in history.select("view") for _, change in event["changes"])


async def packet_loss(fleet):
    await fleet.play(
        [
            ApplyLinkCondition(
                at=0, sources=["n*"], targets=["n*"], condition=LinkCondition(loss=0.3), duration=6.0
            )
        ]
    )
    await asyncio.sleep(3.0)


async def waves(fleet):
    """Two overlapping pauses: the second process suspects the first, and misses the end of its pause."""
    await fleet.play(
        [
            PauseProcess(at=0, processes=["n1"], duration=6.0),
            PauseProcess(at=1.5, processes=["n2"], duration=6.5),
        ]
    )
    await asyncio.sleep(4.0)


async def back(fleet):
    other_count = len(fleet.instances) - 1
    await fleet.play([KillProcess(at=0, processes=["n1"])])
    await fleet.wait_until(lambda: count_removals(fleet, "n1") == other_count, 10)
    await fleet.launch(fleet.instances[1])
    assert await fleet.wait_until(lambda: fleet.instances[1].member_status == "well", 20)
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


# A fault planted in the protocol, the scenario that exposes it, and the figure that shows it.
DETECTED_FAULTS = [
    ("death_by_one_observer", packet_loss, "false_dead"),
    ("no_pause_detection", waves, "false_dead"),
    ("incarnation_reset", back, "wrong_views"),
    ("no_helpers", killed, "missed"),
    ("no_sync", halves, "wrong_views"),
]


@pytest.mark.parametrize("fault,script,figure", DETECTED_FAULTS, ids=[case[0] for case in DETECTED_FAULTS])
def test_a_planted_fault_is_detected_in_the_history(fault, script, figure):
    figures, _ = run_scenario(script, requests_per_second=0.0, entry_point=("tests.planted", fault))
    assert figures[figure] > 0


@pytest.mark.parametrize("script", [waves, halves], ids=["waves", "halves"])
def test_without_a_planted_fault_the_same_scenarios_keep_all_guarantees(script):
    figures, _ = run_scenario(script, requests_per_second=0.0)
    assert membership_checker.violated_limits(figures, {}) == []


def test_an_instance_that_declares_all_others_dead_does_not_change_their_views():
    figures, history = run_scenario(
        calm,
        requests_per_second=0.0,
        entry_point=("tests.planted", "forged_suspicions"),
        entry_point_instance="n0",
    )
    assert membership_checker.violated_limits(figures, {}) == []
    assert sum(1 for _ in history.select("view", since=history.mark_time("joined"))) == 0


def test_the_checker_distinguishes_false_deaths_from_true_ones():
    def view(at, change, name="n1"):
        return {"at": at, "event": "view", "who": "n0", "changes": [[name, change]]}

    def figures_of(*events):
        return membership_checker.compute_figures(History([*launched, *events]))

    launched = [{"at": 0.0, "event": "launched", "who": f"n{number}", "how": "start"} for number in range(3)]
    killed = {"at": 10.0, "event": "ended", "who": "n1", "how": "kill"}
    final_view = {"at": 20.0, "event": "held", "who": "n0", "view": ["n0", "n2"]}
    assert figures_of(killed, view(12.0, "died"), final_view)["false_dead"] == 0
    assert figures_of(killed, view(9.0, "died"), final_view)["false_dead"] == 1
    assert figures_of(killed, final_view)["missed"] == 2  # Neither of the two others reported the death.
    paused = {"at": 5.0, "event": "fault", "do": "stop", "who": ["n1"], "span": 3.0}
    assert figures_of(paused, view(7.5, "died"), final_view)["false_dead"] == 0
    assert figures_of(paused, view(9.5, "died"), final_view)["false_dead"] == 1
    cut = {
        "at": 5.0,
        "event": "fault",
        "do": "link",
        "sources": ["n0", "n2"],
        "targets": ["n1"],
        "fate": {"cut": True},
        "span": 4.0,
    }
    assert figures_of(cut, view(8.0, "died"), final_view)["false_dead"] == 0
    assert figures_of(final_view)["wrong_views"] == 1
    sent = [
        {"at": 1 + tenth / 10, "event": "sent", "who": "n0", "bytes": 300, "most": 257, "count": 2}
        for tenth in range(10)
    ]
    figures = figures_of(*sent, final_view | {"view": ["n0", "n1", "n2"]})
    assert figures["bytes_s_max"] == 3000
    assert len(membership_checker.violated_limits(figures, {})) == 2
