"""Daily operation: the operators' door, figures, engines out by hand and drain (docs/control.md)."""
