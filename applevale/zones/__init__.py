"""Preference among zones, bounded spill when one is lost, a ramped return. Without a zones file: unused."""
