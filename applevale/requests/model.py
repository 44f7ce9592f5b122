"""A client's request and its response, independent of the protocol that carries them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


def client_is_present() -> bool:
    """Serve as `Request.is_client_gone` for a client whose connection is not observed."""
    return False


@dataclass(frozen=True, eq=False)
class Request:
    """A client's request; two requests are equal only if they are the same object.

    Attributes:
        request_id: The id that the client chose; engines recognize a repeated request by it.
        class_index: Index of the request's class in the settings.
        statement: The text to execute.
        received_at: When it was read, by the driver's clock.
        timeout: Seconds from `received_at` for which the client waits.
        tenant_index: Index of the tenant in the settings.
        order_key: Requests of one key are executed in their order of arrival; 0: no order.
        estimated_work: Estimated seconds on one core; 0: none was given.
        estimated_memory_mb: Estimated memory; 0: none was given.
        table_group: Number of the group of tables that the statement uses; 0: none.
        is_client_retry: Whether the client says that it sends the request again.
        order_unknown: Whether it may have arrived before an earlier read request of its key.
        is_client_gone: Returns whether the client has hung up, even if that is not read yet.
        idempotency_key: Engines recognize a repetition by it, whatever its id; empty: by the id.
    """

    request_id: bytes
    class_index: int
    statement: bytes
    received_at: float
    timeout: float
    tenant_index: int = 0
    order_key: int = 0
    estimated_work: float = 0.0
    estimated_memory_mb: float = 0.0
    table_group: float = 0.0
    is_client_retry: bool = False
    order_unknown: bool = False
    is_client_gone: Callable[[], bool] = client_is_present
    idempotency_key: str = ""


@dataclass(frozen=True)
class Completed:
    """The request was executed.

    Attributes:
        rows: The result, as the engine sent it.
    """

    rows: bytes


@dataclass(frozen=True)
class Rejected:
    """The request was not executed for lack of capacity, and may be sent again.

    Attributes:
        retry_after: Seconds after which the client should retry; 0: no advice.
    """

    retry_after: float


@dataclass(frozen=True)
class Failed:
    """The request failed, or may have been executed without a result."""


Response = Completed | Rejected | Failed
