"""Layout of the simulator's wire: records, their codes and their fixed fields, all little-endian.

A batch is a head, then records; a record is its code, its size and its fields.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from .. import api

BATCH_HEAD = struct.Struct("<IQI")  # size, clock, number of records
RECORD_HEAD = struct.Struct("<BI")  # code, size
REPLY_HEAD = struct.Struct("<II")  # size, number of records
REQUEST = struct.Struct("<QHIQQQffH")
OUTCOME = struct.Struct("<QBIHQBI")
NOTE = struct.Struct("<QIBfB")
PROBE_RESULT = struct.Struct("<IHQ")
LIST_PAGE_HEAD = struct.Struct("<II")  # number of the page, number of its entries
LIST_ENTRY = struct.Struct("<HQBHfHI")
LIST_CHANGE = struct.Struct("<BQI")  # kind, revision, page
REQUEST_ID = struct.Struct("<Q")
ATTEMPT_ID = struct.Struct("<QB")
STARTED = struct.Struct("<QBI")
INSTANCE_ID = struct.Struct("<H")
ENGINE_ID = struct.Struct("<I")
SEND = struct.Struct("<QQI")
TERMS = struct.Struct("<QfB")
TWO_NUMBERS = struct.Struct("<QQ")
PEER_MESSAGE_HEAD = struct.Struct("<IH")
FLAG = struct.Struct("<B")
TEXT_HEAD = struct.Struct("<H")

ALL_PEERS = 0xFFFFFFFF
MAX_TEXT_BYTES = 1000
MAX_PEER_MESSAGE_BYTES = 256

HAS_WORK_ESTIMATE = 1  # bits of a request's options
IS_CLIENT_RETRY = 2
LIST_CALL_FAILED = 1  # kinds of a list change
WHOLE_LIST_KINDS = (0, 2)
# An outcome's note: the work in ms above the lowest 12 bits, the memory in units of 4 MB in them.
WORK_SHIFT = 12
MEMORY_MASK = 0xFFF
MEMORY_UNIT_MB = 4.0
MS_PER_SECOND = 1000

RESULTS = {
    100: api.Result.OK,
    301: api.Result.ERROR,
    302: api.Result.FULL,
    303: api.Result.TIMEOUT,
    304: api.Result.CONNECT_FAILED,
    305: api.Result.RESET,
    306: api.Result.CANCELLED,
    307: api.Result.MOOT,
}
STATES = {0: api.State.DRAINING, 2: api.State.READY, 3: api.State.GONE}
NOTE_KINDS = {kind.value for kind in api.NoteKind}


class EventCode(IntEnum):
    """Codes of records in a batch."""

    BOOT = 10
    LIST_CHANGE = 20
    REQUEST = 30
    STARTED = 40
    OUTCOME = 50
    CLIENT_GONE = 60
    TIMER = 70
    PROBE_RESULT = 80
    PEER_MESSAGE = 90
    SHUTDOWN = 100
    NOTE = 110
    LIST_PAGE = 120
    INSTANCE = 130


class ActionCode(IntEnum):
    """Codes of records in a reply."""

    SEND = 10
    REJECT = 20
    FAIL = 30
    CANCEL = 40
    SET_TIMER = 50
    PROBE = 60
    PEER_MESSAGE = 80
    LOG = 90
    EXCEPTION = 100
    SUBSCRIBE = 110
    FETCH_LIST = 120
    TERMS = 130
    INSTANCE = 140


class WireError(ValueError):
    """A frame or record that cannot be read; the text says what and where."""
