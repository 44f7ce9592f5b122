"""Reload of the configuration at a SIGHUP."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..admin.metrics import Metrics
from ..config.loader import load_config
from ..config.model import Config, ConfigError
from ..discovery.control_feed import ControlFeed
from ..discovery.endpoints import EndpointSource, EndpointUpdate
from ..discovery.feed_codec import FeedError
from ..observability.counters import Counters
from ..observability.events import log_event

# Fields of `Config` that take effect only at the start of a process, and how log lines name them.
START_ONLY_FIELDS = {
    "listen_address": "listen",
    "max_descriptors": "limits.sockets",
    "memory_bytes": "limits.memory_mb",
    "settings": "settings",
    "connection_limits": "settings of connections to engines",
    "zones": "zones_file",
}
# Fields of `Config` that must not change, because they identify the instance, and how log lines name them.
IDENTITY_FIELDS = {"name": "name", "attribute_names": "zones or kinds"}


class ConfigReloader:
    """Applies a new configuration to the running process, or rejects it as a whole.

    Only the source of the engine list and its known updates change in a running process. A log line names
    changed keys that take effect at the next start.
    """

    def __init__(
        self,
        config: Config,
        source: EndpointSource,
        control_feed: ControlFeed,
        *,
        metrics: Metrics,
        counters: Counters,
        load: Callable[[], Config] = load_config,
    ):
        """Create a reloader.

        Args:
            config: The configuration with which the process was started.
            source: The source of the engine list.
            control_feed: Publishes the known updates of a configuration.
            metrics: Counts successful and failed reloads.
            counters: Counts successful reloads.
            load: Reads the new configuration.
        """
        self.config = config
        self.source = source
        self.control_feed = control_feed
        self.metrics = metrics
        self.counters = counters
        self.load = load

    def reload(self) -> None:
        """Read the configuration again and apply it; log an invalid one and change nothing."""
        try:
            config = self.load()
            self._check_identity(config)
        except ConfigError as error:
            log_event("reload", f"the old configuration stays: {error}")
            self.metrics.record_reload(False)
            return
        self.counters["reloads"] += 1
        self.metrics.record_reload(True)
        self.apply_known_endpoints(config.known_updates)
        self._reconfigure_source(config)
        pending = self._changed_names(START_ONLY_FIELDS, config)
        if pending:
            log_event("reload", f"takes effect at the next start only: {', '.join(pending)}")

    def apply_known_endpoints(self, known: tuple[EndpointUpdate, ...]) -> None:
        """Apply the known updates of the engine list that were not applied before."""
        try:
            for update in known:
                self.control_feed.apply(update)
        except FeedError as error:  # updates in between are missing; the control feed will send them
            log_event("reload", f"known: {error}")

    def _check_identity(self, config: Config) -> None:
        """Reject a configuration of another instance, or one with other zones or machine kinds.

        The engines listed so far and the updates to come refer to zones and kinds by index.

        Raises:
            ConfigError: A field that must not change has changed.
        """
        changed = self._changed_names(IDENTITY_FIELDS, config)
        if changed:
            raise ConfigError(
                f"{', '.join(changed)}: must not change in a running process; a restart is needed"
            )

    def _changed_names(self, fields: Mapping[str, str], config: Config) -> list[str]:
        """Return the names in log lines of fields that differ from the configuration at the start."""
        return [
            name for field, name in fields.items() if getattr(config, field) != getattr(self.config, field)
        ]

    def _reconfigure_source(self, config: Config) -> None:
        """Switch the engine list to the registry or the control feed of a new configuration."""
        uses_registry = self.config.registry is not None
        if (config.registry is not None) != uses_registry:
            log_event("reload", "takes effect at the next start only: registry")
            return
        try:
            self.source.reconfigure(config.registry if uses_registry else config.feed_address)
        except ValueError as error:
            log_event("reload", f"the source of the engine list stays as before: {error}")
