"""Order of what the store has held, also where it goes back to an older copy."""

from dataclasses import dataclass

__all__ = ["Revision"]


@dataclass(frozen=True, order=True)
class Revision:
    """Place of a state in the history of the store.

    A store that is restored from a copy gives its numbers out again, so two numbers
    can be compared within an era only.

    Attributes
    ----------
    era : int
        Rises with each restore.
    number : int
        The store's own count of changes.
    """

    era: int = 0
    number: int = 0

    def next(self) -> "Revision":
        """Return the next place of the same era."""
        return Revision(self.era, self.number + 1)
