"""The other parties on the emulated network: partners' endpoints, the platform's agent, and clients.

They speak HTTP/1.1 by httptools, another reading of it than the courier's h11, and note down for the referee
what passed: nothing in those notes comes from inside a courier.
"""

from calicopin.emulator.standins.clients import Clients
from calicopin.emulator.standins.http import MessageParser
from calicopin.emulator.standins.operators import Operator
from calicopin.emulator.standins.partners import Partners
from calicopin.emulator.standins.platform import DiscoveryService, PlatformAgent

__all__ = ["Clients", "Operator", "MessageParser", "Partners", "PlatformAgent", "DiscoveryService"]
