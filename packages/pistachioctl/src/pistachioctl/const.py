"""Exit statuses, timeouts and help text of the command line tool."""

from typing import Final

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_BAD_INPUT: Final = 2
EXIT_UNKNOWN: Final = 3

DEFAULT_TIMEOUT_S: Final = 60.0
ADMIN_TIMEOUT_S: Final = 3.0
KEY_FILE_MODE: Final = 0o600

EPILOG: Final = """\
exit status:
  0  done
  1  refused, or another roll won; nothing was changed; `config check
     --strict`: warnings only
  2  bad input; all findings are printed
  3  the platform did not answer: not known whether it took effect
"""
