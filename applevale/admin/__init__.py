"""Administration: the HTTP API of operators, metrics, manual ejections of engines, and draining."""
