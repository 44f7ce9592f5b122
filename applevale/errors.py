"""The base class of the errors that one package raises and another one catches."""


class AppleValeError(Exception):
    """An input or a state is invalid; the text is one line for the operator."""
