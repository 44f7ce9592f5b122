"""Failures of a registry and of the network before it, drawn from a seed; each ends by itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ...fakes import consul, etcd
from ...fakes.faulty_proxy import FaultyProxy, ProxyMode
from .environment import MEMBER_COUNT, ScenarioEnvironment

MIN_DURATION_SECONDS = 0.1
MAX_DURATION_SECONDS = 1.5
FULL_READ_DELAY_SECONDS = 0.3
MIN_RELOADED_MEMBERS = 2
NEW_CLUSTER_SHARE = 0.5  # of the restores of an etcd cluster, that give it a new id


class FaultKind(Enum):
    """What fails."""

    CUT = "cut"  # the connections to one member
    REFUSE = "refuse"  # one member accepts no connection
    STALL = "stall"  # nothing passes to and from one member
    HALF = "half"  # an answer ends in its middle
    GARBAGE = "garbage"  # an answer is replaced by random bytes
    COMPACT = "compact"  # the registry's history is gone
    MUTE = "mute"  # watches of one member send nothing
    LAG = "lag"  # one member is behind the others
    DENY = "deny"  # one member rejects credentials
    SLOW = "slow"  # full reads from one member take long
    ALL = "all"  # nothing passes to and from all members, and the history is gone
    RESTORE = "restore"  # the registry goes back to its last backup
    BURST = "burst"  # many keys are written at once
    RELOAD = "reload"  # the application gets other members, in another order
    TWICE = "twice"  # one member sends each event twice


ETCD_ONLY = (FaultKind.TWICE,)
PROXY_MODES = {
    FaultKind.REFUSE: ProxyMode.REFUSE,
    FaultKind.STALL: ProxyMode.STALL,
    FaultKind.HALF: ProxyMode.HALF,
    FaultKind.GARBAGE: ProxyMode.GARBAGE,
}
MEMBER_SWITCHES = {  # the attribute of a fake member that switches the failure on
    FaultKind.MUTE: "silences_watches",
    FaultKind.DENY: "rejects_credentials",
    FaultKind.TWICE: "duplicates_events",
}


@dataclass(frozen=True)
class Fault:
    """A failure at one member, and how many seconds it lasts.

    Failures of the whole registry take no notice of the member, and momentary ones none of the duration.
    """

    kind: FaultKind
    member: etcd.Member | consul.Member
    proxy: FaultyProxy
    duration: float


class FaultInjector:
    """Causes failures in an environment."""

    def __init__(self, environment: ScenarioEnvironment):
        """Create an injector whose draws are those of the environment."""
        self._environment = environment
        self._random = environment.random
        self._kinds = [kind for kind in FaultKind if environment.kind == "etcd" or kind not in ETCD_ONLY]

    async def inject(self) -> None:
        """Cause a failure that is drawn."""
        environment = self._environment
        number = self._random.randrange(MEMBER_COUNT)
        duration = self._random.uniform(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS)
        kind = self._random.choice(self._kinds)
        environment.figures["failures"] += 1
        environment.record_event(f"{kind.value} of member {number} for {duration:.2f} s")
        await self._cause(Fault(kind, environment.members[number], environment.proxies[number], duration))

    async def _cause(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.COMPACT:
                self._environment.store.compact()
            case FaultKind.LAG:
                await self._let_lag(fault)
            case FaultKind.ALL:
                self._stall_all(fault)
            case FaultKind.RESTORE:
                await self._restore()
            case FaultKind.BURST:
                self._environment.engine_list.write_burst()
            case FaultKind.RELOAD:
                self._reload()
            case _:
                self._cause_at_member(fault)

    def _cause_at_member(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.CUT:
                fault.proxy.abort_connections()
            case FaultKind.REFUSE | FaultKind.STALL | FaultKind.HALF | FaultKind.GARBAGE:
                self._spoil_connections(fault)
            case FaultKind.MUTE | FaultKind.DENY | FaultKind.TWICE:
                self._switch_member(fault)
            case FaultKind.SLOW:
                self._slow_down(fault)

    def _spoil_connections(self, fault: Fault) -> None:
        fault.proxy.set_mode(PROXY_MODES[fault.kind])
        if fault.kind is FaultKind.REFUSE:
            fault.proxy.abort_connections()
        self._environment.delayed_calls.schedule(fault.duration, fault.proxy.set_mode, ProxyMode.PASS)

    def _switch_member(self, fault: Fault) -> None:
        switch = MEMBER_SWITCHES[fault.kind]
        setattr(fault.member, switch, True)
        if fault.kind is FaultKind.DENY:
            fault.proxy.abort_connections()
        delayed_calls = self._environment.delayed_calls
        delayed_calls.schedule(fault.duration, setattr, fault.member, switch, False)
        delayed_calls.schedule(fault.duration, self._environment.store.notify)

    async def _let_lag(self, fault: Fault) -> None:
        """Let a member answer from the last backup, if no other does: a majority is never behind."""
        environment = self._environment
        counters = await environment.program.counters()
        if any(member.stale_store for member in environment.members):
            return
        if counters["registry_revision"] <= environment.backup.revision:
            return
        fault.member.stale_store = environment.backup
        fault.proxy.abort_connections()
        environment.delayed_calls.schedule(fault.duration, setattr, fault.member, "stale_store", None)

    def _slow_down(self, fault: Fault) -> None:
        fault.member.full_read_delay = FULL_READ_DELAY_SECONDS
        self._environment.delayed_calls.schedule(
            fault.duration, setattr, fault.member, "full_read_delay", 0.0
        )

    def _stall_all(self, fault: Fault) -> None:
        delayed_calls = self._environment.delayed_calls
        for proxy in self._environment.proxies:
            proxy.set_mode(ProxyMode.STALL)
            delayed_calls.schedule(fault.duration, proxy.set_mode, ProxyMode.PASS)
        delayed_calls.schedule(fault.duration / 2, self._environment.store.compact)

    def _reload(self) -> None:
        count = self._random.randint(MIN_RELOADED_MEMBERS, MEMBER_COUNT)
        self._environment.reload(self._random.sample(self._environment.proxies, count))

    async def _restore(self) -> None:
        """Go back to the last quiet point, under the same cluster id or a new one.

        Without a new id the application can notice it only while the revision is lower than one that it knew,
        so nothing is written until it did.
        """
        environment = self._environment
        environment.end_failures()
        counters = await environment.program.counters()
        if counters["registry_revision"] <= environment.backup.revision:
            return
        has_new_id = environment.kind == "etcd" and self._random.random() < NEW_CLUSTER_SHARE
        if has_new_id:  # as by a new start of all members
            environment.abort_connections()
        cluster_id = environment.store.cluster_id + 1 if has_new_id else 0
        environment.store.restore(environment.backup.copy(), cluster_id)
        environment.engine_list.take_over_restored()
        await environment.reach_quiet_point()
