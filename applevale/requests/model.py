"""Client requests and responses, independent of the protocol that carries them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


def never_gone() -> bool:
    """Return False: the default of `Request.is_client_gone`, for clients without a connection."""
    return False


@dataclass(frozen=True, eq=False)
class Request:
    """A client's request. Requests are compared by identity.

    Attributes:
        request_id: Id chosen by the client; engines recognize a repeated request by it.
        class_index: Index of the request's class in the settings.
        statement: The text to execute.
        received_at: Time at which it was read, by the driver's clock.
        timeout: How long the client waits, in seconds from `received_at`.
        tenant_index: Index of the tenant in the settings.
        order_key: Requests with the same key are executed in order of arrival; 0 for no order.
        estimated_work: The client's estimate of the work in core-seconds; 0 for none.
        estimated_memory_mb: The client's estimate of the memory in MB; 0 for none.
        table_group: Number in the schema names of the tables that the statement uses; 0 for none.
        is_client_retry: Whether the client marked the request as a retry.
        is_order_unknown: Whether it may have arrived before an earlier-read request with the same key.
        is_client_gone: Returns whether the client has hung up, even if the end of the stream is unread.
        idempotency_key: Engines recognize a repeated request by it in place of the id; empty for none.
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
    is_order_unknown: bool = False
    is_client_gone: Callable[[], bool] = never_gone
    idempotency_key: str = ""


@dataclass(frozen=True)
class Completed:
    """The request was executed.

    Attributes:
        rows: The result as the engine sent it, all pages joined.
    """

    rows: bytes


@dataclass(frozen=True)
class Rejected:
    """The request was not executed, or may safely be executed twice; the client may send it again.

    Attributes:
        retry_after: Seconds after which the client should retry; 0 for no advice.
    """

    retry_after: float


@dataclass(frozen=True)
class Failed:
    """The request failed, or was possibly executed and its result is lost."""


Response = Completed | Rejected | Failed
