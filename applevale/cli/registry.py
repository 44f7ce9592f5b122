"""`applevale registry`: inspects the registry that a configuration names."""

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
from .exit_codes import exit_with_result, fail

if TYPE_CHECKING:
    from ..discovery.endpoints import EndpointUpdate
    from ..discovery.registry.endpoint_table import TableEntry
    from ..discovery.registry.source import RegistrySource

VERIFY_HELP = (
    "Check every record, and print the revision and digest of the engine list, to compare with the counters "
    "of an instance. The exit code is 1 if a record is invalid."
)

registry = typer.Typer(no_args_is_help=True, help="Inspect the registry that a configuration names.")


@dataclass(frozen=True)
class RegistryView:
    """The engine list in a registry.

    Attributes:
        revision: Revision of the registry up to which the list is complete.
        digest: The digest of the list.
        entries: The valid records.
        errors: The errors of invalid records, by key.
    """

    revision: int
    digest: int
    entries: list[TableEntry]
    errors: dict[str, str]


@registry.command()
def watch(path: ConfigPath, seconds: Seconds = 60.0) -> None:
    """Print changes of the engine list, and of whether it is confirmed, as they occur."""
    _fetch_view(path, seconds, is_watching=True)


@registry.command()
def dump(path: ConfigPath, seconds: Seconds = 5.0) -> None:
    """Print the engine list as JSON lines: key, revision, id, state, address."""
    view = _fetch_view(path, seconds)
    for entry in sorted(view.entries, key=lambda entry: entry.key):
        record = {
            "key": entry.key,
            "revision": entry.revision,
            "id": format_instance_id(entry.endpoint.entry.engine_id),
            "state": entry.endpoint.entry.state.value,
            "address": format_address(entry.endpoint.address),
        }
        typer.echo(json.dumps(record))


@registry.command(help=VERIFY_HELP)
def verify(path: ConfigPath, seconds: Seconds = 5.0) -> None:
    """Check every record of the registry, and print the revision and digest of the engine list."""
    view = _fetch_view(path, seconds)
    for key, reason in sorted(view.errors.items()):
        typer.echo(f"{key}: {reason}")
    typer.echo(
        f"revision {view.revision}, digest {view.digest}, {len(view.entries)} engines, "
        f"{len(view.errors)} invalid records"
    )
    exit_with_result(not view.errors)


def _fetch_view(path: str, seconds: float, is_watching: bool = False) -> RegistryView:
    """Return the engine list in the registry; exit with code 2 if no registry member confirmed it."""
    config = read_config(path)
    if config.registry is None:
        fail("registry: missing; a configuration with a registry is needed")
    view = asyncio.run(follow(config, seconds, is_watching))
    if view is None:
        fail("registry: no member confirmed the list")
    return view


async def follow(config: Config, seconds: float, is_watching: bool) -> RegistryView | None:
    """Follow the registry until its engine list is confirmed, and return the list.

    Args:
        config: A configuration with a registry.
        seconds: How long to wait for the list.
        is_watching: Whether to follow the registry for the whole time, and to print changes.

    Returns:
        The engine list, or None if it was not confirmed in time.
    """
    from ..discovery.registry.source import RegistrySource
    from ..observability.counters import Counters

    observer = _RegistryObserver(is_watching)
    source = RegistrySource(
        config.registry,
        config.attribute_names,
        Counters(),
        observer.on_update,
        observer.on_freshness_change,
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
    """Receives the updates of a registry source.

    Attributes:
        is_watching: Whether to print each update, and to continue until the time is up.
        done: Set when the list is confirmed, unless `is_watching`.
        is_confirmed: Whether the list was confirmed at least once.
    """

    def __init__(self, is_watching: bool):
        self.is_watching = is_watching
        self.done = asyncio.Event()
        self.is_confirmed = False

    def on_update(self, update: EndpointUpdate) -> None:
        if self.is_watching:
            _print_update(update)

    def on_freshness_change(self, is_fresh: bool) -> None:
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
        errors=dict(source.table.invalid_reasons),
    )


def _print_update(update: EndpointUpdate) -> None:
    for endpoint in update.endpoints:
        engine_id = format_instance_id(endpoint.entry.engine_id)
        typer.echo(f"{engine_id} {endpoint.entry.state.value:9} {format_address(endpoint.address)}")
