"""The operators' page of every key and the JSON Schema, generated from the types."""

import msgspec

from calicopin.configuration import model

TABLES = (
    ("", model.Configuration),
    ("[courier]", model.CourierPart),
    ("[returning]", model.ReturnPart),
    ("[[product]]", model.ProductPart),
    ("[[kind]]", model.KindPart),
    ("[[partner]]", model.PartnerPart),
    ("[[partner.endpoint]]", model.EndpointPart),
)


def schema():
    """The JSON Schema (2020-12) of a configuration file."""
    return msgspec.json.schema(model.Configuration) | {
        "$schema": "https://json-schema.org/draft/2020-12/schema"
    }


def _type_name(key_schema):
    if "enum" in key_schema:
        return " or ".join(f"`{value}`" for value in key_schema["enum"])
    if "const" in key_schema:
        return f"`{key_schema['const']}`"
    json_type = key_schema.get("type", "table")
    return (
        f"list of {_type_name(key_schema['items'])}"
        if json_type == "array" and "type" in key_schema.get("items", {})
        else {
            "string": "word",
            "integer": "whole number",
            "number": "number",
            "boolean": "true or false",
            "array": "tables",
            "object": "table",
        }.get(json_type, json_type)
    )


def page():
    """The tables of `docs/configuration.md`."""
    lines = []
    for title, table in TABLES:
        table_schema = msgspec.json.schema(table)["$defs"][table.__name__]
        lines += [
            f"### `{title}`" if title else "### The file",
            "",
            table.__doc__.strip(),
            "",
            "| key | kind | default | what it says |",
            "| --- | --- | --- | --- |",
        ]
        for field in msgspec.structs.fields(table):
            key_schema = table_schema["properties"][field.encode_name]
            default = (
                "must be given"
                if field.required
                else ""
                if field.default is msgspec.NODEFAULT
                else f"`{field.default}`"
                if field.default != ""
                else "empty"
            )
            lines.append(
                f"| `{field.name}` | {_type_name(key_schema)} | {default} | "
                f"{key_schema.get('description', '')} |"
            )
        lines.append("")
    return "\n".join(lines)
