"""The cases of the fleet harness: scenarios, and limits on the figures of their runs."""
