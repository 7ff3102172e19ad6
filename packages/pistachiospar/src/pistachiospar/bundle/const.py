"""Keys, file name and limits of bundles."""

from typing import Final

PREFIX: Final = "/pistachiospar/"
KEY_POINTER: Final = PREFIX + "live/pointer"
PREFIX_LIVE: Final = PREFIX + "live/"
PREFIX_BUNDLES: Final = PREFIX + "bundles/"
PREFIX_SIGNATURES: Final = PREFIX + "signatures/"
PREFIX_EPOCHS: Final = PREFIX + "epochs/"
PREFIX_HISTORY: Final = PREFIX + "history/"

BUNDLE_FILE: Final = "bundle.json"

EXPECTED_SHARE_SUM: Final = 1.0
SHARE_TOLERANCE: Final = 1e-6
PUBLIC_KEY_BYTES: Final = 32

MAX_KNOWLEDGE_AGE_S: Final = 15.0
