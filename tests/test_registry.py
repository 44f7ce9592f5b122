"""The registry source against fake etcd and Consul members on loopback.

Each wait is for a condition and has a timeout.
"""

import asyncio
import json
import ssl
from contextlib import asynccontextmanager
from random import Random

import pytest
import trustme

from applevale.api import EngineState
from applevale.discovery.endpoints import AttributeNames
from applevale.discovery.registry import settings as registry_settings
from applevale.discovery.registry.snapshot import SnapshotError, SnapshotStore
from applevale.discovery.registry.source import RegistrySource
from applevale.fakes import consul, etcd
from applevale.fakes.faulty_proxy import FaultyProxy, ProxyMode
from applevale.fakes.key_value_store import KeyValueStore
from applevale.harness.registry.environment import ScenarioEnvironment
from applevale.harness.registry.evaluation import environment_drains
from applevale.observability.counters import Counters

NAMES = AttributeNames(("a",), ("std",))
KINDS = ("etcd", "consul")
PREFIX = "p/"
TIMEOUT_SECONDS = 20.0  # Far longer than any wait in these tests takes.


def record(number, state="ready", port=7000):
    return json.dumps({"id": f"s-{number:08x}", "address": f"127.0.0.1:{port}", "state": state}).encode()


class RegistryEnvironment:
    """A registry source, its members behind proxies, and the engine list that it has published."""

    def __init__(self, kind, **more_settings):
        self.kind = kind
        self.store = KeyValueStore()
        self.more_settings = more_settings
        self.members = [{"etcd": etcd, "consul": consul}[kind].Member(self.store) for _ in range(2)]
        self.proxies = []
        self.counters = Counters()
        self.engines = {}
        self.freshness_changes = []
        self.event = asyncio.Event()
        self.source = None

    def put(self, number, *state, **options):
        return self.store.put(f"{PREFIX}{number}".encode(), record(number, *state, **options))

    def on_update(self, update):
        if update.is_full:
            self.engines.clear()
        for endpoint in update.endpoints:
            self.engines[endpoint.entry.engine_id] = endpoint.entry.state.value
            if endpoint.entry.state.value == "gone":
                del self.engines[endpoint.entry.engine_id]
        self.event.set()

    def on_freshness_change(self, is_fresh):
        self.freshness_changes.append(is_fresh)
        self.event.set()

    def settings(self, proxies=None, **more_settings):
        addresses = [f"{proxy.address[0]}:{proxy.address[1]}" for proxy in proxies or self.proxies]
        return registry_settings.read_settings(
            {"kind": self.kind, "addresses": addresses, "prefix": PREFIX} | self.more_settings | more_settings
        )

    def start_source(self):
        self.source = RegistrySource(
            self.settings(), NAMES, self.counters, self.on_update, self.on_freshness_change, 1
        )
        self.source.start()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                self.event.clear()
                waiting = asyncio.create_task(self.event.wait())
                await asyncio.wait({waiting}, timeout=0.02)
                waiting.cancel()

    async def wait_until_current(self):
        """Wait until the list is confirmed at the current revision of the registry."""
        await self.wait_until(
            lambda: self.source.is_fresh() and self.source.watcher.revision == self.store.revision
        )


@asynccontextmanager
async def running_environment(kind, **more_settings):
    environment = RegistryEnvironment(kind, **more_settings)
    try:
        for member in environment.members:
            await member.start()
            proxy = FaultyProxy(member.address, Random(1))
            await proxy.start()
            environment.proxies.append(proxy)
        environment.put(1)
        environment.put(2)
        environment.start_source()
        await environment.wait_until_current()
        yield environment
    finally:
        if environment.source is not None:
            await environment.source.stop()
        for server in (*environment.proxies, *environment.members):
            await server.stop()


def run_scenario(scenario, kind, **more_settings):
    async def run():
        async with running_environment(kind, **more_settings) as environment:
            await scenario(environment)

    asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_a_drain_and_a_deletion_during_an_outage_with_compaction(kind):
    async def scenario(environment):
        for proxy in environment.proxies:
            proxy.set_mode(ProxyMode.STALL)
        environment.put(1, "draining")
        environment.store.delete(b"p/1")
        environment.put(2, "draining")
        environment.store.compact()
        await environment.wait_until(lambda: not environment.source.is_fresh())
        assert environment.engines == {1: "ready", 2: "ready"} and not environment.source.may_send_requests()
        for proxy in environment.proxies:
            proxy.set_mode(ProxyMode.PASS)
        await environment.wait_until_current()
        # A blocking query of Consul returns the whole list, so it needs no second full read.
        full_reads = 2 if kind == "etcd" else 1
        assert environment.engines == {2: "draining"}
        assert environment.counters["registry_full_reads"] == full_reads

    run_scenario(scenario, kind)


