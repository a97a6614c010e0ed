"""Table of endpoints that temporarily get no new work, by reporting router."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from teaselledge_wire.gen.router.ttypes import EndpointNews

__all__ = ["EndpointKey", "EndpointStatusTable", "EndpointStatus"]

EndpointKey = tuple[str, str]
"""Service and endpoint."""

MAX_NOTICES = 20_000
MAX_NOTICE_SECONDS = 3600.0


class EndpointStatus(IntEnum):
    """Why an endpoint gets no new work."""

    BACK = 0
    """It accepts work again; ends REFUSED and LOADING."""

    REFUSED = 1
    """It refused a connection; nothing listens there."""

    LEAVING = 2
    """It announced that it is leaving."""

    LOADING = 3
    """It is loading a model and can't serve requests yet."""


NOTICE_SECONDS: dict[EndpointStatus, float] = {
    EndpointStatus.BACK: 5.0,
    EndpointStatus.REFUSED: 5.0,
    EndpointStatus.LEAVING: 600.0,
    EndpointStatus.LOADING: 10.0,
}
"""Validity of a notice by status, unless it is repeated."""


@dataclass(frozen=True)
class _Notice:
    reason: EndpointStatus
    number: int
    expires: float


class EndpointStatusTable:
    """Notices by endpoint and reporter.

    A notice expires, so that a wrong one blocks an endpoint only for a limited time
    and a reporter that dies leaves no notice behind.
    """

    def __init__(self, reporter: str) -> None:
        self._reporter = reporter
        self._last_number = 0
        self._notices: dict[tuple[EndpointKey, str], _Notice] = {}

    def report(
        self, endpoint: EndpointKey, reason: EndpointStatus, now: float
    ) -> EndpointNews | None:
        """Record a status that this router observed.

        Returns
        -------
        EndpointNews or None
            The notice to send to others; None if it was sent recently or if the
            endpoint is not blocked.
        """
        known = self._notices.get((endpoint, self._reporter))
        seconds = NOTICE_SECONDS[reason]
        if known is not None and known.reason is reason:
            if known.expires - now > seconds / 2:
                return None
        elif reason is EndpointStatus.BACK and endpoint not in self.blocked(now):
            return None
        self._last_number += 1
        notice_message = EndpointNews(
            *endpoint, int(reason), seconds, self._reporter, self._last_number
        )
        self.merge(notice_message, now)
        return notice_message

    def merge(self, notice_message: EndpointNews, now: float) -> bool:
        """Merge a notice and return whether it was new."""
        endpoint = (notice_message.service_name, notice_message.endpoint)
        key = (endpoint, notice_message.reporter)
        known = self._notices.get(key)
        if known is not None and known.number >= notice_message.number:
            return False
        if known is None and len(self._notices) >= MAX_NOTICES:
            self._remove(lambda notice: notice.expires <= now)
        if known is None and len(self._notices) >= MAX_NOTICES:
            return False
        try:
            reason = EndpointStatus(notice_message.reason)
        except ValueError:
            # a newer release may have more statuses
            return False
        expires = now + min(max(notice_message.seconds, 0.0), MAX_NOTICE_SECONDS)
        if reason is EndpointStatus.BACK:
            self._clear_temporary(endpoint)
        self._notices[key] = _Notice(reason, notice_message.number, expires)
        return True

    def blocked(self, now: float) -> dict[EndpointKey, EndpointStatus]:
        """Return the blocked endpoints with the reason; LEAVING takes precedence."""
        found: dict[EndpointKey, EndpointStatus] = {}
        for (endpoint, _), notice in self._notices.items():
            if notice.expires <= now or notice.reason is EndpointStatus.BACK:
                continue
            old = found.get(endpoint)
            if old is not EndpointStatus.LEAVING:
                found[endpoint] = notice.reason
        return found

    def _clear_temporary(self, endpoint: EndpointKey) -> None:
        for key, notice in list(self._notices.items()):
            if key[0] == endpoint and notice.reason is not EndpointStatus.LEAVING:
                self._notices[key] = _Notice(
                    EndpointStatus.BACK, notice.number, notice.expires
                )

    def _remove(self, is_expired: Callable[[_Notice], bool]) -> None:
        for key, notice in list(self._notices.items()):
            if is_expired(notice):
                del self._notices[key]
