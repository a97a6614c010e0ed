"""Settings of the engine speeds."""

from dataclasses import dataclass

__all__ = ["EngineSpeedSettings"]


@dataclass(frozen=True)
class EngineSpeedSettings:
    """When the speeds of single engines take effect.

    Attributes
    ----------
    min_spread : float
        Ratio of the fastest to the slowest engines of a service from which its engines
        are predicted one by one. With a smaller ratio, noise of the samples would move
        prompts away from engines that are as fast as the others.
    """

    min_spread: float = 1.5
