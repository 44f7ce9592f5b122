"""CPU time per request and idle memory of the real program, compared with another checkout.

    python benchmarks/request_cost.py OTHER_CHECKOUT [PAIRS]

Each run starts the program of a checkout with a toy engine and sends REQUEST_COUNT small requests over one
connection, with at most MAX_OPEN_REQUESTS open at a time. Runs of the two checkouts alternate. Each run
prints the CPU time until the program listens, the CPU time per request and the resident memory before the
first request. The machine must be otherwise idle.
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
DEFAULT_PAIR_COUNT = 3
MAX_OPEN_REQUESTS = 16
READ_SIZE_BYTES = 65536
SETTLE_SECONDS = 0.5  # from the start until the memory is read


@dataclass(frozen=True)
class Cost:
    """The result of one run.

    Attributes:
        start_ms: CPU time until the program listened, in milliseconds.
        request_us: CPU time per request, in microseconds.
        memory_mb: Resident memory before the first request, in MiB.
    """

    start_ms: float
    request_us: float
    memory_mb: float


def cpu_seconds(process_id: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process_id: int) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def send_requests(address: tuple[str, int]) -> None:
    """Send all requests and check that each is answered without an error."""
    unpacker = msgpack.Unpacker()
    sent = 0
    answered = 0
    with socket.create_connection(address) as sock:
        while answered < REQUEST_COUNT:
            while sent < REQUEST_COUNT and sent - answered < MAX_OPEN_REQUESTS:
                sent += 1
                fields = {"ref": secrets.token_hex(8), "allow": "5000", "effort": "1", "space": "1"}
                sock.sendall(msgpack.packb([0, sent, "lookup", [fields, b"select 1 from air_1.x"]]))
            unpacker.feed(sock.recv(READ_SIZE_BYTES))
            for _, _, error, _ in unpacker:
                assert error is None, error
                answered += 1


def write_config(path: Path, port: int, engine_port: int) -> None:
    """Write the example configuration with the given ports of the program and its engine."""
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config["listen"] = f"127.0.0.1:{port}"
    config["known"]["events"][0]["members"]["instances"][0]["hostPort"] = f"127.0.0.1:{engine_port}"
    path.write_text(json.dumps(config))


def start_engine(port: int) -> subprocess.Popen:
    """Start the toy engine of this checkout."""
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
    """Run the program of a checkout once, and return its cost."""
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


def measure_requests(process_id: int, address: tuple[str, int]) -> Cost:
    """Send all requests to a process that has just started to listen, and return its cost."""
    start_seconds = cpu_seconds(process_id)
    time.sleep(SETTLE_SECONDS)
    idle_memory_mb = memory_mb(process_id)
    cpu_before = cpu_seconds(process_id)
    send_requests(address)
    request_seconds = cpu_seconds(process_id) - cpu_before
    return Cost(start_seconds * 1000, request_seconds / REQUEST_COUNT * 1e6, idle_memory_mb)


def main() -> None:
    """Measure the two checkouts in turn, the other one first in each pair."""
    other_path, *options = sys.argv[1:]
    other = Path(other_path).resolve()
    pair_count = int(options[0]) if options else DEFAULT_PAIR_COUNT
    for _ in range(pair_count):
        for name, checkout in (("other", other), ("this", ROOT)):
            cost = measure(checkout)
            print(
                f"{name:5} start {cost.start_ms:4.0f} ms  request {cost.request_us:4.0f} us  "
                f"memory {cost.memory_mb:5.1f} MB",
                flush=True,
            )


if __name__ == "__main__":
    main()
