"""Crashes of instances, and the requests that they ran meanwhile."""

from ..ports.sampler import ProcessState
from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics


class CrashWatch:
    """Tell crashes of instances from lost connections."""

    def __init__(self, samplers: SamplerClient, metrics: Metrics) -> None:
        """Initialize; `samplers` reaches the instances."""
        self._samplers = samplers
        self._metrics = metrics

    async def inspect_loss(
        self, instance: ListedInstance, fingerprint: str, request_id: str
    ) -> bool:
        """Return whether an instance ended while it ran a request.

        Call it when the connection was lost before the response. An instance
        that refuses connections right after has ended; one that accepts them
        only closed that connection.
        """
        state = await self._samplers.check_process(instance)
        self._metrics.count(f"losses_{state.value}")
        log_event(
            "attempt_lost",
            request=request_id,
            fingerprint=fingerprint,
            instance=instance.name,
            process=state.value,
        )
        return state is ProcessState.GONE
