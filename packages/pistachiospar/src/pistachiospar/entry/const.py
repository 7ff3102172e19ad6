"""Path segments, limits and timeouts of the entry process."""

from typing import Final

PATH_UPSTREAMS: Final = "upstreams"
PATH_TRAINERS: Final = "trainers"
PATH_STEPS: Final = "steps"
PATH_SAMPLES: Final = "samples"
PATH_WEIGHTS: Final = "weights"
MAX_NAME_CHARACTERS: Final = 128
REQUEST_ID_BYTES: Final = 8
LEASE_RELEASE_TIMEOUT_S: Final = 1.0
