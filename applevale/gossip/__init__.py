"""Load reports that instances exchange."""
