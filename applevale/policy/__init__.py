"""All decisions of applevale (docs/design.md); the types that it takes and gives are in applevale/api."""

from .controller import AdmissionController

__all__ = ["AdmissionController"]
