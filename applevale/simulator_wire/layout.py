"""Layout of the simulator's wire protocol: record codes and fixed fields, all little-endian.

A batch is a header followed by records. A record is a code, the size of its fields, and the fields. All
sizes are in bytes. The functions of the decoder and the encoder name the fields of each record.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from .. import api

BATCH_HEAD = struct.Struct("<IQI")  # body size in bytes, clock in ns, number of records
RECORD_HEAD = struct.Struct("<BI")  # code, size of the fields in bytes
REPLY_HEAD = struct.Struct("<II")  # body size in bytes, number of records
REQUEST = struct.Struct("<QHIQQQffH")
OUTCOME = struct.Struct("<QBIHQBI")
NOTE = struct.Struct("<QIBfB")
PROBE_RESULT = struct.Struct("<IHQ")
LIST_PAGE_HEAD = struct.Struct("<II")  # page number, number of entries
LIST_ENTRY = struct.Struct("<HQBHfHI")
LIST_CHANGE = struct.Struct("<BQI")  # kind, revision, page number
REQUEST_ID = struct.Struct("<Q")
TIMER_TOKEN = struct.Struct("<Q")
SEED = struct.Struct("<Q")
SETTINGS_SIZE = struct.Struct("<I")
ATTEMPT_ID = struct.Struct("<QB")
STARTED = struct.Struct("<QBI")
INSTANCE_ID = struct.Struct("<H")
ENGINE_ID = struct.Struct("<I")
PEER_ID = struct.Struct("<I")
PEER_MESSAGE_SIZE = struct.Struct("<H")
SEND = struct.Struct("<QQI")
TERMS = struct.Struct("<QfB")
REJECT = struct.Struct("<QQ")  # request, retry delay in ns
SET_TIMER = struct.Struct("<QQ")  # delay in ns, token
PEER_MESSAGE_HEAD = struct.Struct("<IH")  # receiver, size of the body in bytes
FLAG = struct.Struct("<B")
TEXT_HEAD = struct.Struct("<H")

ALL_PEERS = 0xFFFFFFFF  # receiver of a message to every peer
MAX_TEXT_BYTES = 1000
MAX_PEER_MESSAGE_BYTES = 256

# Bits of a request's options.
HAS_WORK_ESTIMATE = 1
IS_CLIENT_RETRY = 2

# Kinds of a list change.
LIST_CALL_FAILED = 1
WHOLE_LIST_KINDS = (0, 2)

# The note of an outcome has the memory in units of 4 MB in its lowest 12 bits, and the work in ms above them.
WORK_SHIFT = 12
MEMORY_MASK = 0xFFF
MEMORY_UNIT_MB = 4.0
MS_PER_SECOND = 1000

RESULTS = {
    100: api.Result.OK,
    301: api.Result.ERROR,
    302: api.Result.REJECTED,
    303: api.Result.TIMEOUT,
    304: api.Result.CONNECT_FAILED,
    305: api.Result.RESET,
    306: api.Result.CANCELLED,
    307: api.Result.WITHDRAWN,
}
STATES = {0: api.EngineState.DRAINING, 2: api.EngineState.READY, 3: api.EngineState.GONE}
NOTE_KINDS = {kind.value for kind in api.AttemptUpdateKind}


class EventCode(IntEnum):
    """Codes of the records in a batch."""

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
    """Codes of the records in a reply."""

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
    """A batch or record is malformed; the message names the place and the fault."""
