"""The partner list, from the tables of a configuration or of a watched file of its own: accepted as a
whole, or not at all.
"""

import tomllib
import zlib

import msgspec

from calicopin.configuration import units
from calicopin.configuration.model import PartnerPart
from calicopin.configuration.read import Finding, UnusableError, load_toml, unknown_keys

END_MARKER = b"[end]"


def seal(data):
    """A list file's bytes with an [end] table that shows it is complete: the number of partners, and a
    checksum of everything before it.
    """
    body = data.split(END_MARKER)[0].rstrip() + b"\n\n"
    count = len(tomllib.loads(body.decode()).get("partner", []))
    return body + END_MARKER + b'\ncrc32 = "%08x"\npartners = %d\n' % (zlib.crc32(body), count)


def integrity_findings(path, data, tables):
    """Findings that show that the file was truncated or damaged."""
    end = tables.get("end")
    if not isinstance(end, dict) or data.count(END_MARKER) != 1:
        return [
            Finding(
                path,
                "has no [end] table, so it may be incomplete",
                "write it with `calicopin partners seal`, which puts [end] with its count and checksum last",
            )
        ]
    body = data.split(END_MARKER)[0]
    if end.get("partners") != len(tables.get("partner", [])):
        return [
            Finding(
                path,
                f"holds {len(tables.get('partner', []))} partners where [end] says {end.get('partners')!r}",
                "it was truncated or is being written: the previous list stays in use",
            )
        ]
    if "crc32" in end and end["crc32"] != f"{zlib.crc32(body):08x}":
        return [
            Finding(
                path,
                "does not match the checksum in its [end]",
                "it was damaged, or changed by hand: seal it again",
            )
        ]
    return []


def load(path):
    """(partner tables, location of each key) of a list file; UnusableError with everything that is wrong."""
    tables, origins, data = load_toml(path)
    findings = integrity_findings(path, data, tables)
    if findings:
        raise UnusableError(findings)
    if not tables.get("partner"):
        raise UnusableError(
            [Finding(path, "holds no [[partner]] table", "a list without partners is not accepted")]
        )
    findings = [
        Finding(
            path,
            f"there is no key {key!r} in a partner list",
            "only [[partner]] tables and [end] are allowed",
        )
        for key in tables
        if key not in ("partner", "end")
    ]
    findings += unknown_keys({"partner": tables["partner"]}, origins, path)
    if findings:
        raise UnusableError(findings)
    try:
        return msgspec.convert(tables["partner"], list[PartnerPart]), origins
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at ")
        raise UnusableError(
            [Finding(f"{path}: partner{key.strip('`').removeprefix('$')}", reason[0].lower() + reason[1:])]
        ) from None


def check_partners(partners, configuration, place):
    """Findings on a list under that configuration; `place(key)` is the location of a key."""
    findings, kinds = [], {kind.name for kind in configuration.kind}
    products = {product.name: product for product in configuration.product}
    name_by_destination, name_by_address, known_ids = {}, {}, {}
    for index, partner in enumerate(partners):
        key = f"partner[{index}]"
        if partner.kind not in kinds:
            findings.append(
                Finding(
                    place(f"{key}.kind"),
                    f"{partner.kind!r} is not a kind of partner",
                    f"known kinds: {', '.join(sorted(kinds))}",
                )
            )
        if partner.destination in name_by_destination:
            findings.append(
                Finding(
                    place(f"{key}.destination"),
                    f"{partner.destination} is the number of "
                    f"{name_by_destination[partner.destination]!r} as well",
                    "give each partner its own number",
                )
            )
        name_by_destination.setdefault(partner.destination, partner.name)
        for name in partner.products:
            product = products.get(name)
            if product is None:
                findings.append(
                    Finding(
                        place(f"{key}.products"),
                        f"there is no product {name!r}",
                        f"known products: {', '.join(sorted(products))}",
                    )
                )
            elif product.kinds and partner.kind not in product.kinds:
                findings.append(
                    Finding(
                        place(f"{key}.products"),
                        f"{name!r} may go to {', '.join(product.kinds)} only, and {partner.name!r} "
                        f"is {partner.kind}",
                        "remove the product from the list, or correct the partner's kind",
                    )
                )
        for endpoint_index, endpoint in enumerate(partner.endpoint):
            address_key = f"{key}.endpoint[{endpoint_index}].address"
            try:
                units.address(endpoint.address)
            except ValueError as error:
                findings.append(Finding(place(address_key), str(error)))
                continue
            if endpoint.address in name_by_address:
                findings.append(
                    Finding(
                        place(address_key),
                        f"{endpoint.address} is the address of {name_by_address[endpoint.address]!r} as well",
                        "a text for one would reach the other: give each endpoint its own address",
                    )
                )
            name_by_address.setdefault(endpoint.address, partner.name)
            identifier = endpoint_id(partner, endpoint)
            if identifier in known_ids:
                findings.append(
                    Finding(
                        place(f"{key}.endpoint[{endpoint_index}].id"),
                        f"{identifier!r} is used twice",
                        "each endpoint needs its own id",
                    )
                )
            known_ids[identifier] = True
            if endpoint.address == configuration.courier.listen:
                findings.append(
                    Finding(
                        place(address_key),
                        f"{endpoint.address} is where the courier itself listens",
                        "it would send texts to itself",
                    )
                )
            if endpoint.zone and configuration.zones and endpoint.zone not in configuration.zones:
                findings.append(
                    Finding(
                        place(f"{key}.endpoint[{endpoint_index}].zone"),
                        f"{endpoint.zone!r} is not one of the zones",
                        f"known zones: {', '.join(configuration.zones)}",
                    )
                )
    return findings


def endpoint_id(partner, endpoint):
    """The id of an endpoint; derived from destination and address where none is given."""
    return endpoint.id or f"{partner.destination}-{endpoint.address}"


def discovery_list(partners):
    """The list in the form of discovery; its version is a checksum of its content."""
    servers = [
        {
            "id": endpoint_id(partner, endpoint),
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
