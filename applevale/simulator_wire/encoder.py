"""Encoder of the simulator's wire: actions to records, and records to a reply. It decides nothing."""

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
    REPLY_HEAD,
    REQUEST_ID,
    SEND,
    TERMS,
    TEXT_HEAD,
    TWO_NUMBERS,
    ActionCode,
)
from .units import NANOSECONDS


def _record(code: int, fields: bytes = b"") -> bytes:
    return RECORD_HEAD.pack(code, len(fields)) + fields


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return _record(code, TEXT_HEAD.pack(len(data)) + data)


def _to_ns(seconds: float) -> int:
    return max(0, round(seconds * NANOSECONDS))


def encode_instance(instance: int) -> bytes:
    """Return the record that names the instance of those behind it."""
    return _record(ActionCode.INSTANCE, INSTANCE_ID.pack(instance))


def encode_exception(text: str) -> bytes:
    """Return the record that reports a fault of an instance."""
    return _text(ActionCode.EXCEPTION, text)


def _encode_send(action: api.Send) -> bytes:
    return _record(ActionCode.SEND, SEND.pack(action.request, _to_ns(action.timeout), action.engine))


def _encode_terms(action: api.Terms) -> bytes:
    return _record(ActionCode.TERMS, TERMS.pack(action.request, action.memory_mb, action.priority))


def _encode_reject(action: api.Reject) -> bytes:
    return _record(ActionCode.REJECT, TWO_NUMBERS.pack(action.request, _to_ns(action.retry_after)))


def _encode_fail(action: api.Fail) -> bytes:
    return _record(ActionCode.FAIL, REQUEST_ID.pack(action.request))


def _encode_cancel(action: api.Cancel) -> bytes:
    return _record(ActionCode.CANCEL, ATTEMPT_ID.pack(action.request, action.attempt))


def _encode_probe(action: api.Probe) -> bytes:
    return _record(ActionCode.PROBE, ENGINE_ID.pack(action.engine))


def _encode_set_timer(action: api.SetTimer) -> bytes:
    return _record(ActionCode.SET_TIMER, TWO_NUMBERS.pack(_to_ns(action.after), action.token))


def _encode_log(action: api.Log) -> bytes:
    return _text(ActionCode.LOG, action.text)


def _encode_subscribe(action: api.Subscribe) -> bytes:
    return _record(ActionCode.SUBSCRIBE, FLAG.pack(action.active))


def _encode_fetch_list(action: api.FetchList) -> bytes:
    return _record(ActionCode.FETCH_LIST)


def _encode_peer_message(action: api.SendPeerMessage) -> bytes:
    body = action.body[:MAX_PEER_MESSAGE_BYTES]
    receiver = ALL_PEERS if action.peer is None else action.peer
    return _record(ActionCode.PEER_MESSAGE, PEER_MESSAGE_HEAD.pack(receiver, len(body)) + body)


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    api.Send: _encode_send,
    api.Terms: _encode_terms,
    api.Reject: _encode_reject,
    api.Fail: _encode_fail,
    api.Cancel: _encode_cancel,
    api.Probe: _encode_probe,
    api.SetTimer: _encode_set_timer,
    api.Log: _encode_log,
    api.Subscribe: _encode_subscribe,
    api.FetchList: _encode_fetch_list,
    api.SendPeerMessage: _encode_peer_message,
}


def encode_action(action: api.Action) -> bytes:
    """Return the record of an action.

    Raises:
        TypeError: It is none.
    """
    encode = _ENCODERS.get(type(action))
    if encode is None:
        raise TypeError(f"not an action: {action!r}")
    return encode(action)


def encode_reply(records: list[bytes]) -> bytes:
    """Return the reply to one batch."""
    body = b"".join(records)
    return REPLY_HEAD.pack(len(body), len(records)) + body
