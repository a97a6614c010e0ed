"""Keep the engines at what the document names, as the holder of a lease."""

import asyncio
from collections.abc import Callable

import xxhash

from teaselledge.log import get_log
from teaselledge.process.endpointstatus import EndpointStatus
from teaselledge.process.engineorders import EngineReconciler, ReconcileResult
from teaselledge.process.lease import Lease
from teaselledge.process.membership import Membership
from teaselledge.version.document import Document, Version

__all__ = ["EngineController", "LEASE_NAME"]

_log = get_log("engines")

LEASE_NAME = "engine-orders"
STEP_SECONDS = 3.0

CANDIDATES = 3
"""Routers that try to hold the lease; all of the fleet would read its row."""


class EngineController:
    """Holds the lease, if it falls to this router, and brings engines about."""

    def __init__(
        self,
        lease: Lease,
        orders: EngineReconciler,
        membership: Membership,
        version: Callable[[], Version | None],
    ) -> None:
        self._lease = lease
        self._orders = orders
        self._membership = membership
        self._version = version

    async def run(self) -> None:
        """Look at the engines every few seconds until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            try:
                await self.reconcile_once()
            except Exception as error:
                # one engine's odd answer must not end the work for all others
                _log.error(f"Looking after the engines failed: {error!r}.")

    async def reconcile_once(self) -> None:
        """Try for the lease and look at the engines once."""
        version = self._version()
        if version is None or not _has_models(version.document):
            return
        if self._lease.held is None and not self._is_candidate():
            return
        if self._membership.own.leaving:
            await self._lease.release()
            return
        if await self._lease.acquire_or_renew() is None:
            return
        for name, service in version.document.services.items():
            engines = [e for e, entry in service.endpoints.items() if entry.models]
            found = await self._orders.reconcile(name, service, engines)
            for endpoint, progress in found.items():
                self._tell(name, endpoint, progress)

    def _tell(self, service: str, endpoint: str, progress: ReconcileResult) -> None:
        if progress is ReconcileResult.LOADING:
            self._membership.report_endpoint(service, endpoint, EndpointStatus.LOADING)
        elif progress is ReconcileResult.RIGHT:
            blocked = self._membership.blocked_endpoints()
            if blocked.get((service, endpoint)) is EndpointStatus.LOADING:
                self._membership.report_endpoint(service, endpoint, EndpointStatus.BACK)

    def _is_candidate(self) -> bool:
        staying = [m.vm for m in self._membership.live() if not m.leaving]
        ranked = sorted(staying, key=lambda vm: xxhash.xxh3_64_intdigest(vm.encode()))
        return self._membership.own.vm in ranked[:CANDIDATES]


def _has_models(document: Document) -> bool:
    return any(
        entry.models
        for service in document.services.values()
        for entry in service.endpoints.values()
    )
