"""What changes from one configuration to the next, and when it takes hold: with SIGHUP, or only with a
restart.
"""

import msgspec

AT_ONCE = (
    "courier.agent",
    "courier.notices",
    "courier.nodes",
    "courier.descriptors",
    "courier.disk",
    "partner",
    "partners_file",
    "kind[].answers",
)


def flat(value, key=""):
    """Plain keys and their values."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flat(inner, f"{key}.{name}" if key else name)
    elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
        for number, inner in enumerate(value):
            label = inner.get("name", number)
            yield from flat(inner, f"{key}[{label}]")
    else:
        yield key, value


def whole(sheet):
    """Every key with its value, defaults too."""

    def plain(part):
        if isinstance(part, msgspec.Struct):
            return {
                field.name: plain(getattr(part, field.name)) for field in msgspec.structs.fields(type(part))
            }
        return [plain(one) for one in part] if isinstance(part, list) else part

    return dict(flat(plain(sheet)))


def at_once(key):
    """Whether a running courier takes the key up at SIGHUP."""
    bare = "".join(
        part.split("]", 1)[-1] if number else part
        for number, part in enumerate(key.replace("[", "\0[").split("\0"))
    )
    marked = key[: key.find("[")] + "[]" + key[key.find("]") + 1 :] if "[" in key else key
    return any(
        bare == name or bare.startswith(f"{name}.") or key.startswith(f"{name}[") or marked == name
        for name in AT_ONCE
    )


def changes(old, new):
    """(key, before, after, "SIGHUP" or "restart") of every key that differs; None stands for a key that is
    not there.
    """
    before, after = whole(old), whole(new)
    return [
        (key, before.get(key), after.get(key), "SIGHUP" if at_once(key) else "restart")
        for key in dict.fromkeys([*before, *after])
        if before.get(key) != after.get(key)
    ]
