"""Codec for the simulator's wire: bytes to events, actions to bytes. It chooses nothing."""

from __future__ import annotations

import struct
from math import isfinite

from . import api

NS = 1_000_000_000
NOBODY = 0xFFFFFFFF
HEAD = struct.Struct("<IQI")
RECORD = struct.Struct("<BI")
REQ = struct.Struct("<QHIQQQffH")
VERDICT = struct.Struct("<QBIHQBI")
BEAT = struct.Struct("<QIBfB")
HEALTH = struct.Struct("<IHQ")
ENTRY = struct.Struct("<HQBHfHI")
TOPOLOGY = struct.Struct("<BQI")

RESULTS = {
    100: api.Result.OK,
    301: api.Result.ERROR,
    302: api.Result.FULL,
    303: api.Result.TIMEOUT,
    304: api.Result.CONNECT_FAILED,
    305: api.Result.RESET,
    306: api.Result.CANCELLED,
    307: api.Result.MOOT,
}
STATES = {0: api.State.DRAINING, 2: api.State.READY, 3: api.State.GONE}
COLUMNS = {"x0": "report_x0", "x1": "report_x1"}
MEANINGS = {"share_of_memory_granted": "memory_used", "share_of_disks_busy": "disk_busy"}


class WireError(ValueError):
    """A frame or record that cannot be read; the text says what and where."""


def _number(value: float) -> float:
    return value if isfinite(value) and value >= 0 else 0.0


def _floats(body: memoryview, at: int) -> tuple[float, ...]:
    if at >= len(body):
        return ()
    count = body[at]
    values = struct.unpack_from(f"<{count}f", body, at + 1)
    return tuple(value if isfinite(value) and value >= 0 else -1.0 for value in values)


def _blob(body: memoryview, at: int, form: str) -> bytes:
    (size,) = struct.unpack_from(form, body, at)
    start = at + struct.calcsize(form)
    if start + size > len(body):
        raise WireError(f"a field of {size} bytes runs past its record")
    return bytes(body[start : start + size])


class Boot:
    def __init__(self, seed: int, settings: str):
        self.seed, self.settings = seed, settings


class Down:
    pass


class Decoder:
    """Keeps the numbered list pages, which travel once for each process."""

    def __init__(self) -> None:
        self.pages: dict[int, tuple[api.EngineEntry, ...]] = {}

    def batch(self, count: int, body: bytes):
        """Yields (instance, event); event may also be Boot or Down."""
        view, at, instance = memoryview(body), 0, None
        for index in range(count):
            if at + RECORD.size > len(view):
                raise WireError(f"record {index} at byte {at}: its head is cut off")
            code, size = RECORD.unpack_from(view, at)
            start = at + RECORD.size
            if start + size > len(view):
                raise WireError(
                    f"record {index} (code {code}) at byte {at}: {size} bytes told, {len(view) - start} left"
                )
            part = view[start : start + size]
            at = start + size
            try:
                if code == 130:
                    (instance,) = struct.unpack_from("<H", part)
                elif code == 120:
                    self.register(part)
                elif (event := self.event(code, part)) is not None:
                    if instance is None:
                        raise WireError("no instance named before it")
                    yield instance, event
            except (struct.error, WireError, KeyError, UnicodeDecodeError) as error:
                raise WireError(
                    f"record {index} (code {code}) at byte {start - RECORD.size}: {error}"
                ) from None
        if at != len(view):
            raise WireError(f"{len(view) - at} bytes left over after {count} records")

    def register(self, part: memoryview) -> None:
        page, count = struct.unpack_from("<II", part)
        if 8 + count * ENTRY.size > len(part):
            raise WireError(f"a list of {count} entries is cut off")
        entries = []
        for index in range(count):
            zone, started, state, cell, size, kind, engine = ENTRY.unpack_from(part, 8 + index * ENTRY.size)
            entries.append(
                api.EngineEntry(
                    engine,
                    zone,
                    kind,
                    cell,
                    _number(size),
                    STATES.get(state, api.State.DRAINING),
                    started / NS,
                )
            )
        self.pages[page] = tuple(entries)

    def event(self, code: int, part: memoryview):
        if code == 10:
            (seed,) = struct.unpack_from("<Q", part)
            return Boot(seed, _blob(part, 8, "<I").decode())
        if code == 100:
            return Down()
        if code == 20:
            kind, _revision, page = TOPOLOGY.unpack_from(part)
            if kind == 1:
                return api.EngineList(failed=True)
            if page not in self.pages:
                raise WireError(f"list page {page} was never registered")
            return api.EngineList(self.pages[page], whole=kind in (0, 2))
        if code == 30:
            request, cls, tenant, key, ttl, work, need, tables, opts = REQ.unpack_from(part)
            return api.Request(
                request,
                cls,
                tenant,
                key,
                ttl / NS,
                work / NS if opts & 1 else 0.0,
                _number(need),
                tables if isfinite(tables) else 0.0,
                bool(opts & 2),
            )
        if code == 50:
            request, attempt, engine, status, took, final, note = VERDICT.unpack_from(part)
            return api.Outcome(
                request,
                attempt,
                engine,
                RESULTS.get(status, api.Result.ERROR),
                took / NS,
                bool(final),
                (note >> 12) / 1000,
                (note & 0xFFF) * 4.0,
                _floats(part, VERDICT.size),
            )
        if code == 40:
            request, attempt, engine = struct.unpack_from("<QBI", part)
            return api.Started(request, attempt, engine)
        if code == 110:
            request, engine, sort, value, attempt = BEAT.unpack_from(part)
            if sort not in (1, 2, 3):
                return None
            return api.Note(request, attempt, engine, api.NoteKind(sort), _number(value))
        if code == 80:
            engine, status, took = HEALTH.unpack_from(part)
            return api.ProbeResult(
                engine, RESULTS.get(status, api.Result.ERROR), took / NS, _floats(part, HEALTH.size)
            )
        if code == 70:
            return api.Timer(struct.unpack_from("<Q", part)[0])
        if code == 60:
            return api.ClientGone(struct.unpack_from("<Q", part)[0])
        if code == 90:
            (sender,) = struct.unpack_from("<I", part)
            return api.PeerMessage(sender, _blob(part, 4, "<H"))
        return None


