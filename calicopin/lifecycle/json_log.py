"""Log records as JSON: one object per line, with a stable event name and the values as fields.

The names are listed in `docs/events.md`.
"""

import json
import re
from datetime import timezone

DECISION_LINE = re.compile(
    r"destination (?P<destination>\d+)(?: route (?P<route>\d+))? "
    r"(?P<what>paced|cut|out|cold|well|doubted|trusted)\b"
)


def event_fields(extra):
    """The fields of a record; those of a line of the decisions are parsed from its text."""
    record_fields = dict(extra)
    match = DECISION_LINE.match(record_fields["line"]) if record_fields.get("event") == "decided" else None
    if match:
        record_fields["event"] = f"destination.{match['what']}"
        record_fields |= {
            name: int(match[name]) for name in ("destination", "route") if match[name] is not None
        }
    return record_fields


def format_record(courier, record):
    """One record as JSON: time (UTC, ISO 8601), level, courier, event, message, then the record's own fields
    and an exception.
    """
    extra = event_fields(record["extra"])
    record_fields = {
        "time": record["time"].astimezone(timezone.utc).isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "courier": courier,
        "event": extra.pop("event", "other"),
        "message": record["message"],
    }
    record_fields |= {key: value for key, value in extra.items() if key not in record_fields}
    if record["exception"] is not None:
        record_fields["exception"] = repr(record["exception"].value)
    return json.dumps(record_fields, default=str, ensure_ascii=False)
