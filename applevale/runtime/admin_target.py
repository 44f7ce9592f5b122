"""The operations of the admin API on a running instance."""

from __future__ import annotations

from collections.abc import Callable

from ..admin.metrics import Metrics
from ..server.listener import RpcServer
from .ejection_control import EjectionControl


class InstanceAdminTarget:
    """Implements `admin.routes.AdminTarget` with the components of a running instance."""

    def __init__(
        self,
        server: RpcServer,
        metrics: Metrics,
        ejection_control: EjectionControl,
        on_readiness_change: Callable[[], None],
    ):
        """Create a target.

        Args:
            server: Has the readiness and the drain state.
            metrics: The metrics to report.
            ejection_control: Ejects engines.
            on_readiness_change: Called after a drain has begun or ended.
        """
        self._server = server
        self._metrics = metrics
        self._ejection_control = ejection_control
        self._on_readiness_change = on_readiness_change

    def is_ready(self) -> bool:
        """Return whether the instance is ready for new clients."""
        return self._server.is_ready

    def metrics_snapshot(self) -> dict:
        """Return a snapshot of the metrics."""
        return self._metrics.snapshot()

    def disable_engine(self, host: str) -> bool:
        """Eject an engine; return False if it was never listed."""
        return self._ejection_control.set_ejected(host, True)

    def enable_engine(self, host: str) -> bool:
        """End the ejection of an engine; return False if it was never listed."""
        return self._ejection_control.set_ejected(host, False)

    def drain(self) -> None:
        """Begin a drain."""
        self._server.drain()
        self._on_readiness_change()

    def undrain(self) -> None:
        """End a drain."""
        self._server.undrain()
        self._on_readiness_change()
