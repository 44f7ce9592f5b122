"""Random selection among candidates."""

from __future__ import annotations

from random import Random
from typing import TypeVar

Key = TypeVar("Key", bound=tuple)


def better_of_two(random: Random, candidates: list[Key], class_size: int) -> Key:
    """Return the lesser of two random candidates of the best class.

    The choice of two spreads many selectors with the same information, which would otherwise all select the
    least candidate at once.

    Args:
        random: Source of the draw.
        candidates: Tuples; a lesser one is better.
        class_size: Number of first values in which the candidates of one class agree.
    """
    best_class = min(candidates)[:class_size]
    candidates = [candidate for candidate in candidates if candidate[:class_size] == best_class]
    return min(random.sample(candidates, min(2, len(candidates))))
