"""Rollout service for reinforcement learning."""

from typing import Final

__version__: Final = "0.1.0"
