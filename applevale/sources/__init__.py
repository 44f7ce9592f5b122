"""Where the engine list comes from: each source tells changes of one form (members.py)."""
