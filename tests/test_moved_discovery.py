"""A discovery address that a reload moved is kept by every later process. Real processes on loopback."""

import signal
import socket

import pytest
from platform_helper import Platform, address_of, serve

from calicopin.discovery_address import DiscoveryAddress
from calicopin.handover.channel import Channel, HandoverSocket

CHAINS = {
    "two new versions": "move signal upgrade upgrade",
    "three new versions": "move signal upgrade upgrade upgrade",
    "SIGKILL and start": "move signal kill",
    "SIGTERM and start": "move signal terminate",
    "a new version, SIGKILL and start": "move signal upgrade kill",
    "SIGTERM and start, two new versions": "move signal terminate upgrade upgrade",
    "a successor killed behind its yes": "move signal kill-successor",
    "a successor of a successor killed behind its yes": "move signal upgrade kill-successor",
    "a successor gone before its yes": "move signal lose-successor upgrade upgrade",
    "two moves": "move signal move signal upgrade upgrade kill",
    "a move between two new versions": "upgrade move signal upgrade upgrade",
    "SIGKILL before the signal was read": "move kill upgrade",
    "a signal to the retired process": "move signal-retired upgrade",
    "an address that cannot be used": "move signal name-nonsense kill upgrade",
}


class MovablePlatform(Platform):
    """A platform whose discovery moves: each address but the newest refuses connections."""

    def __init__(self, folder):
        super().__init__(folder)
        self.variable = address_of(self.agent_listener)
        self.courier = self.up(self.launch())

    def launch(self):
        return self.start(LB_DISCOVERY=self.variable)

    def move(self):
        """Discovery moves, and the configuration file names the new address; the old one is closed."""
        self.agent_listener.shutdown(socket.SHUT_RDWR)
        self.agent_listener.close()
        for sock in self.agent_connections:
            sock.shutdown(socket.SHUT_RDWR)
        self.agent_connections.clear()
        self.agent_listener = socket.create_server(("127.0.0.1", 0))
        serve(self.agent_listener, self.serve_agent)
        self.write_configuration(discovery=address_of(self.agent_listener))

    def name_nonsense(self):
        """The configuration file names no address: a reload refuses it, and a start goes on as before."""
        self.write_configuration(discovery="nowhere")
        self.courier.send_signal(signal.SIGHUP)
        self.until(lambda: any("nothing changes" in line for line in self.courier.lines))

    def signal(self):
        self.courier.send_signal(signal.SIGHUP)
        self.until(lambda: any("SIGHUP: discovery at" in line for line in self.courier.lines))
        self.courier.lines.clear()

    def upgrade(self):
        old, self.courier = self.courier, self.up(self.launch())
        old.send_signal(signal.SIGTERM)
        assert old.wait(10.0) == 0

    def kill(self):
        self.courier.kill()
        self.courier.wait()
        self.courier = self.up(self.launch())

    def terminate(self):
        self.courier.send_signal(signal.SIGTERM)
        assert self.courier.wait(10.0) == 0
        self.courier = self.up(self.launch())

    def kill_successor(self):
        """The process that handed over serves again, as a new process under its own number."""
        successor = self.up(self.launch())
        successor.kill()
        successor.wait()
        self.up(self.courier)

    def lose_successor(self):
        """A successor dies once it has the state and before it is ready."""
        folder = str(self.folder / "state")
        sock = HandoverSocket(str(self.folder / "tmp"), folder).connect()
        sock.sendall(b"calicopin 1\n")
        Channel(sock, 5.0).receive()
        sock.close()
        self.up(self.courier)

    def signal_retired(self):
        """The signal goes to a process that has handed over already."""
        retired, self.courier = self.courier, self.up(self.launch_before_move())
        retired.send_signal(signal.SIGHUP)
        self.until(lambda: any("SIGHUP: discovery at" in line for line in self.courier.lines))
        retired.send_signal(signal.SIGTERM)
        assert retired.wait(10.0) == 0

    def launch_before_move(self):
        """A successor that was started with the file as it was before discovery moved."""
        moved = self.configuration["discovery"]
        self.write_configuration(discovery=self.variable)
        successor = self.up(self.launch())
        self.write_configuration(discovery=moved)
        return successor


@pytest.mark.parametrize("chain", CHAINS.values(), ids=CHAINS)
def test_notices_and_requests_for_the_list_go_to_the_address_discovery_moved_to(tmp_path, chain):
    """After a second new version or a restart, no notice of an undelivered message arrived (issue 61)."""
    platform = MovablePlatform(tmp_path)
    try:
        for step in chain.split():
            getattr(platform, step.replace("-", "_"))()
        assert platform.post("hold-late", left=0.5) == 202
        platform.until(lambda: [notice["ref"] for notice in platform.notices] == ["hold-late"], patience=8.0)
        heard = platform.list_requests
        platform.until(lambda: platform.list_requests > heard, patience=8.0)
    finally:
        platform.release.set()
        platform.end()


def test_the_address_outlives_a_restart_on_the_segmented_store(tmp_path):
    """The record of the address was to be found in the newest segment only (issue 61)."""
    platform = MovablePlatform(tmp_path)
    try:
        platform.write_configuration(store="segments")
        platform.terminate()
        for step in ("move", "signal", "kill", "upgrade", "kill"):
            getattr(platform, step)()
        assert platform.post("hold-late", left=0.5) == 202
        platform.until(lambda: [notice["ref"] for notice in platform.notices] == ["hold-late"], patience=8.0)
    finally:
        platform.release.set()
        platform.end()


@pytest.mark.parametrize(
    "previous, told, in_force",
    [
        (None, DiscoveryAddress("a:1", "b:1"), "a:1"),
        (None, DiscoveryAddress("", "b:1"), "b:1"),
        (DiscoveryAddress("a:1", "b:1"), DiscoveryAddress("a:1", "b:1"), "a:1"),
        (DiscoveryAddress("a:1", "b:1", True), DiscoveryAddress("a:1", "b:1"), "b:1"),
        (DiscoveryAddress("a:1", "b:1", True), DiscoveryAddress("a:1", "c:1"), "c:1"),
        (DiscoveryAddress("a:1", "a:1"), DiscoveryAddress("a:1", "b:1"), "b:1"),
        (DiscoveryAddress("a:1", "b:1", True), DiscoveryAddress("c:1", "b:1"), "c:1"),
        (DiscoveryAddress("a:1", "b:1", True), DiscoveryAddress("b:1", "b:1"), "b:1"),
        (DiscoveryAddress("a:1", "b:1", True), DiscoveryAddress("a:1", ""), "a:1"),
    ],
)
def test_the_address_told_last_is_in_force(previous, told, in_force):
    """Which of variable and file is the newer one (issue 61)."""
    assert told.following(previous).in_force == in_force
