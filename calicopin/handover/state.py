"""The state of the decisions as plain values, and back, for a handover to another process.

It is restored exactly, so that two processes together never send more than one courier may. No I/O, and
nothing here decides anything. Times are milliseconds of the machine's monotonic clock, which both processes
share.
"""

from dataclasses import asdict

from calicopin import decisions, route_state
from calicopin.facade import Call, Place
from calicopin.interface import Taken
from calicopin.route_state import read_fields, write_fields
from calicopin.state.texts import Text

FORM = 1  # version of the written state; any other is refused
# Fields on the wire between two builds, with the attribute that holds each.
DESTINATION = {"most": "max_bundle", "bundle": "bundle_size", "came": "arrivals", "load": "arrival_rate"}
CALL = {"timeout": "timeout", "told": "told", "waited": "waited"}
ENDPOINT = {"misses": "consecutive_failures", "seen": "last_listed_at", "shy": "retry_at"}


# Writing.


def snapshot(facade, calls):
    """The state of the decisions behind `facade`, with the calls in flight, in values that JSON can hold."""
    module, endpoints, texts = facade.decisions, facade.endpoints.ident, {}
    registry = module.registry
    held = {text.number: text for text in facade.texts.values()}
    for call in calls:
        held |= {text.number: text for text in call.texts}
    for number, text in held.items():
        known = registry.texts.get(number)
        if known is not None:
            texts[text.ident] = dict(taken=known.accepted_at, over=known.finished)
    ended = [
        asdict(text) | {"body": ""}
        for call in calls
        for text in call.texts
        if text.number not in facade.texts
    ]
    dests = []
    for ident, number in facade.dests.index.items():
        dest = module.dests.get(number)
        state = dict(ident=ident)
        if dest is not None:
            state |= read_fields(dest, DESTINATION) | dict(
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
        dests.append(state)
    known = [
        dict(
            ident=endpoints[number],
            dest=facade.dests.ident[endpoint.dest.ident],
            zone=facade.zones.ident.get(endpoint.zone, ""),
            misses=endpoint.consecutive_failures,
            missed=[endpoint.failures_by_product[product] for product in module.products],
            shy=endpoint.retry_at,
            kind=module.kinds.index(endpoint.kind),
            seen=module.departures.last_listed(endpoint),
            apart=endpoint.route is not endpoint.dest.routes.get(None),
        )
        for number, endpoint in module.endpoints.items()
        if facade.endpoints.index.get(endpoints.get(number)) == number  # not one whose id has moved on
    ]
    named = {id(known): held[number].ident for number, known in registry.texts.items() if number in held}
    return dict(
        form=FORM,
        places=[asdict(place) for place in facade.places.values()],
        dests=dests,
        endpoints=known,
        texts=texts,
        ghosts=ended,
        crowded=[kind.last_unreached_at for kind in module.kinds],
        reaped=[[kind.last_stale_at, kind.idle_limit] for kind in module.kinds],
        calm=registry.settled_at,
        rests=[[key, until, named.get(id(text))] for key, (until, text) in registry.settling.items()],
        calls=[call_state(facade, call) for call in calls],
        due=[],
    )  # `due`: an older version of the same form reads it


def call_state(facade, call):
    """One call in flight."""
    module = facade.decisions
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


# Reading.


def restore(facade, state, texts, now):
    """Restores the state into a new facade; `texts` are those in its journal, in the order in which they were
    accepted. Returns the calls in flight.
    """
    module, scheduler = facade.decisions, facade.decisions.scheduler
    for one in state["dests"]:
        facade.dests(one["ident"])
    facade.update_list([Place(**place) for place in state["places"]], True)
    facade.tick(now)
    module.registry.settled_at = state["calm"]
    for one in state["dests"]:
        restore_destination(facade, one)
    for one in state["endpoints"]:
        restore_endpoint(facade, one)
    # an older version of the same form does not send these two
    for kind, crowded in zip(module.kinds, state.get("crowded", []), strict=False):
        kind.last_unreached_at = crowded
    for kind, (reaped, trust) in zip(module.kinds, state.get("reaped", []), strict=False):
        kind.last_stale_at, kind.idle_limit = reaped, trust
    by_ident = {}
    for text in [*texts, *(Text(**values | {"body": b""}) for values in state["ghosts"])]:
        text.number, facade.next_number = facade.next_number, facade.next_number + 1
        by_ident[text.ident] = text
    ended = {values["ident"] for values in state["ghosts"]}
    in_flight = {ident for call in state["calls"] for ident in call["open"]}
    order = sorted(by_ident.values(), key=lambda text: state["texts"].get(text.ident, {}).get("taken", now))
    for text in order:
        if text.ident in ended and text.ident not in in_flight:
            continue  # it has ended; only its call still names it
        if text.ident not in ended:
            facade.texts[text.number] = text
        restore_text(
            facade,
            text,
            state["texts"].get(text.ident, {}),
            text.ident in in_flight,
            text.ident in ended,
            now,
        )
    known = module.registry.texts
    for key, until, ident in state["rests"]:
        text = by_ident.get(ident)
        module.registry.settling[key] = (until, known.get(text.number) if text else object())
        scheduler.schedule(until, module.registry, "key_settled", key)
    calls = [restore_call(facade, one, by_ident) for one in state["calls"]]
    module.departures.append(
        endpoint for endpoint in module.endpoints.values() if endpoint.ident not in endpoint.dest.endpoints
    )
    facade.update_list([], False)  # an empty change of the list, so that the next batch delivers all messages
    for dest in module.dests.values():
        if not dest.idle() and dest not in module.active:
            module.active[dest] = None
            scheduler.post(dest, "maintain", module.maintenance_runs)
    return calls


def restore_destination(facade, one):
    """Restores a destination and its routes."""
    dest = facade.decisions.dest(facade.dests(one["ident"]))
    write_fields(dest, DESTINATION, one)
    for state in one.get("routes", ()):
        if state["endpoint"] is not None and state["endpoint"] not in facade.endpoints.index:
            continue  # it has left the list, and its route with it
        route = facade.decisions.route(
            dest, None if state["endpoint"] is None else facade.endpoints(state["endpoint"])
        )
        route_state.set_values(route, state)
        route.mark_changed()
        route.call_times.extend(state["sends"])
        route.first_attempt_times.extend(state.get("firsts", state["sends"]))  # an older version sends none


def restore_endpoint(facade, one):
    """Restores an endpoint, also one that is not listed now: it may come back."""
    module, number = facade.decisions, facade.endpoints(one["ident"])
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


def restore_text(facade, text, state, in_flight, ended, now):
    """Restores a text: queued, in flight, or (`ended`) known only for the sake of its call."""
    module, dest = facade.decisions, facade.decisions.dest(facade.dests(text.dest))
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
        reference=text.reference,
    )
    known = module.text(event, dest, state.get("taken", now))
    known.finished = ended or state.get("over", False)
    module.registry.register(known)
    if not in_flight:
        dest.queue.append(known)
        module.registry.schedule_expiry(known)


def restore_call(facade, one, by_ident):
    """Restores a call in flight: for the decisions, and for the code that reads its answer."""
    module, place = facade.decisions, Place(**one["place"])
    number = facade.endpoints(place.ident)
    if number not in module.endpoints:
        restore_endpoint(facade, dict(ident=place.ident, dest=place.dest, zone=place.zone, apart=False))
    target = module.endpoints[number]
    texts = [by_ident[ident] for ident in one["texts"]]
    call = Call(place, texts, one["timeout"], number, open={by_ident[ident].number for ident in one["open"]})
    write_fields(call, CALL, one)
    if call.open:
        known = decisions.Call(target, one["sent"], len(call.open))
        known.size, known.last_outcome = one["size"], one["mode"]
        target.calls.append(known)
        module.pool.free, target.dest.slots_in_use = module.pool.free - 1, target.dest.slots_in_use + 1
        if one["patient"]:
            target.route.patient_call = known
        for text in call.open:
            in_call = module.registry.texts[text]
            in_call.call = in_call.submitted_in = known
    return call
