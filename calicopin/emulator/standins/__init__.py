"""The other parties on the emulated network: partners' endpoints, the platform's agents, clients and
operators.

They parse HTTP/1.1 with httptools, an implementation independent of the courier's h11, and record for the
referee what they observe; nothing in those records comes from inside a courier.
"""

from calicopin.emulator.standins.clients import Clients
from calicopin.emulator.standins.http import MessageParser
from calicopin.emulator.standins.operators import Operator
from calicopin.emulator.standins.partners import Partners
from calicopin.emulator.standins.platform import DiscoveryService, PlatformAgent

__all__ = ["Clients", "Operator", "MessageParser", "Partners", "PlatformAgent", "DiscoveryService"]
