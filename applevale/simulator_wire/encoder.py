"""Encodes actions as records, and records as a reply, for the simulator's wire protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import api
from .layout import (
    ALL_PEERS,
    ATTEMPT_ID,
    ENGINE_ID,
    FLAG,
    INSTANCE_ID,
    MAX_PEER_MESSAGE_BYTES,
    MAX_TEXT_BYTES,
    PEER_MESSAGE_HEAD,
    RECORD_HEAD,
    REJECT,
    REPLY_HEAD,
    REQUEST_ID,
    SEND,
    SET_TIMER,
    TERMS,
    TEXT_HEAD,
    ActionCode,
)
from .units import NANOSECONDS_PER_SECOND


def _encode_record(code: int, fields: bytes = b"") -> bytes:
    return RECORD_HEAD.pack(code, len(fields)) + fields


def _encode_text(code: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return _encode_record(code, TEXT_HEAD.pack(len(data)) + data)


def _to_ns(seconds: float) -> int:
    """Return a duration in nanoseconds; a negative one as 0."""
    return max(0, round(seconds * NANOSECONDS_PER_SECOND))


def encode_instance(instance: int) -> bytes:
    """Return the record that names the instance to which the following records belong."""
    return _encode_record(ActionCode.INSTANCE, INSTANCE_ID.pack(instance))


def encode_exception(text: str) -> bytes:
    """Return the record that reports an unhandled exception."""
    return _encode_text(ActionCode.EXCEPTION, text)


def _encode_send(action: api.Send) -> bytes:
    return _encode_record(
        ActionCode.SEND, SEND.pack(action.request_id, _to_ns(action.timeout), action.engine_id)
    )


def _encode_terms(action: api.SetResources) -> bytes:
    return _encode_record(ActionCode.TERMS, TERMS.pack(action.request_id, action.memory_mb, action.priority))


def _encode_reject(action: api.Reject) -> bytes:
    return _encode_record(ActionCode.REJECT, REJECT.pack(action.request_id, _to_ns(action.retry_after)))


def _encode_fail(action: api.Fail) -> bytes:
    return _encode_record(ActionCode.FAIL, REQUEST_ID.pack(action.request_id))


def _encode_cancel(action: api.Cancel) -> bytes:
    return _encode_record(ActionCode.CANCEL, ATTEMPT_ID.pack(action.request_id, action.attempt_index))


def _encode_probe(action: api.Probe) -> bytes:
    return _encode_record(ActionCode.PROBE, ENGINE_ID.pack(action.engine_id))


def _encode_set_timer(action: api.SetTimer) -> bytes:
    return _encode_record(ActionCode.SET_TIMER, SET_TIMER.pack(_to_ns(action.delay), action.token))


def _encode_log(action: api.Log) -> bytes:
    return _encode_text(ActionCode.LOG, action.text)


def _encode_subscribe(action: api.SubscribeToEngineList) -> bytes:
    return _encode_record(ActionCode.SUBSCRIBE, FLAG.pack(action.active))


def _encode_fetch_list(action: api.FetchEngineList) -> bytes:
    return _encode_record(ActionCode.FETCH_LIST)


def _encode_peer_message(action: api.SendPeerMessage) -> bytes:
    body = action.body[:MAX_PEER_MESSAGE_BYTES]
    recipient_id = ALL_PEERS if action.recipient_id is None else action.recipient_id
    return _encode_record(ActionCode.PEER_MESSAGE, PEER_MESSAGE_HEAD.pack(recipient_id, len(body)) + body)


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    api.Send: _encode_send,
    api.SetResources: _encode_terms,
    api.Reject: _encode_reject,
    api.Fail: _encode_fail,
    api.Cancel: _encode_cancel,
    api.Probe: _encode_probe,
    api.SetTimer: _encode_set_timer,
    api.Log: _encode_log,
    api.SubscribeToEngineList: _encode_subscribe,
    api.FetchEngineList: _encode_fetch_list,
    api.SendPeerMessage: _encode_peer_message,
}


def encode_action(action: api.Action) -> bytes:
    """Return the record of an action.

    Raises:
        TypeError: The object is not an action.
    """
    encode = _ENCODERS.get(type(action))
    if encode is None:
        raise TypeError(f"cannot encode {action!r}: not an action")
    return encode(action)


def encode_reply(records: list[bytes]) -> bytes:
    """Return the reply to one batch."""
    body = b"".join(records)
    return REPLY_HEAD.pack(len(body), len(records)) + body
