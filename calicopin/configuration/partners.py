"""The list of partners, from the tables of a configuration or of a watched file of its own: checked whole,
or not taken.
"""

import tomllib
import zlib

import msgspec

from calicopin.configuration import units
from calicopin.configuration.model import PartnerPart
from calicopin.configuration.read import Fault, UnusableError, decode, types

END = b"[end]"


def seal(data):
    """A list file's bytes with the end that tells it whole: how many partners, and a checksum over all
    before it.
    """
    body = data.split(END)[0].rstrip() + b"\n\n"
    count = len(tomllib.loads(body.decode()).get("partner", []))
    return body + END + b'\ncrc32 = "%08x"\npartners = %d\n' % (zlib.crc32(body), count)


def whole(path, data, tables):
    """What shows that the file was cut or damaged."""
    end = tables.get("end")
    if not isinstance(end, dict) or data.count(END) != 1:
        return [
            Fault(
                path,
                "has no [end] table, so nobody can tell whether it is whole",
                "write it with `calicopin partners seal`, which puts [end] with its count and checksum last",
            )
        ]
    body = data.split(END)[0]
    if end.get("partners") != len(tables.get("partner", [])):
        return [
            Fault(
                path,
                f"holds {len(tables.get('partner', []))} partners where [end] says {end.get('partners')!r}",
                "it was cut or is being written: the list before it stays",
            )
        ]
    if "crc32" in end and end["crc32"] != f"{zlib.crc32(body):08x}":
        return [
            Fault(
                path,
                "does not match the checksum in its [end]",
                "it was damaged, or changed by hand: seal it again",
            )
        ]
    return []


def load(path):
    """The partner tables of a list file; UnusableError with everything that is wrong."""
    tables, origin, data = decode(path)
    faults = whole(path, data, tables)
    if faults:
        raise UnusableError(faults)
    if not tables.get("partner"):
        raise UnusableError(
            [Fault(path, "holds no [[partner]] table", "a list without partners is not taken")]
        )
    faults = [
        Fault(
            path,
            f"there is no key {key!r} in a partner list",
            "only [[partner]] tables and [end] stand there",
        )
        for key in tables
        if key not in ("partner", "end")
    ]
    faults += types({"partner": tables["partner"]}, origin, path)
    if faults:
        raise UnusableError(faults)
    try:
        return msgspec.convert(tables["partner"], list[PartnerPart]), origin
    except msgspec.ValidationError as fault:
        why, _, key = str(fault).partition(" - at ")
        raise UnusableError(
            [Fault(f"{path}: partner{key.strip('`').removeprefix('$')}", why[0].lower() + why[1:])]
        ) from None


def faults(partners, sheet, place):
    """What is wrong with a list under that configuration; `place(key)` names where."""
    out, kinds = [], {kind.name for kind in sheet.kind}
    products = {product.name: product for product in sheet.product}
    numbers, addresses, idents = {}, {}, {}
    for at, partner in enumerate(partners):
        key = f"partner[{at}]"
        if partner.kind not in kinds:
            out.append(
                Fault(
                    place(f"{key}.kind"),
                    f"{partner.kind!r} is no kind of partner",
                    f"known are {', '.join(sorted(kinds))}",
                )
            )
        if partner.destination in numbers:
            out.append(
                Fault(
                    place(f"{key}.destination"),
                    f"{partner.destination} is the number of {numbers[partner.destination]!r} too",
                    "give each partner a number of its own",
                )
            )
        numbers.setdefault(partner.destination, partner.name)
        for name in partner.products:
            product = products.get(name)
            if product is None:
                out.append(
                    Fault(
                        place(f"{key}.products"),
                        f"there is no product {name!r}",
                        f"known are {', '.join(sorted(products))}",
                    )
                )
            elif product.kinds and partner.kind not in product.kinds:
                out.append(
                    Fault(
                        place(f"{key}.products"),
                        f"{name!r} may go to {', '.join(product.kinds)} only, and {partner.name!r} "
                        f"is {partner.kind}",
                        "take the product out of the list, or give the partner its right kind",
                    )
                )
        for number, endpoint in enumerate(partner.endpoint):
            spot = f"{key}.endpoint[{number}].address"
            try:
                units.address(endpoint.address)
            except ValueError as fault:
                out.append(Fault(place(spot), str(fault)))
                continue
            if endpoint.address in addresses:
                out.append(
                    Fault(
                        place(spot),
                        f"{endpoint.address} is {addresses[endpoint.address]!r}'s too",
                        "a text for one would reach the other: give each endpoint its own address",
                    )
                )
            addresses.setdefault(endpoint.address, partner.name)
            ident = ident_of(partner, endpoint)
            if ident in idents:
                out.append(
                    Fault(
                        place(f"{key}.endpoint[{number}].id"),
                        f"{ident!r} stands twice",
                        "each endpoint needs an id of its own",
                    )
                )
            idents[ident] = True
            if endpoint.address == sheet.courier.listen:
                out.append(
                    Fault(
                        place(spot),
                        f"{endpoint.address} is where the courier itself listens",
                        "it would send texts to itself",
                    )
                )
            if endpoint.zone and sheet.zones and endpoint.zone not in sheet.zones:
                out.append(
                    Fault(
                        place(f"{key}.endpoint[{number}].zone"),
                        f"{endpoint.zone!r} is none of the zones",
                        f"known are {', '.join(sheet.zones)}",
                    )
                )
    return out


def ident_of(partner, endpoint):
    """The id of an endpoint; made of destination and address where none is told."""
    return endpoint.id or f"{partner.destination}-{endpoint.address}"


def listed(partners):
    """The list in discovery's own form; its version follows from what it says."""
    servers = [
        {
            "id": ident_of(partner, endpoint),
            "addr": endpoint.address,
            "zone": endpoint.zone,
            "kind": partner.kind,
            "cell": partner.destination,
            "state": "active",
            "weight": partner.limit,
            "started_ms": 0,
        }
        for partner in partners
        for endpoint in partner.endpoint
    ]
    return {"version": zlib.crc32(repr(servers).encode()), "full": True, "servers": servers}
