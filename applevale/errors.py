"""The base of the errors that cross packages."""


class AppleValeError(Exception):
    """An input or a state that the program cannot use; the text is one line for the operator."""
