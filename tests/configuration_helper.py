"""Shared by tests of operators' files: a valid file, changes to it, and couriers started from it."""

import os
import subprocess
import sys

from helper import Clock, Rebooted

from calicopin.configuration import check
from calicopin.configuration.read import UnusableError, read
from calicopin.lifecycle.start import build, posted
from calicopin.wire.loop import Loop

BASE = """version = 1
zones = ["a", "b"]

[courier]
name = "desk"
listen = "127.0.0.1:5000"
state = "state"
slots = 10
held = 50
descriptors = 200
disk = "1MB"

[[product]]
name = "order"
repeat = "referenced"
sla = "4s"
validity = "24s"
memory = "15s"

[[product]]
name = "stock"
repeat = "resendable"
sla = "1.5s"
validity = "5s"
kinds = ["gateway"]

[[kind]]
name = "gateway"
bundle = 10
answers = "300ms"

[[kind]]
name = "shop"
answers = "800ms"

[[partner]]
name = "first"
destination = 1
kind = "gateway"
limit = 4.0

[[partner.endpoint]]
address = "127.0.0.1:6001"
zone = "a"

[[partner.endpoint]]
address = "127.0.0.1:6002"
zone = "b"

[[partner]]
name = "corner"
destination = 2
kind = "shop"

[[partner.endpoint]]
address = "127.0.0.1:6003"
"""


def base_with(old, new):
    assert BASE.count(old) >= 1, old
    return BASE.replace(old, new, 1)


def findings(path):
    try:
        return check.examine(read(str(path)))[0]
    except UnusableError as error:
        return error.findings


class SilentSignalReader:
    """A signal reader that receives no signal."""

    STOP_SIGNALS = ()

    def __init__(self):
        self.fd, self.write_end = os.pipe()

    def take_pending(self):
        return set()

    def close(self):
        os.close(self.fd)
        os.close(self.write_end)


def start(path, loop=None):
    """(runtime, loop, signal reader) of a courier that is started from a file in this process."""
    loop, signal_reader = loop or Loop(now=Clock(), system=Rebooted()), SilentSignalReader()
    post = posted({"LB_CONFIG": str(path)})
    os.makedirs(post.folder, exist_ok=True)
    return (
        build(post, loop, signal_reader, lambda: posted({"LB_CONFIG": str(path)}, renewed=True)),
        loop,
        signal_reader,
    )


def run_calicopin(*arguments, **options):
    env = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "CALICOPIN_"))}
    return subprocess.run(
        [sys.executable, "-m", "calicopin", *arguments],
        capture_output=True,
        text=True,
        env=env,
        timeout=60,
        **options,
    )
