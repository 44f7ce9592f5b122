"""Reads the settings of a deployment from the path=value lines of the simulator's wire protocol."""

from __future__ import annotations

from collections.abc import Callable

from .. import api
from .units import NANOSECONDS_PER_SECOND

# Load report columns whose meaning depends on the deployment, with the settings that state their meaning.
COLUMN_SETTINGS = {"x0": "report_x0", "x1": "report_x1"}
# Column names in `Settings.report_columns`, by the meaning that such a setting states.
COLUMN_MEANINGS = {"share_of_memory_granted": "memory_used", "share_of_disks_busy": "disk_busy"}
BOOLEANS = {"true": True, "false": False}


class SettingLines:
    """Typed access to path=value lines.

    Every method raises SettingsError, with the path first, for a value that is missing or invalid.

    Attributes:
        values: The text of each value, by path.
    """

    def __init__(self, text: str):
        """Parse the lines; those without an equals sign are ignored."""
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def get(self, path: str, value_type: type, default: object = None):
        """Return the value of a path as `value_type`; without a default the path is required."""
        if path not in self.values:
            if default is None:
                raise api.SettingsError(f"{path}: missing")
            return default
        raw = self.values[path]
        try:
            return BOOLEANS[raw] if value_type is bool else value_type(raw)
        except (ValueError, KeyError):
            raise api.SettingsError(
                f"{path}: a value of type {value_type.__name__} is needed, not {raw!r}"
            ) from None

    def get_seconds(self, path: str, default: float) -> float:
        """Return a time in seconds. The value at `path` is in nanoseconds, `default` in seconds."""
        return self.get(path, float, default * NANOSECONDS_PER_SECOND) / NANOSECONDS_PER_SECOND

    def get_list(self, path: str) -> list[str]:
        """Return a comma-separated list; empty if the path is absent."""
        raw = self.values.get(path, "")
        return raw.split(",") if raw else []

    def get_list_item(self, path: str, value_type: type, index: int, default: object):
        """Return an item of a list; an index past the end returns the last item."""
        values = self.get_list(path)
        if not values:
            return default
        raw = values[min(index, len(values) - 1)]
        try:
            return raw == "true" if value_type is bool else value_type(raw)
        except ValueError:
            raise api.SettingsError(
                f"{path}: a value of type {value_type.__name__} is needed, not {raw!r}"
            ) from None

    def get_indices(self, path: str, names: list[str]) -> frozenset[int] | None:
        """Return a list of names and indices as indices into `names`; None if the path is absent."""
        count = self.get(f"{path}.count", int, 0)
        if path not in self.values and not count:
            return None
        if count:
            raw_items = [self.values[f"{path}.{index}"] for index in range(count)]
        else:
            raw_items = self.get_list(path)
        try:
            return frozenset(names.index(item) if item in names else int(item) for item in raw_items)
        except ValueError:
            raise api.SettingsError(f"{path}: names from {names!r} are needed, not {raw_items!r}") from None

    def read_items(self, path: str, read: Callable[[int], object], default_count: int | None = None) -> tuple:
        """Return the results of `read` for each index below the number at `path`.count."""
        return tuple(read(index) for index in range(self.get(f"{path}.count", int, default_count)))


def read_settings(text: str) -> api.Settings:
    """Return the settings that the lines describe.

    Raises:
        SettingsError: A value is missing or invalid; the message begins with its path.
    """
    lines = SettingLines(text)
    zones = lines.get_list("zones")
    kinds = lines.get_list("kinds")
    return api.Settings(
        classes=lines.read_items("classes", lambda index: _read_class(lines, index, zones, kinds)),
        tenants=lines.read_items("orgs", lambda index: _read_tenant(lines, index), 0),
        kinds=tuple(_read_kind(lines, index, name) for index, name in enumerate(kinds)),
        me=lines.get("me", int, 0),
        gateways=lines.get("fleet_size", int, 1),
        zone=lines.get("az", int, 0),
        discovery_push=lines.get("discovery", str, "pushed") == "pushed",
        tick=lines.get_seconds("tick", 0.005),
        over_share_worth=lines.get("over_share_worth", float, 1.0),
        probe_price=lines.get("prices.probe", float, 0.0),
        peer_price=lines.get("prices.peer", float, 0.0),
        report_columns=_read_report_columns(lines),
        load_report_mode=lines.get("stats.how", str, "none"),
        **_read_guarantees(lines),
        **_read_limits(lines),
        **_read_engine_traits(lines),
    )


