"""The status of a running discovery node, for operators."""

import os
import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from calicopin.discovery_node.upstream import Upstream

if TYPE_CHECKING:
    from calicopin.discovery_node.server import NodeServer


def resident_bytes() -> int:
    """The resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def status_of(server: "NodeServer") -> dict:
    """The fields of the status document."""
    source, catalogue = server.source, server.source.catalogue
    stats = asdict(catalogue.stats()) if catalogue else {}
    return {
        "node": server.table.node,
        "fleet": server.table.fleet,
        "ready": server.is_ready(),
        "version": server.table.version,
        "leases": len(server.table),
        "subscriptions": server.table.subscriptions,
        "connections": len(server.connections),
        "parked": len(server.parked),
        **stats,
        "answers": server.answers,
        "destinations_changed": server.destinations_changed,
        "changes_told": server.changes_told,
        "leases_looked_at": server.table.examined_leases,
        "refused": {reason.value: count for reason, count in sorted(server.refused.items())},
        "source": {
            "file": source.path,
            "offset": source.offset,
            "read_at": None if source.read_at is None else source.read_at / 1000.0,
            "loads": source.loads,
            "lines_passed_over": source.faults,
        },
        **_upstream_status(server.upstream),
        "cpu_seconds": time.process_time(),
        "resident_bytes": resident_bytes(),
    }


def _upstream_status(upstream: Upstream | None) -> dict:
    if upstream is None:
        return {}
    heard_at = None if upstream.heard_at is None else upstream.heard_at / 1000.0
    return {"upstream": {"address": upstream.address, "heard_at": heard_at, "copies": upstream.copies}}
