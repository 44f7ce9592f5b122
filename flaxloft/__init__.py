"""flaxloft: the decisions of a query gateway (see flaxloft/policy.py)."""
