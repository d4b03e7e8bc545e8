"""What changes from one configuration to the next, and when it takes effect: on SIGHUP, or only after a
restart.
"""

import msgspec

RELOADABLE_KEYS = (
    "courier.agent",
    "courier.notices",
    "courier.nodes",
    "courier.descriptors",
    "courier.disk",
    "partner",
    "partners_file",
    "kind[].answers",
)


def flatten(value, key=""):
    """Yields (flat key, value) pairs; entries of a list of tables go by their name, else by their index."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{key}.{name}" if key else name)
    elif isinstance(value, list) and value and all(isinstance(entry, dict) for entry in value):
        for index, inner in enumerate(value):
            label = inner.get("name", index)
            yield from flatten(inner, f"{key}[{label}]")
    else:
        yield key, value


def all_values(configuration):
    """Every flat key with its value, including defaults."""

    def to_plain(value):
        if isinstance(value, msgspec.Struct):
            return {
                field.name: to_plain(getattr(value, field.name))
                for field in msgspec.structs.fields(type(value))
            }
        return [to_plain(entry) for entry in value] if isinstance(value, list) else value

    return dict(flatten(to_plain(configuration)))


def is_reloadable(key):
    """Whether a running courier applies the key on SIGHUP."""
    without_indices = "".join(
        part.split("]", 1)[-1] if index else part
        for index, part in enumerate(key.replace("[", "\0[").split("\0"))
    )
    first_list_marked = key[: key.find("[")] + "[]" + key[key.find("]") + 1 :] if "[" in key else key
    return any(
        without_indices == name
        or without_indices.startswith(f"{name}.")
        or key.startswith(f"{name}[")
        or first_list_marked == name
        for name in RELOADABLE_KEYS
    )


def changes(old, new):
    """(key, before, after, "SIGHUP" or "restart") of every key that differs; None stands for a missing
    key.
    """
    before, after = all_values(old), all_values(new)
    return [
        (key, before.get(key), after.get(key), "SIGHUP" if is_reloadable(key) else "restart")
        for key in dict.fromkeys([*before, *after])
        if before.get(key) != after.get(key)
    ]
