"""Selection of one of several candidates."""

from __future__ import annotations

from random import Random
from typing import TypeVar

Key = TypeVar("Key", bound=tuple)


def better_of_two(random: Random, candidates: list[Key], class_size: int) -> Key:
    """Return the lesser of two candidates drawn from the best class.

    Candidates that agree in their first `class_size` values are of one class. Many selectors that know the
    same would all select the least candidate at once; so each takes the better of two.
    """
    best_class = min(candidates)[:class_size]
    candidates = [candidate for candidate in candidates if candidate[:class_size] == best_class]
    return min(random.sample(candidates, min(2, len(candidates))))
