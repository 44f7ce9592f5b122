"""applevale: a workload manager for query engines."""
