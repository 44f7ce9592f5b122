"""CPU time of the real program for one request, and its memory at rest, against another checkout.

    python benchmarks/request_cost.py OTHER_CHECKOUT [PAIRS]

Each run starts the program of a checkout with a toy engine and sends REQUESTS small queries over one
connection, OPEN at a time. Runs of the two checkouts take turns. Printed for each run: ms of CPU until it
listens, us of CPU for one request, MB of resident memory before the first request. The machine must have
nothing else to do.
"""

from __future__ import annotations

import json
import os
import secrets
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgpack

from applevale.harness.ports import free_port

ROOT = Path(__file__).parent.parent
REQUESTS = 6000
OPEN = 16
SETTLE_SECONDS = 0.5  # after the start, until the memory is read


@dataclass(frozen=True)
class Cost:
    """What one run cost."""

    start_ms: float
    request_us: float
    memory_mb: float


def cpu_seconds(process: int) -> float:
    """Return the CPU time of a process."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def send_requests(address: tuple[str, int]) -> None:
    """Send all requests, and check that each is completed."""
    unpacker = msgpack.Unpacker()
    sent = answered = 0
    with socket.create_connection(address) as sock:
        while answered < REQUESTS:
            while sent < REQUESTS and sent - answered < OPEN:
                sent += 1
                fields = {"ref": secrets.token_hex(8), "allow": "5000", "effort": "1", "space": "1"}
                sock.sendall(msgpack.packb([0, sent, "lookup", [fields, b"select 1 from air_1.x"]]))
            unpacker.feed(sock.recv(65536))
            for _, _, error, _ in unpacker:
                assert error is None, error
                answered += 1


def measure(checkout: Path) -> Cost:
    """Run the program of a checkout once."""
    engine_port, port = free_port(), free_port()
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config["listen"] = f"127.0.0.1:{port}"
    config["known"]["events"][0]["members"]["instances"][0]["hostPort"] = f"127.0.0.1:{engine_port}"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        toy = [sys.executable, str(ROOT / "examples" / "toy_engine.py"), f"127.0.0.1:{engine_port}"]
        engine = subprocess.Popen(toy)
        program = subprocess.Popen(
            [sys.executable, "-m", "applevale"],
            cwd=checkout,
            env=os.environ | {"BALANCER_CONFIG": str(path), "PYTHONPATH": str(checkout)},
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            assert "listens on" in program.stderr.readline()
            started = cpu_seconds(program.pid)
            time.sleep(SETTLE_SECONDS)
            memory = memory_mb(program.pid)
            before = cpu_seconds(program.pid)
            send_requests(("127.0.0.1", port))
            spent = cpu_seconds(program.pid) - before
        finally:
            for process in (program, engine):
                process.terminate()
                process.wait()
    return Cost(started * 1000, spent / REQUESTS * 1e6, memory)


def main() -> None:
    """Measure pairs, this checkout second."""
    other = Path(sys.argv[1]).resolve()
    pairs = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    for _ in range(pairs):
        for name, checkout in (("other", other), ("this", ROOT)):
            cost = measure(checkout)
            print(
                f"{name:5} start {cost.start_ms:4.0f} ms  request {cost.request_us:4.0f} us  "
                f"memory {cost.memory_mb:5.1f} MB",
                flush=True,
            )


if __name__ == "__main__":
    main()
