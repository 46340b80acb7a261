"""Profiles of Hypothesis: fixed in CI, longer for ``make soak``."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100
)
hypothesis.settings.register_profile(
    'soak', deadline=None, max_examples=3000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
