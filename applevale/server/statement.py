"""Finds the table group that a statement reads or writes."""

from __future__ import annotations

import re

# Each alternative matches a whole string, comment, name or number. The possessive quantifiers never
# backtrack, so the time to scan a statement is linear in its length even if it is malformed.
_TOKEN = re.compile(
    rb"'(?:[^'\\]|\\.|'')*+'?"  # an unterminated string extends to the end
    rb"|--[^\n]*+"
    rb"|#[^\n]*+"
    rb"|/\*(?:[^*]|\*(?!/))*+"
    rb"|(?P<quote>[\"`]?)(?P<name>[A-Za-z_][\w$]*+)(?P=quote)(?P<dot>\s*+\.)?"
    rb"|\"(?:[^\"]|\"\")*+\"?"
    rb"|\d[\w$]*+",
    re.DOTALL,
)
_GROUPED_SCHEMA = re.compile(rb"(?P<prefix>.*)_(?P<group>\d{1,9})", re.DOTALL)
STAGING_SCHEMA = b"staging"  # schemas with this prefix are in no group, like `staging_5`


def table_group(statement: bytes) -> float:
    """Return the number of the table group that a statement uses, or 0 if it uses none.

    The number is the suffix of the first schema name that has one: 17 for `sales_17.orders`.
    """
    is_qualified = False  # a dot precedes the current name, so it is not a schema
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