def _record(code: int, fields: bytes = b"") -> bytes:
    return RECORD.pack(code, len(fields)) + fields


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:1000]
    return _record(code, struct.pack("<H", len(data)) + data)


def _ns(seconds: float) -> int:
    return max(0, round(seconds * NS))


def context(instance: int) -> bytes:
    return _record(140, struct.pack("<H", instance))


def exception(text: str) -> bytes:
    return _text(100, text)


def action(item: api.Action) -> bytes:
    match item:
        case api.Send():
            return _record(10, struct.pack("<QQI", item.request, _ns(item.timeout), item.engine))
        case api.Terms():
            return _record(130, struct.pack("<QfB", item.request, item.memory_mb, item.priority))
        case api.Reject():
            return _record(20, struct.pack("<QQ", item.request, _ns(item.retry_after)))
        case api.Fail():
            return _record(30, struct.pack("<Q", item.request))
        case api.Cancel():
            return _record(40, struct.pack("<QB", item.request, item.attempt))
        case api.Probe():
            return _record(60, struct.pack("<I", item.engine))
        case api.SetTimer():
            return _record(50, struct.pack("<QQ", _ns(item.after), item.token))
        case api.Log():
            return _text(90, item.text)
        case api.Subscribe():
            return _record(110, struct.pack("<B", item.active))
        case api.FetchList():
            return _record(120)
        case api.SendPeerMessage():
            body = item.body[:256]
            to = NOBODY if item.peer is None else item.peer
            return _record(80, struct.pack("<IH", to, len(body)) + body)
    raise TypeError(f"not an action: {item!r}")


