"""What the decisions know, as plain values and back: exactly as it was, so that two processes never add up
to more than one courier. No I/O, and nothing here decides anything. Times are milliseconds of the
machine's monotonic clock, which both share.
"""

from dataclasses import asdict

from calicopin import decisions, route_state
from calicopin.facade import Call, Place
from calicopin.interface import Taken
from calicopin.route_state import read_fields, write_fields
from calicopin.state.texts import Text

FORM = 1  # of these values; another is not taken
# Fields on the wire between two builds, with the attribute that holds each.
DESTINATION = {"most": "max_bundle", "bundle": "bundle_size", "came": "arrivals", "load": "arrival_rate"}
CALL = {"timeout": "timeout", "told": "told", "waited": "waited"}
ENDPOINT = {"misses": "misses", "seen": "last_listed_at", "shy": "retry_at"}


# Giving.


def written(facade, calls):
    """All that the decisions behind `facade` know, with the calls that are out; JSON holds it."""
    module, endpoints, texts = facade.module, facade.endpoints.ident, {}
    registry = module.registry
    held = {text.number: text for text in facade.texts.values()}
    for call in calls:
        held |= {text.number: text for text in call.texts}
    for number, text in held.items():
        known = registry.texts.get(number)
        if known is not None:
            texts[text.ident] = dict(taken=known.accepted_at, over=known.over)
    ghosts = [
        asdict(text) | {"body": ""}
        for call in calls
        for text in call.texts
        if text.number not in facade.texts
    ]
    dests = []
    for ident, number in facade.dests.index.items():
        dest = module.dests.get(number)
        told = dict(ident=ident)
        if dest is not None:
            told |= read_fields(dest, DESTINATION) | dict(
                routes=[
                    route_state.values(route)
                    | dict(
                        endpoint=None if place is None else endpoints.get(place),
                        sends=list(route.call_times),
                        firsts=list(route.first_attempt_times),
                    )
                    for place, route in dest.routes.items()
                ]
            )
        dests.append(told)
    known = [
        dict(
            ident=endpoints[number],
            dest=facade.dests.ident[endpoint.dest.ident],
            zone=facade.zones.ident.get(endpoint.zone, ""),
            misses=endpoint.misses,
            missed=[endpoint.failures_by_product[product] for product in module.products],
            shy=endpoint.retry_at,
            kind=module.kinds.index(endpoint.kind),
            seen=module.departures.last_listed(endpoint),
            apart=endpoint.route is not endpoint.dest.routes.get(None),
        )
        for number, endpoint in module.endpoints.items()
        if number in endpoints
    ]
    named = {id(known): held[number].ident for number, known in registry.texts.items() if number in held}
    return dict(
        form=FORM,
        places=[asdict(place) for place in facade.places.values()],
        dests=dests,
        endpoints=known,
        texts=texts,
        ghosts=ghosts,
        crowded=[kind.last_unreached_at for kind in module.kinds],
        reaped=[[kind.last_stale_at, kind.idle_limit] for kind in module.kinds],
        calm=registry.settled_at,
        rests=[[key, until, named.get(id(text))] for key, (until, text) in registry.settling.items()],
        calls=[out(facade, call) for call in calls],
        due=[],
    )  # due: an older version of the same form reads it


def out(facade, call):
    """One call that is out."""
    module = facade.module
    known = next(
        (
            text.call
            for one in call.texts
            if (text := module.registry.texts.get(one.number)) is not None and text.call
        ),
        None,
    )
    patient = known is not None and known.endpoint.route.patient_call is known
    return read_fields(call, CALL) | dict(
        place=asdict(call.place),
        texts=[text.ident for text in call.texts],
        open=[text.ident for text in call.texts if text.number in call.open],
        cut=call.timeout,
        sent=known.sent_at if known else 0.0,
        size=known.size if known else len(call.texts),
        mode=known.last_outcome if known else None,
        patient=patient,
    )


# Taking.


