"""What operators' calls act on: readiness, metrics, manual ejections and the drain state."""

from __future__ import annotations

from collections.abc import Callable

from ..admin.metrics import Metrics
from ..server.listener import RpcServer
from .ejection_control import EjectionControl


class OperatorTarget:
    """The target of the operators' calls (`admin.routes.AdminTarget`) in a running instance."""

    def __init__(
        self,
        server: RpcServer,
        metrics: Metrics,
        ejection_control: EjectionControl,
        on_readiness_change: Callable[[], None],
    ):
        """Act on these parts; `on_readiness_change` is called after a drain has begun or ended."""
        self._server = server
        self._metrics = metrics
        self._ejection_control = ejection_control
        self._on_readiness_change = on_readiness_change

    def is_ready(self) -> bool:
        """Return whether new clients are accepted."""
        return self._server.is_ready

    def metrics_snapshot(self) -> dict:
        """Return the metrics as one snapshot."""
        return self._metrics.snapshot()

    def disable_engine(self, host: str) -> bool:
        """Eject an engine; return False for an id that was never listed."""
        return self._ejection_control.set_ejected(host, True)

    def enable_engine(self, host: str) -> bool:
        """Let an engine back in; return False for an id that was never listed."""
        return self._ejection_control.set_ejected(host, False)

    def drain(self) -> None:
        """Begin a drain."""
        self._server.drain()
        self._on_readiness_change()

    def undrain(self) -> None:
        """End a drain."""
        self._server.undrain()
        self._on_readiness_change()
