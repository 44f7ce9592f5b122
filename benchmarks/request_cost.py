"""CPU time of the real program for one request, and its memory at rest, against another checkout.

    python benchmarks/request_cost.py OTHER_CHECKOUT [PAIRS]

Each run starts the program of a checkout with a toy engine and sends REQUEST_COUNT small requests over one
connection, MAX_OPEN_REQUESTS at a time. Runs of the two checkouts take turns. Printed for each run: ms of CPU
until it listens, us of CPU for one request, MB of resident memory before the first request. The machine must
have nothing else to do.
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
REQUEST_COUNT = 6000
DEFAULT_PAIRS = 3
MAX_OPEN_REQUESTS = 16
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
    sent = 0
    answered = 0
    with socket.create_connection(address) as sock:
        while answered < REQUEST_COUNT:
            while sent < REQUEST_COUNT and sent - answered < MAX_OPEN_REQUESTS:
                sent += 1
                fields = {"ref": secrets.token_hex(8), "allow": "5000", "effort": "1", "space": "1"}
                sock.sendall(msgpack.packb([0, sent, "lookup", [fields, b"select 1 from air_1.x"]]))
            unpacker.feed(sock.recv(65536))
            for _, _, error, _ in unpacker:
                assert error is None, error
                answered += 1


def write_config(path: Path, port: int, engine_port: int) -> None:
    """Write the example's configuration with these ports of the program and of its engine."""
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config["listen"] = f"127.0.0.1:{port}"
    config["known"]["events"][0]["members"]["instances"][0]["hostPort"] = f"127.0.0.1:{engine_port}"
    path.write_text(json.dumps(config))


def start_engine(port: int) -> subprocess.Popen:
    """Start the toy engine."""
    return subprocess.Popen([sys.executable, str(ROOT / "examples" / "toy_engine.py"), f"127.0.0.1:{port}"])


def start_program(checkout: Path, config: Path) -> subprocess.Popen:
    """Start the program of a checkout."""
    return subprocess.Popen(
        [sys.executable, "-m", "applevale"],
        cwd=checkout,
        env=os.environ | {"BALANCER_CONFIG": str(config), "PYTHONPATH": str(checkout)},
        stderr=subprocess.PIPE,
        text=True,
    )


def measure(checkout: Path) -> Cost:
    """Run the program of a checkout once."""
    engine_port = free_port()
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        write_config(config, port, engine_port)
        engine = start_engine(engine_port)
        program = start_program(checkout, config)
        try:
            assert "listens on" in program.stderr.readline()
            return measure_requests(program.pid, ("127.0.0.1", port))
        finally:
            for process in (program, engine):
                process.terminate()
                process.wait()


def measure_requests(process: int, address: tuple[str, int]) -> Cost:
    """Return the cost of a process that has just begun to listen, and of the requests sent to it."""
    start_seconds = cpu_seconds(process)
    time.sleep(SETTLE_SECONDS)
    memory = memory_mb(process)
    before = cpu_seconds(process)
    send_requests(address)
    request_seconds = cpu_seconds(process) - before
    return Cost(start_seconds * 1000, request_seconds / REQUEST_COUNT * 1e6, memory)


def main() -> None:
    """Measure pairs, this checkout second."""
    path, *options = sys.argv[1:]
    other = Path(path).resolve()
    pairs = int(options[0]) if options else DEFAULT_PAIRS
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
