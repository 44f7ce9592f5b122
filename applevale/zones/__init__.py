"""Routing among zones: preference, bounded spill from a lost zone, ramped recovery."""
