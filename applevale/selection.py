"""Random selection among candidates."""

from __future__ import annotations

from random import Random
from typing import TypeVar

Key = TypeVar("Key", bound=tuple)


def better_of_two(random: Random, candidates: list[Key], class_size: int) -> Key:
    """Return the smaller of two random candidates of the best class.

    The random draw prevents many selectors with the same information from all selecting the smallest
    candidate at once.

    Args:
        random: Random generator of the draw.
        candidates: Tuples; a smaller one is better.
        class_size: Number of leading values that candidates of the same class have in common.
    """
    best_class = min(candidates)[:class_size]
    candidates = [candidate for candidate in candidates if candidate[:class_size] == best_class]
    return min(random.sample(candidates, min(2, len(candidates))))
