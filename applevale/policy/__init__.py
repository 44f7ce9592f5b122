"""The decision module, whose input and output types are in applevale/api.

It decides which requests are admitted, when they run and on which engines (docs/design.md).
"""

from .controller import AdmissionController

__all__ = ["AdmissionController"]
