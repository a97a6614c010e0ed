"""Order of the store's states, including across restores from a backup."""

from dataclasses import dataclass

__all__ = ["Revision"]


@dataclass(frozen=True, order=True)
class Revision:
    """Position of a state in the history of the store.

    A store that is restored from a backup assigns the same numbers again, so numbers
    can be compared only within an era.

    Attributes
    ----------
    era : int
        Counter that rises with each restore of the store.
    number : int
        Number that the store assigned to the change.
    """

    era: int = 0
    number: int = 0

    def next(self) -> "Revision":
        """Return the next position in the same era."""
        return Revision(self.era, self.number + 1)
