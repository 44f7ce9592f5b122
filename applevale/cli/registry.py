"""`applevale registry`: look into the registry that a configuration names."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import typer

from ..config.model import Config
from ..discovery.endpoints import format_instance_id
from ..net.addresses import format_address
from .arguments import ConfigPath, Seconds, read_config
from .exit_codes import exit_with, fail

if TYPE_CHECKING:
    from ..discovery.endpoints import EndpointUpdate
    from ..discovery.registry.endpoint_table import TableEntry
    from ..discovery.registry.source import RegistrySource

VERIFY_HELP = (
    "Check every record, and print the revision and the digest to compare with a program's counters; exit\n"
    "code 1 if a record cannot be used."
)

registry = typer.Typer(no_args_is_help=True, help="Look into the registry that a configuration names.")


@dataclass(frozen=True)
class RegistryView:
    """The list of engines as a registry has it."""

    revision: int
    digest: int
    entries: list[TableEntry]
    unusable: dict[str, str]  # keys whose value is no record, and why


@registry.command()
def watch(path: ConfigPath, seconds: Seconds = 60.0) -> None:
    """Tell each change of the engine list as it comes, and whether the list is confirmed."""
    _require_view(path, seconds, is_watching=True)


@registry.command()
def dump(path: ConfigPath, seconds: Seconds = 5.0) -> None:
    """Print the engine list as JSON lines: key, revision, id, state, address."""
    view = _require_view(path, seconds)
    for entry in sorted(view.entries, key=lambda entry: entry.key):
        record = {
            "key": entry.key,
            "revision": entry.revision,
            "id": format_instance_id(entry.endpoint.entry.engine),
            "state": entry.endpoint.entry.state.value,
            "address": format_address(entry.endpoint.address),
        }
        typer.echo(json.dumps(record))


@registry.command(help=VERIFY_HELP)
def verify(path: ConfigPath, seconds: Seconds = 5.0) -> None:
    """Check every record of the registry, and print the revision and the digest of its list."""
    view = _require_view(path, seconds)
    for key, reason in sorted(view.unusable.items()):
        typer.echo(f"{key}: {reason}")
    typer.echo(
        f"revision {view.revision}, digest {view.digest}, {len(view.entries)} engines, "
        f"{len(view.unusable)} records that cannot be used"
    )
    exit_with(not view.unusable)


def _require_view(path: str, seconds: float, is_watching: bool = False) -> RegistryView:
    """Return the registry's list; end with exit code 2 if no member confirmed it."""
    config = read_config(path)
    if config.registry is None:
        fail("registry: missing")
    view = asyncio.run(follow(config, seconds, is_watching))
    if view is None:
        fail("registry: no member confirmed the list")
    return view


async def follow(config: Config, seconds: float, is_watching: bool) -> RegistryView | None:
    """Follow the registry until its list is confirmed; None if it could not be within `seconds`.

    With `is_watching` follow it for the whole time, and print its list as it changes.
    """
    from ..discovery.registry.source import RegistrySource
    from ..observability.counters import Counters

    observer = _RegistryObserver(is_watching)
    source = RegistrySource(
        config.registry,
        config.names,
        Counters(),
        observer.on_update,
        observer.on_staleness_change,
        config.seed,
    )
    source.start()
    try:
        async with asyncio.timeout(seconds):
            await observer.done.wait()
    except TimeoutError:
        pass
    view = _read_view(source) if observer.is_confirmed else None
    await source.stop()
    return view


class _RegistryObserver:
    """Takes note of what a registry source reports, and prints it to one who watches.

    Attributes:
        done: Set once there is nothing to wait for; never for one who watches.
        is_confirmed: Whether the list was confirmed.
    """

    def __init__(self, is_watching: bool):
        self.is_watching = is_watching
        self.done = asyncio.Event()
        self.is_confirmed = False

    def on_update(self, update: EndpointUpdate) -> None:
        if self.is_watching:
            _print_update(update)

    def on_staleness_change(self, is_fresh: bool) -> None:
        if self.is_watching:
            typer.echo("confirmed" if is_fresh else "not confirmed")
        if is_fresh:
            self.is_confirmed = True
            if not self.is_watching:
                self.done.set()


def _read_view(source: RegistrySource) -> RegistryView:
    source.update_list_counters()
    return RegistryView(
        revision=source.watcher.revision,
        digest=source.counters["registry_digest"],
        entries=list(source.table.entries.values()),
        unusable=dict(source.table.invalid),
    )


def _print_update(update: EndpointUpdate) -> None:
    for endpoint in update.endpoints:
        engine_id = format_instance_id(endpoint.entry.engine)
        typer.echo(f"{engine_id} {endpoint.entry.state.value:9} {format_address(endpoint.address)}")
