"""Log which routers begin and cease to be advertised to callers."""

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.members import Members

__all__ = ["AdvertisedLog"]

_log = get_log("members")


class AdvertisedLog:
    """Writes a line for each router whose place in the directory changes.

    Parameters
    ----------
    members : Members
        The routers.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._advertised: set[str] = set()

    def update(self) -> None:
        """Compare the directory with that of the last call."""
        current = {member.vm for member in self._members.ready}
        for vm in sorted(current ^ self._advertised):
            evidence = self._members.liveness(vm)
            _log.info(
                "router advertised" if vm in current else "router not advertised",
                vm=vm,
                direct=evidence.direct if evidence else None,
                silent_seconds=round(evidence.age, 2) if evidence else None,
            )
        self._advertised = current
