"""Fixed seeds and no time limits: the same verdict every time."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("fixed")
