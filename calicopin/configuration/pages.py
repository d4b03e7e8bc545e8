"""The operators' page of every key and the JSON Schema, made from the types."""

import msgspec

from calicopin.configuration import model

PARTS = (
    ("", model.Sheet),
    ("[courier]", model.CourierPart),
    ("[returning]", model.ReturnPart),
    ("[[product]]", model.ProductPart),
    ("[[kind]]", model.KindPart),
    ("[[partner]]", model.PartnerPart),
    ("[[partner.endpoint]]", model.EndpointPart),
)


def schema():
    """JSON Schema (2020-12) of the whole form."""
    return msgspec.json.schema(model.Sheet) | {"$schema": "https://json-schema.org/draft/2020-12/schema"}


def _kind(told):
    if "enum" in told:
        return " or ".join(f"`{value}`" for value in told["enum"])
    if "const" in told:
        return f"`{told['const']}`"
    kind = told.get("type", "table")
    return (
        f"list of {_kind(told['items'])}"
        if kind == "array" and "type" in told.get("items", {})
        else {
            "string": "word",
            "integer": "whole number",
            "number": "number",
            "boolean": "true or false",
            "array": "tables",
            "object": "table",
        }.get(kind, kind)
    )


def page():
    """The tables of `docs/configuration.md`."""
    out = []
    for title, part in PARTS:
        told = msgspec.json.schema(part)["$defs"][part.__name__]
        out += [
            f"### `{title}`" if title else "### The file",
            "",
            part.__doc__.strip(),
            "",
            "| key | kind | default | what it says |",
            "| --- | --- | --- | --- |",
        ]
        for field in msgspec.structs.fields(part):
            one = told["properties"][field.encode_name]
            default = (
                "must be given"
                if field.required
                else ""
                if field.default is msgspec.NODEFAULT
                else f"`{field.default}`"
                if field.default != ""
                else "empty"
            )
            out.append(f"| `{field.name}` | {_kind(one)} | {default} | {one.get('description', '')} |")
        out.append("")
    return "\n".join(out)
