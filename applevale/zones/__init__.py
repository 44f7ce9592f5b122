"""Routing among zones: preferred zones, limited spill from a lost zone, and its gradual recovery."""