def reply(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return struct.pack("<II", len(body), len(records)) + body


class _Pairs:
    """The path=value lines of `settings`; a missing or unreadable one raises an error that names it."""

    def __init__(self, text: str):
        self.of = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def get(self, key: str, kind, default=None):
        if key not in self.of:
            if default is None:
                raise api.SettingsError(f"{key}: missing")
            return default
        raw = self.of[key]
        try:
            if kind is bool:
                return {"true": True, "false": False}[raw]
            return kind(raw)
        except (ValueError, KeyError):
            raise api.SettingsError(f"{key}: {raw!r} is not a {kind.__name__}") from None

    def time(self, key: str, default: float) -> float:
        return self.get(key, float, default * NS) / NS

    def list(self, key: str) -> list[str]:
        raw = self.of.get(key, "")
        return raw.split(",") if raw else []

    def at(self, key: str, kind, index: int, default):
        values = self.list(key)
        if not values:
            return default
        raw = values[min(index, len(values) - 1)]
        try:
            return raw == "true" if kind is bool else kind(raw)
        except ValueError:
            raise api.SettingsError(f"{key}: {raw!r} is not a {kind.__name__}") from None

    def bound(self, key: str, names: list[str]) -> frozenset[int] | None:
        """A list of numbers or names; None where the key is absent."""
        count = self.get(key + ".count", int, 0)
        raw = [self.of[f"{key}.{i}"] for i in range(count)] if count else self.list(key)
        if key not in self.of and not count:
            return None
        try:
            return frozenset(names.index(item) if item in names else int(item) for item in raw)
        except ValueError:
            raise api.SettingsError(f"{key}: {raw!r} names nothing known") from None


def settings(text: str) -> api.Settings:
    pairs = _Pairs(text)
    zones, kinds = pairs.list("zones"), pairs.list("kinds")
    classes = []
    for i in range(pairs.get("classes.count", int)):
        p = f"classes.{i}."
        try:
            repeat = api.Repeat(pairs.get(p + "repeat", str))
        except ValueError:
            raise api.SettingsError(f"{p}repeat: safe, keyed or unsafe") from None
        classes.append(
            api.ClassSpec(
                name=pairs.get(p + "name", str, f"class-{i}"),
                aim=pairs.get(p + "aim", float) / NS,
                aim_stretch=pairs.get(p + "aim_stretch", float, 0.0),
                deadline=pairs.get(p + "deadline", float) / NS,
                worth=pairs.get(p + "worth", float, 1.0),
                late_share=pairs.get(p + "late_share", float, 0.0),
                repeat=repeat,
                group=pairs.get(p + "group", str, "all"),
                repeat_window=pairs.time(p + "repeat_window", 0.0),
                ordered=pairs.get(p + "by_arrival", bool, False),
                zones=pairs.bound(p + "zones_allowed", zones),
                kinds=pairs.bound(p + "allowed_on", kinds),
                stream=pairs.get(p + "stream", bool, False),
                threads=pairs.at("specifics.class_threads", int, i, 1),
                load=pairs.at("specifics.class_load", bool, i, False),
                yields=pairs.at("specifics.yields_to_loads", bool, i, False),
            )
        )
    tenants = tuple(
        api.TenantSpec(
            pairs.get(f"orgs.{i}.name", str, f"tenant-{i}"), pairs.get(f"orgs.{i}.quota_rps", float, 0.0)
        )
        for i in range(pairs.get("orgs.count", int, 0))
    )
    columns = tuple(
        MEANINGS.get(pairs.of.get("specifics." + COLUMNS.get(name, ""), ""), name)
        for name in pairs.list("stats.columns")
    )
    budget = pairs.get("guarantees.budget_share", float, -1.0)
    return api.Settings(
        classes=tuple(classes),
        tenants=tenants,
        kinds=tuple(
            api.KindSpec(
                name,
                pairs.at("specifics.cpu_of_kind", float, i, 0.0),
                pairs.at("specifics.ram_of_kind_mb", float, i, 0.0),
            )
            for i, name in enumerate(kinds)
        ),
        me=pairs.get("me", int, 0),
        gateways=pairs.get("fleet_size", int, 1),
        zone=pairs.get("az", int, 0),
        discovery_push=pairs.get("discovery", str, "pushed") == "pushed",
        tick=pairs.time("tick", 0.005),
        answer_slack=pairs.time("guarantees.answer_slack", 0.0),
        ask_within=pairs.time("guarantees.ask_within", 10.0),
        drain_grace=pairs.time("guarantees.drain_grace", 0.0),
        cold_share=pairs.get("guarantees.cold_share", float, 0.1),
        warm_up=pairs.time("guarantees.warm_up", 30.0),
        fall=pairs.time("guarantees.fall", 1.0),
        fall_multiple=pairs.get("guarantees.fall_multiple", float, 1.0),
        order_pause=pairs.time("guarantees.order_pause", 0.0),
        budget_share=None if budget < 0 else budget,
        budget_free=pairs.get("guarantees.min_extra", float, 0.0),
        budget_span=pairs.time("guarantees.ratio_span", 5.0),
        try_limit=pairs.get("limits.try_limit", int, 1),
        max_open=pairs.get("limits.max_open", int, 20000),
        max_retry_after=pairs.time("limits.max_retry_after", 0.0),
        may_cancel=pairs.get("limits.cancel", bool, False),
        may_probe=pairs.get("limits.may_probe", bool, False),
        probe_price=pairs.get("prices.probe", float, 0.0),
        peer_price=pairs.get("prices.peer", float, 0.0),
        may_tell_peers=pairs.get("limits.peers", bool, False),
        retry_after=pairs.get("limits.retry_after", bool, False),
        parallel_tries=pairs.get("limits.parallel_tries", bool, False),
        over_share_worth=pairs.get("over_share_worth", float, 1.0),
        report_columns=columns,
        report_how=pairs.get("stats.how", str, "none"),
        memory_heeded=pairs.get("specifics.memory_heeded", bool, False),
        ranks_heeded=pairs.get("specifics.ranks_heeded", bool, False),
        tells_cost=pairs.get("specifics.says_cost", bool, False),
        progress=pairs.time("specifics.progress", 0.0),
        largest_share=pairs.get("specifics.largest_share", float, 1.0),
        when_short=pairs.get("specifics.when_short", str, "wait"),
    )
