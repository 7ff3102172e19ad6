"""Check that an instance is still the one that the list describes.

Pattern: an instance crashes and starts again under its name and address with
another version of its software, before the list says so.
"""

from result import Err

from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event


async def confirm_lifetime(
    samplers: SamplerClient, instance: ListedInstance
) -> bool:
    """Return whether an instance reports the start time that is listed.

    Without a report that can't be said. An instance that reports no start
    time, or is listed without one, is taken for the same.
    """
    report = await samplers.fetch_report(instance)
    if isinstance(report, Err):
        log_event(
            "lifetime_not_confirmed",
            instance=instance.name,
            detail=report.err_value,
        )
        return False
    started_ms = report.ok_value.started_ms
    if not started_ms or not instance.started_ms:
        return True
    if started_ms != instance.started_ms:
        log_event(
            "instance_restarted",
            instance=instance.name,
            listed_ms=instance.started_ms,
            started_ms=started_ms,
        )
    return started_ms == instance.started_ms
