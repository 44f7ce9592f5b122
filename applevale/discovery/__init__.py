"""Where the list of engines comes from, and which of them may be used."""
