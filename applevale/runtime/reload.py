"""Reload of the configuration on SIGHUP."""

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

# Fields of `Config` that a running process keeps, and the names under which the log has them.
FIXED_FIELDS = {
    "listen": "listen",
    "sockets": "sockets",
    "memory_bytes": "memory",
    "settings": "settings",
    "connection_limits": "links",
    "zones": "zones",
}
# Fields that must be the same, for a configuration of the same instance.
IDENTITY_FIELDS = {"name": "name", "names": "names"}


class ConfigReloader:
    """Takes over a new configuration, or keeps the old one as it is.

    Only where the list of engines comes from, and what is known of it, changes in a running process. The
    other keys take effect at the next start, which a line in the log states.
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
        """Compare new configurations with `config`, the one of the start.

        Args:
            config: The configuration of the start.
            source: Where the list of engines comes from.
            control_feed: Takes what a configuration knows of the list.
            metrics: Counts reloads for operators.
            counters: Counts reloads.
            load: Reads the configuration again.
        """
        self.config = config
        self.source = source
        self.control_feed = control_feed
        self.metrics = metrics
        self.counters = counters
        self.load = load

    def reload(self) -> None:
        """Read the configuration again and apply it; on any error log one line and change nothing."""
        try:
            config = self.load()
            self._check_identity(config)
        except ConfigError as error:
            log_event("reload", f"the old configuration stays: {error}")
            self.metrics.record_reload(False)
            return
        self.counters["reloads"] += 1
        self.metrics.record_reload(True)
        self.apply_known_endpoints(config.known)
        self._move_source(config)
        fixed = self._changed_names(FIXED_FIELDS, config)
        if fixed:
            log_event("reload", f"takes effect at the next start only: {', '.join(fixed)}")

    def apply_known_endpoints(self, known: tuple[EndpointUpdate, ...]) -> None:
        """Apply what a configuration knows of the list, beyond what was applied already."""
        try:
            for change in known:
                self.control_feed.apply(change)
        except FeedError as error:  # a gap: the feed will send what lies in it
            log_event("reload", f"known: {error}")

    def _check_identity(self, config: Config) -> None:
        """Refuse a configuration of another instance, or with other zones and kinds.

        Known engines and the new source refer to zones and kinds by their positions.
        """
        changed = self._changed_names(IDENTITY_FIELDS, config)
        if changed:
            raise ConfigError(f"another one's {', '.join(changed)}")

    def _changed_names(self, fields: Mapping[str, str], config: Config) -> list[str]:
        """Return the log's names of those fields that differ from the configuration of the start."""
        return [
            name for field, name in fields.items() if getattr(config, field) != getattr(self.config, field)
        ]

    def _move_source(self, config: Config) -> None:
        uses_registry = self.config.registry is not None
        if (config.registry is not None) != uses_registry:
            log_event("reload", "takes effect at the next start only: registry")
            return
        try:
            self.source.reconfigure(config.registry if uses_registry else config.feed)
        except ValueError as error:
            log_event("reload", f"the list is followed as before: {error}")
