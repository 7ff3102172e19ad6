"""Submissions that the cases of a small fleet of gateways make."""

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import encode_submission
from pistachiospar.submissions.models import Submission
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import ROLLOUT_PREFIX

from .submission_checks import SubmissionHistory
from .submission_scenarios import make_item


def make_history(
    name: str, items: int, model: str = "m0"
) -> SubmissionHistory:
    """Return the empty history of a submission for a model.

    Its items are in groups of three.
    """
    return SubmissionHistory(
        Submission(
            name,
            HOST,
            f"{ROLLOUT_PREFIX}{model}/",
            model,
            0,
            1,
            2,
            [
                make_item(f"{name}-{number}", model, f"g{number // 3}")
                for number in range(items)
            ],
            0.0,
        )
    )


def make_submission_request(history: SubmissionHistory) -> HttpRequest:
    """Return the request that submits a submission."""
    submission = history.submission
    return HttpRequest(
        "POST",
        submission.path,
        "",
        {"host": HOST, "request-id": submission.id, "deadline-ms": "12000"},
        encode_submission(submission),
    )
