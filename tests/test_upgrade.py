"""An upgrade in place: a second process on the same clients' address, and the first one leaving."""

import os
import re
import signal
import subprocess
import sys

from test_node import EXAMPLE, ROOT, Client, Node


def beside(tmp_path, node, text):
    """A second `run` on the address of `node`, as the platform starts it for an upgrade."""
    path = tmp_path / "second.json"
    path.write_text(text)
    env = os.environ | {"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "{}:{}".format(*node.address)}
    command = [sys.executable, "-m", "applevale"]
    process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    assert re.search(r"listens on", process.stderr.readline())
    return process


def test_a_second_process_binds_the_same_address_and_serves_when_the_first_has_left(tmp_path):
    node = Node(tmp_path)
    port = node.engine.server_address[1]
    second = beside(tmp_path, node, EXAMPLE.replace(":7101", f":{port}"))
    try:
        held = Client(node)  # a request in flight on the old process when it is told to go
        held.ask(1, "lookup", "1" * 16, "select * from air_1.x limit 3")
        node.process.send_signal(signal.SIGTERM)
        assert held.read()[2] is None
        assert node.process.wait(15) == 0
        for at in range(20):  # the old one has closed its listener: every new connection is the second's
            client = Client(node)
            client.ask(1, "lookup", f"{at + 2:016x}", "select * from air_1.x limit 1")
            assert client.read()[2] is None
    finally:
        second.send_signal(signal.SIGTERM)
        assert second.wait(15) == 0
        node.engine.shutdown()
        node.engine.server_close()
