"""Hosts many instances of the decision module, which share nothing, on the simulator's wire.

It decides nothing. `python -m applevale.simulator_wire.adapter` serves standard input until it ends.
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
from .units import NANOSECONDS

EXIT_MALFORMED_INPUT = 2


class Adapter:
    """The instances of one process, by their numbers."""

    def __init__(self) -> None:
        """Start without any instance."""
        self.decoder = decoder.Decoder()
        self.controllers: dict[int, AdmissionController] = {}

    def answer(self, clock_ns: int, count: int, body: bytes) -> bytes:
        """Return the reply to a batch. An instance's events go to it together, in their order.

        Raises:
            WireError: A record cannot be read.
        """
        waiting: dict[int, list[api.Event]] = {}
        for instance, event in self.decoder.batch(count, body):
            if isinstance(event, decoder.Boot):
                waiting.pop(instance, None)  # what came before its start is not for it
                settings = read_settings(event.settings)
                self.controllers[instance] = AdmissionController(settings, event.seed)
                waiting[instance] = []
            elif isinstance(event, decoder.Shutdown):
                waiting.pop(instance, None)
                self.controllers.pop(instance, None)
            else:
                waiting.setdefault(instance, []).append(event)
        records: list[bytes] = []
        for instance, events in waiting.items():
            records += self._handle(instance, clock_ns / NANOSECONDS, events)
        return encoder.encode_reply(records)

    def _handle(self, instance: int, now: float, events: list[api.Event]) -> list[bytes]:
        controller = self.controllers.get(instance)
        actions = controller.handle(now, events) if controller is not None else ()
        if not actions:
            return []
        return [encoder.encode_instance(instance), *map(encoder.encode_action, actions)]


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer each batch of `source` on `sink` until the input ends; return the exit code."""
    adapter = Adapter()
    position = 0
    gc.freeze()
    while True:
        head = source.read(layout.BATCH_HEAD.size)
        if not head:
            return 0
        try:
            if len(head) != layout.BATCH_HEAD.size:
                wanted = layout.BATCH_HEAD.size
                raise layout.WireError(f"header: {wanted} bytes expected, {len(head)} came")
            size, clock_ns, count = layout.BATCH_HEAD.unpack(head)
            reply = adapter.answer(clock_ns, count, _read_body(source, size))
        except layout.WireError as error:
            print(f"applevale: malformed input in the batch at byte {position}: {error}", file=sys.stderr)
            return EXIT_MALFORMED_INPUT
        except Exception as error:  # reported on the wire, which ends the run
            traceback.print_exc(file=sys.stderr)
            reply = encoder.encode_reply([encoder.encode_exception(f"{type(error).__name__}: {error}")])
        position += layout.BATCH_HEAD.size + size
        sink.write(reply)
        sink.flush()


def _read_body(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise layout.WireError(f"body: {size} bytes expected, {len(data)} came before the end of input")
    return data


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
