"""The adapter: hosts many instances that share nothing on the simulator's wire. It decides nothing."""

from __future__ import annotations

import gc
import sys
import traceback

from . import wire
from .policy import AdmissionController


def _read(stream, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise wire.WireError(f"{what}: {size} bytes expected, {len(data)} came before the end of input")
    return data


def answer(
    decoder: wire.Decoder, controllers: dict[int, AdmissionController], clock: int, count: int, body: bytes
) -> bytes:
    """One batch in, one reply out. An instance's events go to it together, in their order."""
    waiting: dict[int, list] = {}
    records: list[bytes] = []
    now = clock / wire.NS

    def run(instance: int) -> None:
        events = waiting.pop(instance, None)
        if events is not None and instance in controllers:
            actions = controllers[instance].handle(now, events)
            if actions:
                records.append(wire.context(instance))
                records.extend(wire.action(item) for item in actions)

    for instance, event in decoder.batch(count, body):
        if isinstance(event, wire.Boot):
            waiting.pop(instance, None)
            controllers[instance] = AdmissionController(wire.settings(event.settings), event.seed)
            waiting[instance] = []
        elif isinstance(event, wire.Down):
            waiting.pop(instance, None)
            controllers.pop(instance, None)
        else:
            waiting.setdefault(instance, []).append(event)
    for instance in list(waiting):
        run(instance)
    return wire.reply(records)


def serve(source, sink) -> int:
    decoder, controllers, at = wire.Decoder(), {}, 0
    gc.freeze()
    while True:
        head = source.read(wire.HEAD.size)
        if not head:
            return 0
        try:
            if len(head) != wire.HEAD.size:
                raise wire.WireError(f"header: {wire.HEAD.size} bytes expected, {len(head)} came")
            size, clock, count = wire.HEAD.unpack(head)
            data = answer(decoder, controllers, clock, count, _read(source, size, "body"))
        except wire.WireError as error:
            print(f"applevale: malformed input in the batch at byte {at}: {error}", file=sys.stderr)
            return 2
        except Exception as error:  # reported on the wire, then the day is over
            traceback.print_exc(file=sys.stderr)
            data = wire.reply([wire.exception(f"{type(error).__name__}: {error}")])
        at += wire.HEAD.size + size
        sink.write(data)
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