@pytest.mark.parametrize("mode", [ProxyMode.TRUNCATE, ProxyMode.CORRUPT])
@pytest.mark.parametrize("kind", KINDS)
def test_a_truncated_or_corrupt_response_ends_the_session_and_leaves_the_list(kind, mode):
    async def scenario(environment):
        for proxy in environment.proxies:
            proxy.set_mode(mode)
        environment.put(1, "draining")
        await environment.wait_until(
            lambda: environment.counters["registry_breaks"] + environment.counters["registry_stalls"] > 0
        )
        await environment.wait_until_current()
        assert environment.engines == {1: "draining", 2: "ready"}

    run_scenario(scenario, kind)


def test_a_silent_watch_is_replaced_by_one_at_the_other_member():
    async def scenario(environment):
        for member in environment.members:
            last_index = environment.source.watcher.sessions.rotation.last_index
            member.silences_watches = last_index == environment.members.index(member)
        environment.put(1, "draining")
        await environment.wait_until_current()
        assert environment.engines[1] == "draining" and environment.counters["registry_stalls"] == 1
        assert (
            environment.counters["registry_resumes"] == 1 and environment.counters["registry_full_reads"] == 1
        )

    run_scenario(scenario, "etcd")


@pytest.mark.parametrize("kind", KINDS)
def test_a_lagging_member_is_abandoned(kind):
    async def scenario(environment):
        stale_store = environment.store.copy()
        environment.put(1, "draining")
        await environment.wait_until_current()
        environment.members[environment.source.watcher.sessions.rotation.last_index].stale_store = stale_store
        environment.proxies[environment.source.watcher.sessions.rotation.last_index].abort_connections()
        environment.put(2, "draining")
        await environment.wait_until_current()
        assert environment.engines == {1: "draining", 2: "draining"}

    run_scenario(scenario, kind)


@pytest.mark.parametrize("kind, cluster", [("etcd", 0), ("etcd", 7), ("consul", 0)])
def test_the_list_of_a_registry_restored_from_a_backup_is_adopted(kind, cluster):
    async def scenario(environment):
        backup = environment.store.copy()
        environment.put(1, "draining")
        environment.put(3)
        await environment.wait_until_current()
        environment.store.restore(backup, cluster)
        for proxy in environment.proxies:
            proxy.abort_connections()
        await environment.wait_until_current()
        assert (
            environment.engines == {1: "ready", 2: "ready"} and environment.counters["registry_restored"] == 1
        )

    run_scenario(scenario, kind)


def test_throttled_blocking_queries_are_repeated_in_the_same_session():
    async def scenario(environment):
        for member in environment.members:
            member.retry_after = 1
        environment.store.notify()
        await environment.wait_until(
            lambda: environment.counters["registry_declined"] >= 2 and not environment.source.is_fresh()
        )
        for member in environment.members:
            member.retry_after = None
        environment.put(1, "draining")
        await environment.wait_until_current()
        assert environment.engines[1] == "draining" and environment.source.watcher.sessions.opened_count == 1
        assert (
            environment.counters["registry_full_reads"] == 1 and environment.counters["registry_breaks"] == 0
        )

    run_scenario(scenario, "consul")


@pytest.mark.parametrize("kind", KINDS)
def test_rejected_credentials_are_counted_and_tried_again_after_a_reload(kind):
    async def scenario(environment):
        for member in environment.members:
            member.rejects_credentials = True
        for proxy in environment.proxies:
            proxy.abort_connections()
        await environment.wait_until(
            lambda: environment.counters["registry_refused"] >= 2 and not environment.source.is_fresh()
        )
        for member in environment.members:
            member.rejects_credentials = False
        environment.source.reconfigure(environment.settings())
        environment.put(1, "draining")
        await environment.wait_until_current()
        assert environment.engines[1] == "draining"

    run_scenario(scenario, kind)


