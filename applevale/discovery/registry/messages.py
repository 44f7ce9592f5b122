"""The messages of the etcd v3 API that are used here, with the published names and field numbers."""

from __future__ import annotations

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

_FieldType = descriptor_pb2.FieldDescriptorProto
_SCALAR_TYPES = {
    "int64": _FieldType.TYPE_INT64,
    "uint64": _FieldType.TYPE_UINT64,
    "bool": _FieldType.TYPE_BOOL,
    "bytes": _FieldType.TYPE_BYTES,
    "string": _FieldType.TYPE_STRING,
    "int32": _FieldType.TYPE_INT32,
}

# Number and type of each field. Brackets mark a repeated field. An enum is encoded like an int32.
_MESSAGE_FIELDS: dict[str, dict[str, tuple[int, str]]] = {
    "ResponseHeader": {
        "cluster_id": (1, "uint64"),
        "member_id": (2, "uint64"),
        "revision": (3, "int64"),
        "raft_term": (4, "uint64"),
    },
    "KeyValue": {
        "key": (1, "bytes"),
        "create_revision": (2, "int64"),
        "mod_revision": (3, "int64"),
        "version": (4, "int64"),
        "value": (5, "bytes"),
        "lease": (6, "int64"),
    },
    "Event": {"type": (1, "int32"), "kv": (2, "KeyValue"), "prev_kv": (3, "KeyValue")},
    "RangeRequest": {
        "key": (1, "bytes"),
        "range_end": (2, "bytes"),
        "limit": (3, "int64"),
        "revision": (4, "int64"),
        "serializable": (7, "bool"),
        "keys_only": (8, "bool"),
        "count_only": (9, "bool"),
    },
    "RangeResponse": {
        "header": (1, "ResponseHeader"),
        "kvs": (2, "[KeyValue]"),
        "more": (3, "bool"),
        "count": (4, "int64"),
    },
    "WatchCreateRequest": {
        "key": (1, "bytes"),
        "range_end": (2, "bytes"),
        "start_revision": (3, "int64"),
        "progress_notify": (4, "bool"),
    },
    "WatchCancelRequest": {"watch_id": (1, "int64")},
    "WatchProgressRequest": {},
    "WatchRequest": {
        "create_request": (1, "WatchCreateRequest"),
        "cancel_request": (2, "WatchCancelRequest"),
        "progress_request": (3, "WatchProgressRequest"),
    },
    "WatchResponse": {
        "header": (1, "ResponseHeader"),
        "watch_id": (2, "int64"),
        "created": (3, "bool"),
        "canceled": (4, "bool"),
        "compact_revision": (5, "int64"),
        "cancel_reason": (6, "string"),
        "events": (11, "[Event]"),
    },
    "AuthenticateRequest": {"name": (1, "string"), "password": (2, "string")},
    "AuthenticateResponse": {"header": (1, "ResponseHeader"), "token": (2, "string")},
}
# Values of Event.type.
PUT = 0
DELETE = 1

# Paths of the gRPC methods.
RANGE = "/etcdserverpb.KV/Range"
WATCH = "/etcdserverpb.Watch/Watch"
AUTHENTICATE = "/etcdserverpb.Auth/Authenticate"


def _describe_file() -> descriptor_pb2.FileDescriptorProto:
    file = descriptor_pb2.FileDescriptorProto(name="etcd.proto", package="applevale", syntax="proto3")
    for name, fields in _MESSAGE_FIELDS.items():
        message = file.message_type.add(name=name)
        for field, (number, field_type) in fields.items():
            base_type = field_type.strip("[]")
            entry = message.field.add(
                name=field,
                number=number,
                label=_FieldType.LABEL_REPEATED if field_type.startswith("[") else _FieldType.LABEL_OPTIONAL,
                type=_SCALAR_TYPES.get(base_type, _FieldType.TYPE_MESSAGE),
            )
            if base_type not in _SCALAR_TYPES:
                entry.type_name = f".applevale.{base_type}"
    return file


_POOL = descriptor_pool.DescriptorPool()
_POOL.Add(_describe_file())


def _message_class(name: str) -> type:
    return message_factory.GetMessageClass(_POOL.FindMessageTypeByName(f"applevale.{name}"))


RangeRequest = _message_class("RangeRequest")
RangeResponse = _message_class("RangeResponse")
WatchRequest = _message_class("WatchRequest")
WatchResponse = _message_class("WatchResponse")
WatchCreateRequest = _message_class("WatchCreateRequest")
WatchProgressRequest = _message_class("WatchProgressRequest")
AuthenticateRequest = _message_class("AuthenticateRequest")
AuthenticateResponse = _message_class("AuthenticateResponse")
KeyValue = _message_class("KeyValue")
Event = _message_class("Event")
ResponseHeader = _message_class("ResponseHeader")


def range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that begin with `prefix`."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes([stem[-1] + 1]) if stem else b"\0"
