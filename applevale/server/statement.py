"""Finds the group of tables that a statement reads or writes."""

from __future__ import annotations

import re

# One alternative consumes a whole string, comment or name, and possessive repeats never give back what they
# took: each byte is looked at a bounded number of times, however the statement is malformed.
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
_GROUP = re.compile(rb"(.*)_(\d{1,9})", re.DOTALL)
SCRATCH = b"staging"  # a schema that belongs to no group


def table_group(statement: bytes) -> float:
    """The number behind the underscore of the first schema named; 0 where there is none."""
    qualified = False  # the name before this one ended in a dot, so this one is no schema
    for token in _TOKEN.finditer(statement):
        name = token["name"]
        if name is None:
            continue
        if token["dot"] and not qualified:
            group = _GROUP.fullmatch(name)
            if group and group[1].lower() != SCRATCH:
                return float(group[2])
        qualified = bool(token["dot"])
    return 0.0
