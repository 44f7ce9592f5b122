"""The decision module: which requests are admitted, when and on which engines they run (docs/design.md).

Its input and output types are in `applevale.api`.
"""

from .controller import AdmissionController

__all__ = ["AdmissionController"]
