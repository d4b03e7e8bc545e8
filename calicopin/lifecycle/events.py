"""Log records as JSON: one object a line, with a stable event name and figures as fields.

Names stand in `docs/events.md`.
"""

import json
import re
from datetime import timezone

DECIDED = re.compile(
    r"destination (?P<destination>\d+)(?: route (?P<route>\d+))? "
    r"(?P<what>paced|cut|out|cold|well|doubted|trusted)\b"
)


def fields(told):
    """A record's fields; the decisions' own lines tell theirs in words."""
    out = dict(told)
    match = DECIDED.match(out["line"]) if out.get("event") == "decided" else None
    if match:
        out["event"] = f"destination.{match['what']}"
        out |= {name: int(match[name]) for name in ("destination", "route") if match[name] is not None}
    return out


def line(name, record):
    """One record as JSON: time (UTC, ISO 8601), level, courier, event, message, then its own fields and a
    fault.
    """
    told = fields(record["extra"])
    out = {
        "time": record["time"].astimezone(timezone.utc).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "courier": name,
        "event": told.pop("event", "other"),
        "message": record["message"],
    }
    out |= {key: value for key, value in told.items() if key not in out}
    if record["exception"] is not None:
        out["exception"] = repr(record["exception"].value)
    return json.dumps(out, default=str, ensure_ascii=False)
