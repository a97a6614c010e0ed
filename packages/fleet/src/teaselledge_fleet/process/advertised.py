"""Log of the routers that are advertised to callers."""

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.members import Members

__all__ = ["AdvertisedLog"]

_log = get_log("members")


class AdvertisedLog:
    """Logs each router that starts or stops being advertised.

    Parameters
    ----------
    members : Members
        Membership table of this router.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._advertised: set[str] = set()

    def update(self) -> None:
        """Log the changes of the advertised routers since the last call."""
        current = {member.vm for member in self._members.ready}
        for vm in sorted(current ^ self._advertised):
            liveness = self._members.liveness(vm)
            _log.info(
                "router advertised" if vm in current else "router not advertised",
                vm=vm,
                direct=liveness.direct if liveness else None,
                silent_seconds=round(liveness.age, 2) if liveness else None,
            )
        self._advertised = current