@pytest.mark.parametrize("kind", KINDS)
def test_tls_accepts_only_a_client_certificate_of_the_trusted_authority(kind, tmp_path):
    trusted = trustme.CA()
    untrusted = trustme.CA()
    paths = {}
    for name, authority in (("trusted", trusted), ("untrusted", untrusted)):
        certificate = authority.issue_cert("client.example.org")
        paths[name] = {"cert": str(tmp_path / f"{name}.crt"), "key": str(tmp_path / f"{name}.key")}
        certificate.private_key_pem.write_to_path(paths[name]["key"])
        certificate.cert_chain_pems[0].write_to_path(paths[name]["cert"])
    trusted.cert_pem.write_to_path(str(tmp_path / "ca.crt"))
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.set_alpn_protocols(["h2" if kind == "etcd" else "http/1.1"])
    server.verify_mode = ssl.CERT_REQUIRED
    trusted.configure_trust(server)
    trusted.issue_cert("127.0.0.1").configure_cert(server)

    async def run():
        environment = RegistryEnvironment(kind, tls={"ca": str(tmp_path / "ca.crt")} | paths["untrusted"])
        await environment.members[0].start(server)
        environment.proxies = [environment.members[0]]
        environment.put(1)
        environment.start_source()
        await environment.wait_until(lambda: environment.counters["registry_breaks"] >= 2)
        assert environment.engines == {}
        environment.source.reconfigure(
            environment.settings(tls={"ca": str(tmp_path / "ca.crt")} | paths["trusted"])
        )
        await environment.wait_until_current()
        assert environment.engines == {1: "ready"}
        await environment.source.stop()
        await environment.members[0].stop()

    asyncio.run(run())


def test_user_and_password_are_exchanged_for_a_token():
    async def run():
        environment = RegistryEnvironment("etcd", user="ops", password="pw-ops")
        for member in environment.members:
            member.users = {"ops": "token-1"}
            await member.start()
            proxy = FaultyProxy(member.address, Random(1))
            await proxy.start()
            environment.proxies.append(proxy)
        environment.put(1)
        environment.start_source()
        await environment.wait_until_current()
        assert environment.engines == {1: "ready"}
        await environment.source.stop()
        for server in (*environment.proxies, *environment.members):
            await server.stop()

    asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_a_value_of_50_mb_is_not_read_and_ends_sessions_until_it_is_replaced(kind):
    async def scenario(environment):
        environment.store.put(b"p/1", b"x" * 50_000_000)
        # The fake shares the event loop and is slow to send the value, so that sessions may also stall.
        failures = ("registry_breaks", "registry_stalls")
        await environment.wait_until(
            lambda: (
                sum(environment.counters[name] for name in failures) >= 2
                and not environment.source.is_fresh()
            )
        )
        assert environment.engines == {1: "ready", 2: "ready"}
        environment.put(1, "draining")
        environment.store.compact()
        await environment.wait_until_current()
        assert environment.engines == {1: "draining", 2: "ready"}

    run_scenario(scenario, kind)


@pytest.mark.parametrize("kind", KINDS)
def test_a_burst_of_10_000_changes_and_a_full_read_in_pages(kind):
    async def scenario(environment):
        for number in range(1, 2501):
            for state in ("ready", "draining", "ready", "draining"):
                environment.put(number, state)
        await environment.wait_until_current()
        assert environment.engines == dict.fromkeys(range(1, 2501), "draining")
        environment.source.reconfigure(environment.settings(proxies=environment.proxies[1:]))
        environment.store.compact()
        environment.put(1)
        await environment.wait_until_current()
        assert environment.engines[1] == "ready" and len(environment.engines) == 2500

    run_scenario(scenario, kind, fresh=2.0)


def test_an_engine_is_removed_when_its_lease_expires():
    async def scenario(environment):
        environment.store.put(b"p/3", record(3), lease_seconds=0.05)
        await environment.wait_until(lambda: 3 in environment.engines)
        await environment.wait_until(lambda: 3 not in environment.engines)
        await environment.wait_until_current()

    run_scenario(scenario, "etcd")


@pytest.mark.parametrize("kind", KINDS)
def test_replaced_members_are_watched_from_the_same_revision(kind):
    async def scenario(environment):
        extra = FaultyProxy(environment.members[1].address, Random(2))
        await extra.start()
        try:
            for proxy in environment.proxies:
                proxy.set_mode(ProxyMode.REFUSE)
            environment.put(1, "draining")
            environment.source.reconfigure(environment.settings(proxies=[extra]))
            await environment.wait_until_current()
            assert environment.engines[1] == "draining"
            assert environment.counters["registry_full_reads"] == 1
        finally:
            await extra.stop()

    run_scenario(scenario, kind)


def test_a_stored_snapshot_is_published_unconfirmed_and_resumed_without_a_full_read(tmp_path):
    async def scenario(environment):
        environment.put(1, "draining")
        await environment.wait_until_current()
        await environment.source.stop()
        environment.engines, environment.counters = {}, Counters()
        for proxy in environment.proxies:
            proxy.set_mode(ProxyMode.STALL)
        environment.start_source()
        assert environment.engines == {1: "draining", 2: "ready"} and not environment.source.is_fresh()
        environment.put(2, "draining")
        for proxy in environment.proxies:
            proxy.set_mode(ProxyMode.PASS)
        await environment.wait_until_current()
        assert environment.engines == {1: "draining", 2: "draining"}
        assert (
            environment.counters["registry_full_reads"] == 0
            and environment.counters["registry_snapshot_used"] == 1
        )

    run_scenario(scenario, "etcd", snapshot=str(tmp_path / "store"), on_stale="serve")


