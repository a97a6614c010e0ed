"""Callers' requests to services."""

import asyncio
from dataclasses import replace
from fnmatch import fnmatchcase

from expression import Error, Ok, Result
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from teaselledge.connection.bodybudget import BodyReservation
from teaselledge.connection.bodyclock import BodyTimeout
from teaselledge.connection.headers import forwardable_headers, header_size
from teaselledge.connection.sink import HandlerSink
from teaselledge.connection.web import BaseHandler
from teaselledge.errors import FAULT_RESPONSES, ErrorKind, Fault, Ran
from teaselledge.request.context import CallerRequest
from teaselledge.request.upload import MAX_BUFFERED_BYTES, Upload
from teaselledge.version.document import Service, Version

__all__ = ["ServiceHandler", "kind_of"]

LINGER_SECONDS = 2.0
"""Time for which the rest of a refused body is read and dropped."""

SERVER_ERROR = 500
"""Lowest status that tells of a failure of the system, not of the caller."""


def kind_of(service: Service, method: str, path: str) -> Result[str, Fault]:
    """Return the kind of request that a method and path name."""
    seen_path = False
    for name, kind in service.kinds.items():
        if not any(fnmatchcase(path, pattern) for pattern in kind.paths):
            continue
        seen_path = True
        if method in kind.methods:
            return Ok(name)
    if seen_path:
        return Error(Fault(ErrorKind.METHOD_NOT_ALLOWED))
    return Error(Fault(ErrorKind.NOT_FOUND))


