"""applevale: the decisions of a query gateway (see applevale/policy.py)."""
