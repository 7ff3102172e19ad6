"""Port through which a gateway queries the holder of a pool."""

from typing import Protocol

from ..submissions.models import ResultPage


class SubmissionPeer(Protocol):
    """Client of other gateways."""

    async def fetch_results(
        self,
        address: str,
        submission: str,
        after: int,
        wait_s: float,
        organisation: str | None,
    ) -> ResultPage | None:
        """Return the results after a position, waiting up to `wait_s`.

        None when the gateway is unreachable or doesn't know a submission of
        that organisation; `organisation` is None when none is configured.
        """