def _read_class(lines: SettingLines, index: int, zones: list[str], kinds: list[str]) -> api.ClassSpec:
    path = f"classes.{index}."
    try:
        repeat = api.RepeatPolicy(lines.get(path + "repeat", str))
    except ValueError:
        raise api.SettingsError(f"{path}repeat: safe, keyed or unsafe is needed") from None
    return api.ClassSpec(
        name=lines.get(path + "name", str, f"class-{index}"),
        aim=lines.get(path + "aim", float) / NANOSECONDS_PER_SECOND,
        aim_stretch=lines.get(path + "aim_stretch", float, 0.0),
        deadline=lines.get(path + "deadline", float) / NANOSECONDS_PER_SECOND,
        worth=lines.get(path + "worth", float, 1.0),
        late_share=lines.get(path + "late_share", float, 0.0),
        repeat=repeat,
        repeat_group=lines.get(path + "group", str, "all"),
        repeat_window=lines.get_seconds(path + "repeat_window", 0.0),
        is_ordered=lines.get(path + "by_arrival", bool, False),
        zones=lines.get_indices(path + "zones_allowed", zones),
        kinds=lines.get_indices(path + "allowed_on", kinds),
        stream=lines.get(path + "stream", bool, False),
        threads=lines.get_list_item("specifics.class_threads", int, index, 1),
        load=lines.get_list_item("specifics.class_load", bool, index, False),
        yields=lines.get_list_item("specifics.yields_to_loads", bool, index, False),
    )


def _read_tenant(lines: SettingLines, index: int) -> api.TenantSpec:
    return api.TenantSpec(
        name=lines.get(f"orgs.{index}.name", str, f"tenant-{index}"),
        quota_rps=lines.get(f"orgs.{index}.quota_rps", float, 0.0),
    )


def _read_kind(lines: SettingLines, index: int, name: str) -> api.KindSpec:
    return api.KindSpec(
        name=name,
        cores=lines.get_list_item("specifics.cpu_of_kind", float, index, 0.0),
        memory_mb=lines.get_list_item("specifics.ram_of_kind_mb", float, index, 0.0),
    )


def _read_report_columns(lines: SettingLines) -> tuple[str, ...]:
    columns = []
    for name in lines.get_list("stats.columns"):
        setting = "specifics." + COLUMN_SETTINGS.get(name, "")
        columns.append(COLUMN_MEANINGS.get(lines.values.get(setting, ""), name))
    return tuple(columns)


def _read_guarantees(lines: SettingLines) -> dict[str, object]:
    budget_share = lines.get("guarantees.budget_share", float, -1.0)
    return {
        "answer_slack": lines.get_seconds("guarantees.answer_slack", 0.0),
        "ask_within": lines.get_seconds("guarantees.ask_within", 10.0),
        "drain_grace": lines.get_seconds("guarantees.drain_grace", 0.0),
        "cold_share": lines.get("guarantees.cold_share", float, 0.1),
        "warm_up": lines.get_seconds("guarantees.warm_up", 30.0),
        "fall": lines.get_seconds("guarantees.fall", 1.0),
        "fall_multiple": lines.get("guarantees.fall_multiple", float, 1.0),
        "order_pause": lines.get_seconds("guarantees.order_pause", 0.0),
        "budget_share": None if budget_share < 0 else budget_share,
        "budget_free": lines.get("guarantees.min_extra", float, 0.0),
        "budget_span": lines.get_seconds("guarantees.ratio_span", 5.0),
    }


def _read_limits(lines: SettingLines) -> dict[str, object]:
    return {
        "try_limit": lines.get("limits.try_limit", int, 1),
        "max_open": lines.get("limits.max_open", int, 20000),
        "max_retry_after": lines.get_seconds("limits.max_retry_after", 0.0),
        "may_cancel": lines.get("limits.cancel", bool, False),
        "may_probe": lines.get("limits.may_probe", bool, False),
        "may_message_peers": lines.get("limits.peers", bool, False),
        "may_advise_retry_after": lines.get("limits.retry_after", bool, False),
        "allows_parallel_attempts": lines.get("limits.parallel_tries", bool, False),
    }


def _read_engine_traits(lines: SettingLines) -> dict[str, object]:
    return {
        "engines_honor_memory": lines.get("specifics.memory_heeded", bool, False),
        "engines_honor_priority": lines.get("specifics.ranks_heeded", bool, False),
        "engines_report_cost": lines.get("specifics.says_cost", bool, False),
        "progress": lines.get_seconds("specifics.progress", 0.0),
        "largest_share": lines.get("specifics.largest_share", float, 1.0),
        "memory_shortage_mode": lines.get("specifics.when_short", str, "wait"),
    }