def test_a_torn_a_foreign_and_a_missing_snapshot_are_distinguished(tmp_path):
    folder = str(tmp_path / "store")
    store = SnapshotStore(folder, "etcd:p/")
    assert store.load() is None
    store.save(5, [("p/1", 5, record(1))])
    assert store.load().revision == 5
    store.registry = "etcd:q/"
    with pytest.raises(SnapshotError, match="q/"):
        store.load()
    with store.environment.begin(write=True) as transaction:
        transaction.put(b"list", transaction.get(b"list")[:-1])
    with pytest.raises(SnapshotError, match="torn"):
        store.load()
    store.close()
    (tmp_path / "file").write_text("not a directory")
    with pytest.raises(SnapshotError, match="file"):
        SnapshotStore(str(tmp_path / "file"), "etcd:p/")


@pytest.mark.parametrize(
    "change, key",
    [
        ({"kind": "zoo"}, "registry.kind"),
        ({"addresses": []}, "registry.addresses"),
        ({"addresses": ["x"]}, r"registry.addresses\[0\]"),
        ({"addresses": ["h:0"]}, r"registry.addresses\[0\]"),
        ({"fresh": 0}, "registry.fresh"),
        ({"hold": -1}, "registry.hold"),
        ({"colour": 1}, "colour"),
        ({"user": "a"}, "registry.password"),
        ({"tls": {"ca": "x", "cert": "y"}}, "registry.tls.key"),
        ({"on_stale": "wait"}, "registry.on_stale"),
    ],
)
def test_the_error_of_an_invalid_setting_names_its_key(change, key):
    with pytest.raises(registry_settings.RegistrySettingsError, match=key) as caught:
        registry_settings.read_settings({"kind": "etcd", "addresses": ["h:1"]} | change)
    assert caught.value.key.startswith("registry")
    assert str(caught.value) == f"{caught.value.key}: {caught.value.reason}"


def run_drain_behind_stalled_members(kind, *fault):
    """Run the real program while engines are drained and the history is compacted behind stalled members.

    Returns:
        The longest time that a drain took to have effect in s, the number of wrong lists, and the clients'
        statistics.
    """

    async def run():
        environment = ScenarioEnvironment(kind, Random(3), ("tests.planted", *fault) if fault else ())
        try:
            await environment.start()
            loop = asyncio.get_running_loop()
            load = asyncio.create_task(environment.clients.run(loop.time() + 3.0))
            await asyncio.sleep(0.3)
            for proxy in environment.proxies:
                proxy.set_mode(ProxyMode.STALL)
            for listed in environment.engine_list.listed[:3]:
                environment.engine_list.set_state(listed, EngineState.DRAINING)
            environment.store.put(b"applevale/engines/900", b"{}")
            environment.store.compact()
            await asyncio.sleep(1.2)
            await environment.reach_quiet_point()
            await load
        finally:
            await environment.stop()
        lag = max(drain.lag for drain in environment_drains(environment))
        return lag, environment.figures["wrong_lists"], environment.clients.stats()

    return asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_the_program_sends_no_new_requests_while_it_cannot_learn_of_a_drain(kind):
    lag, wrong, answers = run_drain_behind_stalled_members(kind)
    assert lag <= 0.5 and wrong == 0
    assert answers["lost"] == answers["twice"] == 0 and answers["served"] > 30


def test_the_harness_detects_a_program_that_ignores_staleness():
    lag, _, _ = run_drain_behind_stalled_members("etcd", "staleness")
    assert lag > 0.5


def test_the_harness_detects_a_program_that_ignores_compaction():
    _, wrong, _ = run_drain_behind_stalled_members("etcd", "compaction")
    assert wrong == 1


def test_after_the_hold_time_new_requests_are_rejected_immediately_until_the_list_is_confirmed():
    async def run():
        environment = ScenarioEnvironment("etcd", Random(5))
        try:
            await environment.start()
            for proxy in environment.proxies:
                proxy.set_mode(ProxyMode.STALL)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while not (await environment.program.counters()).get("unconfirmed"):
                    environment.clients.send("lookup")
                    await asyncio.sleep(0.1)
            late = environment.clients.send("lookup")
            await environment.clients.settle()
            await environment.reach_quiet_point()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while environment.clients.sent_requests[-1].answers != ["served"]:
                    environment.clients.send("lookup")
                    await environment.clients.settle()
        finally:
            await environment.stop()
        assert late.answers == ["Full"]
        assert environment.clients.stats()["lost"] == 0

    asyncio.run(run())
