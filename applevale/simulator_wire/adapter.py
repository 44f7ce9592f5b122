"""Connects instances of the decision module, which share no state, to a simulator.

The adapter passes events and actions on and makes no decisions itself. The command
`python -m applevale.simulator_wire.adapter` reads batches from standard input and writes replies to standard
output until the input ends.
"""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from .. import api
from ..policy import AdmissionController
from . import decoder, encoder, layout
from .settings import read_settings
from .units import NANOSECONDS_PER_SECOND

EXIT_MALFORMED_INPUT = 2


class Adapter:
    """Runs the instances of the decision module in one process.

    Attributes:
        controllers: The decision module of each running instance, by instance number.
    """

    def __init__(self) -> None:
        """Create an adapter without instances."""
        self.decoder = decoder.Decoder()
        self.controllers: dict[int, AdmissionController] = {}

    def handle_batch(self, clock_ns: int, count: int, body: bytes) -> bytes:
        """Pass each instance its events of a batch, together and in order, and return the reply.

        Raises:
            WireError: A record is malformed.
        """
        pending_events: dict[int, list[api.Event]] = {}
        for instance, event in self.decoder.decode_batch(count, body):
            if isinstance(event, decoder.Boot):
                pending_events.pop(instance, None)  # events before the start are dropped
                settings = read_settings(event.settings)
                self.controllers[instance] = AdmissionController(settings, event.seed)
                pending_events[instance] = []
            elif isinstance(event, decoder.Shutdown):
                pending_events.pop(instance, None)
                self.controllers.pop(instance, None)
            else:
                pending_events.setdefault(instance, []).append(event)
        records: list[bytes] = []
        for instance, events in pending_events.items():
            records += self._handle(instance, clock_ns / NANOSECONDS_PER_SECOND, events)
        return encoder.encode_reply(records)

    def _handle(self, instance: int, now: float, events: list[api.Event]) -> list[bytes]:
        controller = self.controllers.get(instance)
        actions = controller.handle(now, events) if controller is not None else ()
        if not actions:
            return []
        return [encoder.encode_instance(instance), *map(encoder.encode_action, actions)]


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Write a reply to `sink` for each batch of `source` until the input ends; return the exit code."""
    adapter = Adapter()
    batch_offset = 0
    gc.freeze()
    while True:
        head = source.read(layout.BATCH_HEAD.size)
        if not head:
            return 0
        try:
            if len(head) != layout.BATCH_HEAD.size:
                expected = layout.BATCH_HEAD.size
                raise layout.WireError(f"header: {expected} bytes expected, {len(head)} received")
            size, clock_ns, count = layout.BATCH_HEAD.unpack(head)
            reply = adapter.handle_batch(clock_ns, count, _read_body(source, size))
        except layout.WireError as error:
            print(f"applevale: malformed input in the batch at byte {batch_offset}: {error}", file=sys.stderr)
            return EXIT_MALFORMED_INPUT
        except Exception as error:  # the simulator ends the run at the reported exception
            traceback.print_exc(file=sys.stderr)
            reply = encoder.encode_reply([encoder.encode_exception(f"{type(error).__name__}: {error}")])
        batch_offset += layout.BATCH_HEAD.size + size
        sink.write(reply)
        sink.flush()


def _read_body(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise layout.WireError(f"body: {size} bytes expected, {len(data)} received before the end of input")
    return data


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
