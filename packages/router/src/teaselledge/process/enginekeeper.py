"""Reconciliation of the engines with the document, by the holder of a lease."""

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
RECONCILE_INTERVAL_SECONDS = 3.0

CANDIDATE_COUNT = 3
"""Number of routers that try to acquire the lease.

If all routers tried, the whole fleet would read its row.
"""


class EngineController:
    """Competes for the lease and, as its holder, reconciles the engines."""

    def __init__(
        self,
        lease: Lease,
        reconciler: EngineReconciler,
        membership: Membership,
        version: Callable[[], Version | None],
    ) -> None:
        self._lease = lease
        self._reconciler = reconciler
        self._membership = membership
        self._version = version

    async def run(self) -> None:
        """Reconcile the engines every few seconds until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            try:
                await self.reconcile_once()
            except Exception as error:
                # an invalid response of one engine must not stop the task
                _log.error(f"Reconciling the engines failed: {error!r}.")

    async def reconcile_once(self) -> None:
        """Acquire or renew the lease and reconcile the engines once."""
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
            results = await self._reconciler.reconcile(name, service, engines)
            for endpoint, result in results.items():
                self._report(name, endpoint, result)

    def _report(self, service: str, endpoint: str, result: ReconcileResult) -> None:
        if result is ReconcileResult.LOADING:
            self._membership.report_endpoint(service, endpoint, EndpointStatus.LOADING)
        elif result is ReconcileResult.RIGHT:
            blocked = self._membership.blocked_endpoints()
            if blocked.get((service, endpoint)) is EndpointStatus.LOADING:
                self._membership.report_endpoint(service, endpoint, EndpointStatus.BACK)

    def _is_candidate(self) -> bool:
        not_leaving = [m.vm for m in self._membership.live() if not m.leaving]
        ranked = sorted(
            not_leaving, key=lambda vm: xxhash.xxh3_64_intdigest(vm.encode())
        )
        return self._membership.own.vm in ranked[:CANDIDATE_COUNT]


def _has_models(document: Document) -> bool:
    return any(
        entry.models
        for service in document.services.values()
        for entry in service.endpoints.values()
    )