def read(facade, told, texts, now):
    """Puts it into a new facade.

    `texts` are those that its journal holds, in the order in which they were taken on. Returns the calls that
    are out.
    """
    module, scheduler = facade.module, facade.module.scheduler
    for one in told["dests"]:
        facade.dests(one["ident"])
    facade.listed([Place(**place) for place in told["places"]], True)
    facade.tick(now)
    module.registry.settled_at = told["calm"]
    for one in told["dests"]:
        destination(facade, one)
    for one in told["endpoints"]:
        endpoint(facade, one)
    # an older version of the same form lacks these two
    for kind, crowded in zip(module.kinds, told.get("crowded", []), strict=False):
        kind.last_unreached_at = crowded
    for kind, (reaped, trust) in zip(module.kinds, told.get("reaped", []), strict=False):
        kind.last_stale_at, kind.idle_limit = reaped, trust
    by_ident = {}
    for text in [*texts, *(Text(**ghost | {"body": b""}) for ghost in told["ghosts"])]:
        text.number, facade.next_number = facade.next_number, facade.next_number + 1
        by_ident[text.ident] = text
    ghosts = {ghost["ident"] for ghost in told["ghosts"]}
    flying = {ident for call in told["calls"] for ident in call["open"]}
    order = sorted(by_ident.values(), key=lambda text: told["texts"].get(text.ident, {}).get("taken", now))
    for text in order:
        if text.ident in ghosts and text.ident not in flying:
            continue  # it has ended; only its call is still known
        if text.ident not in ghosts:
            facade.texts[text.number] = text
        enter(
            facade, text, told["texts"].get(text.ident, {}), text.ident in flying, text.ident in ghosts, now
        )
    known = module.registry.texts
    for key, until, ident in told["rests"]:
        text = by_ident.get(ident)
        module.registry.settling[key] = (until, known.get(text.number) if text else object())
        scheduler.later(until, module.registry, "key_settled", key)
    calls = [under_way(facade, one, by_ident) for one in told["calls"]]
    module.departures.append(
        endpoint for endpoint in module.endpoints.values() if endpoint.ident not in endpoint.dest.endpoints
    )
    facade.listed([], False)  # no news: the first turn empties the inboxes
    for dest in module.dests.values():
        if not dest.idle() and dest not in module.live:
            module.live[dest] = None
            scheduler.post(dest, "maintain", module.maintenance_runs)
    return calls


def destination(facade, one):
    """Puts what was told of a destination and its routes into the decisions."""
    dest = facade.module.dest(facade.dests(one["ident"]))
    write_fields(dest, DESTINATION, one)
    for told in one.get("routes", ()):
        if told["endpoint"] is not None and told["endpoint"] not in facade.endpoints.index:
            continue  # it has left, and its route with it
        route = facade.module.route(
            dest, None if told["endpoint"] is None else facade.endpoints(told["endpoint"])
        )
        route_state.set_values(route, told)
        route.mark_changed()
        route.call_times.extend(told["sends"])
        route.first_attempt_times.extend(told.get("firsts", told["sends"]))  # an older version tells none


def endpoint(facade, one):
    """Health is kept also of one that is not listed just now and may soon be back."""
    module, number = facade.module, facade.endpoints(one["ident"])
    if number not in module.endpoints:
        dest = module.dest(facade.dests(one["dest"]))
        route = module.route(dest, number if one["apart"] else None)
        kind = module.kinds[min(one.get("kind", 0), len(module.kinds) - 1)]
        module.endpoints[number] = decisions.Endpoint(
            module.scheduler, number, facade.zones(one["zone"]), dest, route, kind
        )
    write_fields(module.endpoints[number], ENDPOINT, one)
    missed = zip(module.products, one.get("missed", []), strict=False)
    module.endpoints[number].failures_by_product.update(missed)


def enter(facade, text, told, flying, ghost, now):
    """One text, in its line or out."""
    module, dest = facade.module, facade.module.dest(facade.dests(text.dest))
    zone = None if text.ran_zone is None else facade.zones(text.ran_zone)
    event = Taken(
        text.number,
        dest.ident,
        text.product,
        text.until,
        text.key,
        tries=text.tries,
        ran_at=text.ran_at,
        ran_zone=zone,
    )
    known = decisions.Text(event, dest, module.products[text.product], told.get("taken", now))
    known.over = ghost or told.get("over", False)
    module.registry.texts[text.number] = known
    if known.key is not None:
        module.registry.keys.setdefault(known.key, decisions.deque()).append(known)
    if not flying:
        dest.queue.append(known)
        module.scheduler.later(
            min(known.until - 2 * module.settings.tick, known.last_submit()), module.registry, "lapse", known
        )


def under_way(facade, one, by_ident):
    """One call that is out, for the decisions and for whoever hears its answer."""
    module, place = facade.module, Place(**one["place"])
    number = facade.endpoints(place.ident)
    if number not in module.endpoints:
        endpoint(facade, dict(ident=place.ident, dest=place.dest, zone=place.zone, apart=False))
    target = module.endpoints[number]
    texts = [by_ident[ident] for ident in one["texts"]]
    call = Call(place, texts, one["timeout"], number, open={by_ident[ident].number for ident in one["open"]})
    write_fields(call, CALL, one)
    if call.open:
        known = decisions.Call(target, one["sent"], len(call.open))
        known.size, known.last_outcome = one["size"], one["mode"]
        target.calls.append(known)
        module.pool.free, target.dest.held = module.pool.free - 1, target.dest.held + 1
        if one["patient"]:
            target.route.patient_call = known
        for text in call.open:
            module.registry.texts[text].call = known
    return call
