"""Reads and checks the settings of discovery nodes in the platform's JSON; errors name the key."""

from calicopin.subscription.messages import MAX_NAME_LENGTH

MAX_NODES = 1000
MAX_LIST_AGE_S = 366 * 24 * 3600.0  # one year
DEFAULT_LIST_AGE_S = 24 * 3600.0  # default maximum age of the list in the folder at a start


def parse_subscription(configuration: dict, path: str) -> dict:
    """The fields of a `CourierConfiguration` for subscriptions; raises ValueError with the key of an invalid
    value.
    """
    nodes, fleet = configuration.get("nodes") or [], configuration.get("fleet") or ""
    if not isinstance(nodes, list) or len(nodes) > MAX_NODES:
        raise ValueError(f"{path}: nodes: is not a list of at most {MAX_NODES} addresses")
    for number, node in enumerate(nodes):
        _check_address(node, f"{path}: nodes[{number}]")
        if node in nodes[:number]:
            raise ValueError(f"{path}: nodes[{number}]: {node} is listed twice")
    if not isinstance(fleet, str) or len(fleet) > MAX_NAME_LENGTH:
        raise ValueError(f"{path}: fleet: is not a word of at most {MAX_NAME_LENGTH} characters")
    if bool(nodes) != bool(fleet):
        raise ValueError(
            f"{path}: {'fleet' if nodes else 'nodes'}: is not given; nodes and fleet go together"
        )
    if not nodes:
        return {}
    return {
        "nodes": tuple(nodes),
        "fleet": fleet,
        "max_age": _list_age_ms(configuration.get("list_age", DEFAULT_LIST_AGE_S), path),
    }


def _check_address(node, place: str) -> None:
    from calicopin.lifecycle.start import check_address

    try:
        if not isinstance(node, str):
            raise ValueError("not a string")
        check_address(node)
    except (OSError, ValueError) as fault:
        raise ValueError(f"{place}: {node!r:.60} is not an address like 127.0.0.1:5000: {fault}") from None


def _list_age_ms(seconds, path: str) -> float:
    """The maximum list age in milliseconds."""
    is_number = isinstance(seconds, (int, float)) and not isinstance(seconds, bool)
    if not is_number or not 0 < seconds <= MAX_LIST_AGE_S:
        raise ValueError(
            f"{path}: list_age: {seconds!r:.40} is not a number of seconds over 0 and up to a year"
        )
    return seconds * 1000.0
