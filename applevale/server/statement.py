"""Finds the group of tables that a statement reads or writes."""

from __future__ import annotations

import re

# Each alternative consumes a whole string, comment or name, and possessive repeats never backtrack into it:
# each byte is looked at a bounded number of times, however the statement is malformed.
_TOKEN = re.compile(
    rb"'(?:[^'\\]|\\.|'')*+'?"  # a string; one that is not closed reaches to the end
    rb"|--[^\n]*+"
    rb"|#[^\n]*+"
    rb"|/\*(?:[^*]|\*(?!/))*+"
    rb"|(?P<quote>[\"`]?)(?P<name>[A-Za-z_][\w$]*+)(?P=quote)(?P<dot>\s*+\.)?"
    rb"|\"(?:[^\"]|\"\")*+\"?"
    rb"|\d[\w$]*+",
    re.DOTALL,
)
_GROUPED_SCHEMA = re.compile(rb"(?P<prefix>.*)_(?P<group>\d{1,9})", re.DOTALL)
STAGING_SCHEMA = b"staging"  # schemas of this prefix belong to no group


def table_group(statement: bytes) -> float:
    """Return the number of the group of tables that a statement uses.

    It is the number behind the underscore of the first schema named, as in `sales_17.orders`; 0 if there is
    none.
    """
    is_qualified = False  # the previous name ended in a dot, so this one is not a schema
    for token in _TOKEN.finditer(statement):
        name = token["name"]
        if name is None:
            continue
        if token["dot"] and not is_qualified:
            schema = _GROUPED_SCHEMA.fullmatch(name)
            if schema and schema["prefix"].lower() != STAGING_SCHEMA:
                return float(schema["group"])
        is_qualified = bool(token["dot"])
    return 0.0
