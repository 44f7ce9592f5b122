"""Random faults of a registry and of the network in front of it; each ends by itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ...fakes import consul, etcd
from ...fakes.faulty_proxy import FaultyProxy, ProxyMode
from .environment import MEMBER_COUNT, ScenarioEnvironment

MIN_FAULT_SECONDS = 0.1
MAX_FAULT_SECONDS = 1.5
FULL_READ_DELAY_SECONDS = 0.3
MIN_RELOADED_MEMBERS = 2  # in a reloaded configuration
NEW_CLUSTER_ID_PROBABILITY = 0.5  # that a restored etcd cluster gets a new id


class FaultKind(Enum):
    """The kinds of faults; the values are their names in reports.

    Attributes:
        ABORT_CONNECTIONS: The connections to one member are aborted.
        REFUSE_CONNECTIONS: One member accepts no connections.
        STALL_CONNECTIONS: No data passes to or from one member.
        TRUNCATE_RESPONSE: A response of one member is cut off in the middle.
        CORRUPT_RESPONSE: A response of one member is replaced by random bytes.
        COMPACT_HISTORY: The history of the registry is compacted.
        SILENCE_WATCHES: The watches of one member send nothing.
        SERVE_STALE_DATA: One member serves data older than that of the others.
        REJECT_CREDENTIALS: One member rejects all credentials.
        DELAY_FULL_READS: Full reads from one member are slow.
        STALL_ALL_MEMBERS: No data passes to or from any member; meanwhile the history is compacted.
        RESTORE_BACKUP: The registry is restored from its last backup.
        WRITE_BURST: Many keys are written at once.
        RELOAD_MEMBERS: The application is reconfigured with some of the members, in another order.
        DUPLICATE_EVENTS: One member sends each event twice.
    """

    ABORT_CONNECTIONS = "cut"
    REFUSE_CONNECTIONS = "refuse"
    STALL_CONNECTIONS = "stall"
    TRUNCATE_RESPONSE = "half"
    CORRUPT_RESPONSE = "garbage"
    COMPACT_HISTORY = "compact"
    SILENCE_WATCHES = "mute"
    SERVE_STALE_DATA = "lag"
    REJECT_CREDENTIALS = "deny"
    DELAY_FULL_READS = "slow"
    STALL_ALL_MEMBERS = "all"
    RESTORE_BACKUP = "restore"
    WRITE_BURST = "burst"
    RELOAD_MEMBERS = "reload"
    DUPLICATE_EVENTS = "twice"


ETCD_ONLY = (FaultKind.DUPLICATE_EVENTS,)
PROXY_MODES = {
    FaultKind.REFUSE_CONNECTIONS: ProxyMode.REFUSE,
    FaultKind.STALL_CONNECTIONS: ProxyMode.STALL,
    FaultKind.TRUNCATE_RESPONSE: ProxyMode.TRUNCATE,
    FaultKind.CORRUPT_RESPONSE: ProxyMode.CORRUPT,
}
# The attribute of a fake member that turns the fault on.
MEMBER_FAULT_FLAGS = {
    FaultKind.SILENCE_WATCHES: "silences_watches",
    FaultKind.REJECT_CREDENTIALS: "rejects_credentials",
    FaultKind.DUPLICATE_EVENTS: "duplicates_events",
}


@dataclass(frozen=True)
class Fault:
    """A fault that was drawn.

    Attributes:
        kind: The kind of the fault.
        member: The member that it affects; ignored by faults of the whole registry.
        proxy: The proxy of this member.
        duration: How long it lasts, in seconds; ignored by momentary faults.
    """

    kind: FaultKind
    member: etcd.Member | consul.Member
    proxy: FaultyProxy
    duration: float


class FaultInjector:
    """Injects random faults into an environment."""

    def __init__(self, environment: ScenarioEnvironment):
        """Create an injector that draws from the random source of the environment."""
        self._environment = environment
        self._random = environment.random
        self._kinds = [kind for kind in FaultKind if environment.kind == "etcd" or kind not in ETCD_ONLY]

    async def inject(self) -> None:
        """Inject a randomly drawn fault; it ends by itself after its duration."""
        environment = self._environment
        number = self._random.randrange(MEMBER_COUNT)
        duration = self._random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        kind = self._random.choice(self._kinds)
        environment.figures["failures"] += 1
        environment.record_event(f"fault {kind.value}: member {number}, {duration:.2f} s")
        await self._apply(Fault(kind, environment.members[number], environment.proxies[number], duration))

    async def _apply(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.COMPACT_HISTORY:
                self._environment.store.compact()
            case FaultKind.SERVE_STALE_DATA:
                await self._make_stale(fault)
            case FaultKind.STALL_ALL_MEMBERS:
                self._stall_all(fault)
            case FaultKind.RESTORE_BACKUP:
                await self._restore()
            case FaultKind.WRITE_BURST:
                self._environment.engine_list.write_burst()
            case FaultKind.RELOAD_MEMBERS:
                self._reload()
            case _:
                self._apply_to_member(fault)

    def _apply_to_member(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.ABORT_CONNECTIONS:
                fault.proxy.abort_connections()
            case (
                FaultKind.REFUSE_CONNECTIONS
                | FaultKind.STALL_CONNECTIONS
                | FaultKind.TRUNCATE_RESPONSE
                | FaultKind.CORRUPT_RESPONSE
            ):
                self._disturb_connections(fault)
            case FaultKind.SILENCE_WATCHES | FaultKind.REJECT_CREDENTIALS | FaultKind.DUPLICATE_EVENTS:
                self._set_member_flag(fault)
            case FaultKind.DELAY_FULL_READS:
                self._slow_down(fault)

    def _disturb_connections(self, fault: Fault) -> None:
        fault.proxy.set_mode(PROXY_MODES[fault.kind])
        if fault.kind is FaultKind.REFUSE_CONNECTIONS:
            fault.proxy.abort_connections()
        self._environment.delayed_calls.schedule(fault.duration, fault.proxy.set_mode, ProxyMode.PASS)

    def _set_member_flag(self, fault: Fault) -> None:
        flag = MEMBER_FAULT_FLAGS[fault.kind]
        setattr(fault.member, flag, True)
        if fault.kind is FaultKind.REJECT_CREDENTIALS:
            fault.proxy.abort_connections()
        delayed_calls = self._environment.delayed_calls
        delayed_calls.schedule(fault.duration, setattr, fault.member, flag, False)
        delayed_calls.schedule(fault.duration, self._environment.store.notify)

    async def _make_stale(self, fault: Fault) -> None:
        """Let a member serve the last backup, unless another does: a majority always has the latest data."""
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
        """Restore the backup of the last quiet point, with the same cluster id or a new one.

        With the same id, the application can detect the restore only while the revision of the registry is
        lower than one that it has seen. So nothing is written until it has caught up.
        """
        environment = self._environment
        environment.end_faults()
        counters = await environment.program.counters()
        if counters["registry_revision"] <= environment.backup.revision:
            return
        has_new_id = environment.kind == "etcd" and self._random.random() < NEW_CLUSTER_ID_PROBABILITY
        if has_new_id:  # as if all members had been restarted
            environment.abort_connections()
        cluster_id = environment.store.cluster_id + 1 if has_new_id else 0
        environment.store.restore(environment.backup.copy(), cluster_id)
        environment.engine_list.adopt_restored_records()
        await environment.reach_quiet_point()
