"""Earlier names of what is in `policy_driver`."""

from policy_driver import KINDS, LOOKUP, REPORT, PolicyDriver, actions_of, make_settings

__all__ = ["KINDS", "LOOKUP", "REPORT", "Driver", "of", "settings"]

of = actions_of
settings = make_settings


class Driver(PolicyDriver):
    """A driver with the earlier names of its methods."""

    def give(self, *events):
        """Call `handle`."""
        return self.handle(*events)

    def ask(self, *arguments, **fields):
        """Call `submit`."""
        return self.submit(*arguments, **fields)

    def end(self, *arguments, **fields):
        """Call `finish`."""
        return self.finish(*arguments, **fields)
