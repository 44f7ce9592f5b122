"""The operators' HTTP API: readiness, metrics, manual ejection of engines, draining (docs/control.md)."""
