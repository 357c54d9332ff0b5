"""The tests; examples that hypothesis draws are the same on every run, so the verdict is too."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=50)
settings.load_profile("ci")