@stream_request_body
class ServiceHandler(BaseHandler):
    """Passes requests to a service.

    A request is checked when its headers are read, so that one that is refused
    costs neither memory nor the time to read its body. A body up to the limit
    is kept whole, so that the request can be sent again elsewhere; a larger one
    of a repeatable kind is passed on as it arrives.
    """

    _reservation: BodyReservation | None = None
    _checked: CallerRequest | None = None
    _upload: Upload | None = None
    _complete = False
    _lingering = False
    _task: "asyncio.Task[None] | None" = None

    def prepare(self) -> None:
        """Check what the headers tell."""
        self._arrived = asyncio.get_running_loop().time()
        self._parts: list[bytes] = []
        self._size = 0
        self._reservation = self.router.bodies.reserve()
        self._clock = BodyTimeout(self._cut_off)
        service, path = self.path_args
        result = self._check(service, path).bind(self._reserve)
        if result.is_error():
            self._refuse_early(result.error)
            return
        self._checked = result.ok
        if (self._announced or 0) > self.router.settings.limits.body_bytes:
            self._begin_upload()
        self._clock.start()

    async def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, or pass it on."""
        self._clock.stop()
        self._size += len(chunk)
        if self._checked is None or self._finished or self._lingering:
            return
        limits = self.router.settings.limits
        if self._size > limits.upload_bytes:
            self._refuse_early(Fault(ErrorKind.BODY_TOO_LARGE, Ran.UNKNOWN))
            return
        if self._upload is not None:
            await self._upload.put(chunk)
            self._clock.start()
            return
        self._parts.append(chunk)
        if self._announced is None:
            self._keep_unannounced(len(chunk))
        self._clock.start()

    async def handle(self, service: str, path: str) -> None:
        """Run a request whose body is complete, and answer."""
        self._clock.stop()
        self._complete = True
        if self._lingering:
            self.finish()
            return
        if self._checked is None:
            return
        if self._upload is not None:
            await self._upload.end()
        else:
            self._start(self._with_body(self._checked))
        assert self._task is not None
        await asyncio.wait([self._task])
        if self._lingering and not self._finished:
            self.finish()
        if self._task.cancelled():
            # the caller went away; there is nobody to answer
            return
        self._task.result()

    get = post = put = patch = delete = head = options = handle

    def on_connection_close(self) -> None:
        """Stop working for a caller that went away."""
        self._clock.stop()
        if self._task is not None:
            self._task.cancel()
        self._release()

    def on_finish(self) -> None:
        """Give the body's memory back."""
        self._clock.stop()
        self._release()

    def _start(self, request: CallerRequest) -> None:
        self._task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: CallerRequest) -> None:
        sink = HandlerSink(self)
        try:
            result = await self.router.request_runner.run(request, sink)
        except StreamClosedError:
            return
        finally:
            if self._upload is not None:
                self._upload.discard()
        self._record(request, sink, result)
        if result.is_error():
            self._end(result.error, proven=True)
            return
        self.router.metrics.count("request.answered")

    def _begin_upload(self) -> None:
        """Run the request now and pass the rest of its body on as it arrives."""
        assert self._checked is not None
        self._upload = Upload()
        request = self._checked
        headers = request.headers.copy()
        if self._announced is not None:
            headers["Content-Length"] = str(self._announced)
        body = b"".join(self._parts)
        self._parts.clear()
        self._start(replace(request, headers=headers, body=body, upload=self._upload))

    def _keep_unannounced(self, size: int) -> None:
        """Account for a part of a body that did not tell its size."""
        assert self._reservation is not None and self._checked is not None
        if self._size > self.router.settings.limits.body_bytes:
            if self._checked.kind_entry.repeatable:
                self._begin_upload()
                return
            self._refuse_early(Fault(ErrorKind.BODY_TOO_LARGE))
            return
        grown = self._reservation.grow(size)
        if grown.is_error():
            self._refuse_early(grown.error)

    def _release(self) -> None:
        if self._reservation is not None:
            self._reservation.release()

    def _cut_off(self) -> None:
        stream = getattr(self.request.connection, "stream", None)
        if stream is not None:
            stream.close()

    def _refuse_early(self, fault: Fault) -> None:
        self._checked = None
        self._parts.clear()
        if self._task is not None:
            self._task.cancel()
        if self._headers_written:
            self._cut_off()
            return
        self._end(fault, proven=False)

    def _end(self, fault: Fault, proven: bool) -> None:
        """Refuse a request whose body may still be on its way.

        Closing at once would reset the connection while the caller sends, and
        its system would drop the answer unread. So the whole answer is sent,
        and the rest of the body is read for a while and dropped.
        """
        if not self._unread or "Expect" in self.request.headers:
            self.refuse(fault, proven)
            return
        self._lingering = True
        self.set_header("Connection", "close")
        self.refuse(fault, proven, keep_open=True)
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self._cut_unread)

    @property
    def _unread(self) -> bool:
        """Whether more of the body may come."""
        if self._complete:
            return False
        if self._announced is not None:
            return self._size < self._announced
        return "Transfer-Encoding" in self.request.headers

    def _cut_unread(self) -> None:
        if not self._finished:
            self._cut_off()

    def _record(
        self, request: CallerRequest, sink: HandlerSink, result: Result[None, Fault]
    ) -> None:
        failed = sink.aborted
        if result.is_error():
            failed = FAULT_RESPONSES[result.error.kind].status >= SERVER_ERROR
        seconds = asyncio.get_running_loop().time() - self._arrived
        self.router.node.objectives.record(
            request.organisation, request.service, request.kind, seconds, failed
        )

    @property
    def _announced(self) -> int | None:
        text = self.request.headers.get("Content-Length")
        return int(text) if text is not None else None

    def _check(self, service: str, path: str) -> Result[CallerRequest, Fault]:
        limits = self.router.settings.limits
        if header_size(self.request.headers) > limits.header_bytes:
            return Error(Fault(ErrorKind.HEADERS_TOO_LARGE))
        if (self._announced or 0) > limits.upload_bytes:
            return Error(Fault(ErrorKind.BODY_TOO_LARGE))
        version = self.router.version
        if version is None:
            return Error(Fault(ErrorKind.NOT_CONFIGURED))
        organisation = self.router.authenticator.organisation_of(
            version, self.request.headers.get("Authorization", "")
        )
        if organisation is None:
            return Error(Fault(ErrorKind.UNAUTHENTICATED))
        found = version.document.services.get(service)
        if found is None:
            return Error(Fault(ErrorKind.NOT_FOUND))
        if service not in version.document.organisations[organisation].services:
            return Error(Fault(ErrorKind.FORBIDDEN))
        kind = kind_of(found, self.request.method or "", path)
        if kind.is_error():
            return Error(kind.error)
        return self._request(version, organisation, service, kind.ok, path)

    def _reserve(self, request: CallerRequest) -> Result[CallerRequest, Fault]:
        assert self._reservation is not None
        size = self._announced or 0
        if size > self.router.settings.limits.body_bytes:
            size = MAX_BUFFERED_BYTES
        return self._reservation.grow(size).map(lambda _: request)

    def _request(
        self, version: Version, organisation: str, service: str, kind: str, path: str
    ) -> Result[CallerRequest, Fault]:
        entry = version.document.services[service].kinds[kind]
        refusal = self.router.node.drain.rejection()
        if refusal is not None and entry.repeatable:
            return Error(refusal)
        kept = self.router.settings.limits.body_bytes
        if not entry.repeatable and (self._announced or 0) > kept:
            return Error(Fault(ErrorKind.BODY_TOO_LARGE))
        key = self.request.headers.get("Idempotency-Key")
        query = f"?{self.request.query}" if self.request.query else ""
        headers = forwardable_headers(self.request.headers)
        headers["Host"] = service
        headers["X-Request-Id"] = self.request_id
        now = asyncio.get_running_loop().time()
        return Ok(
            CallerRequest(
                id=self.request_id,
                organisation=organisation,
                service=service,
                kind=kind,
                method=self.request.method or "",
                path=f"/{path}{query}",
                headers=headers,
                body=b"",
                key=key,
                version=version,
                deadline=now + entry.deadline,
            )
        )

    def _with_body(self, request: CallerRequest) -> CallerRequest:
        body = b"".join(self._parts)
        self._parts.clear()
        headers = request.headers.copy()
        headers["Content-Length"] = str(len(body))
        return replace(request, headers=headers, body=body)
