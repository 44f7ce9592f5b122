"""Administration: the HTTP admin API, metrics, manual ejections of engines, and draining."""
