"""Makes hypothesis repeatable: same examples on every run."""

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.register_profile("long", deadline=None, max_examples=2000, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
