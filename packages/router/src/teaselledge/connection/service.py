"""Requests of callers to services."""

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

__all__ = ["ServiceHandler", "match_kind"]

LINGER_SECONDS = 2.0
"""Time for which the rest of a refused request's body is read and discarded."""

MIN_SERVER_ERROR_STATUS = 500
"""Minimum status that means a failure of the system, not of the caller."""


def match_kind(service: Service, method: str, path: str) -> Result[str, Fault]:
    """Return the kind of requests that a method and path match."""
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
    """Forwards requests to a service.

    A request is checked once its headers are read, so that a refused one costs
    neither memory nor the time to read its body. A body up to the limit is buffered
    completely, so that the request can be retried at another endpoint; a larger
    body of a repeatable kind is streamed as it arrives.
    """

    _reservation: BodyReservation | None = None
    _accepted: CallerRequest | None = None
    _upload: Upload | None = None
    _body_complete = False
    _discarding_body = False
    _task: "asyncio.Task[None] | None" = None

    def prepare(self) -> None:
        """Check the request by its headers."""
        self._arrived_at = asyncio.get_running_loop().time()
        self._body_chunks: list[bytes] = []
        self._received_bytes = 0
        self._reservation = self.router.bodies.reserve()
        self._body_timeout = BodyTimeout(self._close_connection)
        service, path = self.path_args
        result = self._check(service, path).bind(self._reserve)
        if result.is_error():
            self._refuse_early(result.error)
            return
        self._accepted = result.ok
        if (self._content_length or 0) > self.router.settings.limits.body_bytes:
            self._begin_upload()
        self._body_timeout.start()

    async def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, or forward it."""
        self._body_timeout.stop()
        self._received_bytes += len(chunk)
        if self._accepted is None or self._finished or self._discarding_body:
            return
        limits = self.router.settings.limits
        if self._received_bytes > limits.upload_bytes:
            self._refuse_early(Fault(ErrorKind.BODY_TOO_LARGE, Ran.UNKNOWN))
            return
        if self._upload is not None:
            await self._upload.put(chunk)
            self._body_timeout.start()
            return
        self._body_chunks.append(chunk)
        if self._content_length is None:
            self._reserve_chunk(len(chunk))
        self._body_timeout.start()

    async def handle(self, service: str, path: str) -> None:
        """Run a request once its body is complete, and respond."""
        self._body_timeout.stop()
        self._body_complete = True
        if self._discarding_body:
            self.finish()
            return
        if self._accepted is None:
            return
        if self._upload is not None:
            await self._upload.end()
        else:
            self._start(self._with_body(self._accepted))
        assert self._task is not None
        await asyncio.wait([self._task])
        if self._discarding_body and not self._finished:
            self.finish()
        if self._task.cancelled():
            # the caller closed the connection
            return
        self._task.result()

    get = post = put = patch = delete = head = options = handle

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        self._body_timeout.stop()
        if self._task is not None:
            self._task.cancel()
        self._release()

    def on_finish(self) -> None:
        """Release the memory reserved for the body."""
        self._body_timeout.stop()
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
            self._send_refusal(result.error, verified=True)
            return
        self.router.metrics.count("request.answered")

    def _begin_upload(self) -> None:
        """Run the request now and stream the rest of its body as it arrives."""
        assert self._accepted is not None
        self._upload = Upload()
        request = self._accepted
        headers = request.headers.copy()
        if self._content_length is not None:
            headers["Content-Length"] = str(self._content_length)
        body = b"".join(self._body_chunks)
        self._body_chunks.clear()
        self._start(replace(request, headers=headers, body=body, upload=self._upload))

    def _reserve_chunk(self, size: int) -> None:
        """Reserve memory for a chunk of a body without Content-Length."""
        assert self._reservation is not None and self._accepted is not None
        if self._received_bytes > self.router.settings.limits.body_bytes:
            if self._accepted.kind_entry.repeatable:
                self._begin_upload()
                return
            self._refuse_early(Fault(ErrorKind.BODY_TOO_LARGE))
            return
        reserved = self._reservation.grow(size)
        if reserved.is_error():
            self._refuse_early(reserved.error)

    def _release(self) -> None:
        if self._reservation is not None:
            self._reservation.release()

    def _close_connection(self) -> None:
        stream = getattr(self.request.connection, "stream", None)
        if stream is not None:
            stream.close()

    def _refuse_early(self, fault: Fault) -> None:
        self._accepted = None
        self._body_chunks.clear()
        if self._task is not None:
            self._task.cancel()
        if self._headers_written:
            self._close_connection()
            return
        self._send_refusal(fault, verified=False)

    def _send_refusal(self, fault: Fault, verified: bool) -> None:
        """Refuse a request whose body may not have arrived completely.

        Closing at once would reset the connection while the caller sends, and its
        operating system would discard the response unread. So the response is sent
        completely, and the rest of the body is read for a while and discarded.
        """
        if not self._body_incomplete or "Expect" in self.request.headers:
            self.refuse(fault, verified)
            return
        self._discarding_body = True
        self.set_header("Connection", "close")
        self.refuse(fault, verified, keep_open=True)
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self._close_if_unfinished)

    @property
    def _body_incomplete(self) -> bool:
        """Whether more of the body may arrive."""
        if self._body_complete:
            return False
        if self._content_length is not None:
            return self._received_bytes < self._content_length
        return "Transfer-Encoding" in self.request.headers

    def _close_if_unfinished(self) -> None:
        if not self._finished:
            self._close_connection()

    def _record(
        self, request: CallerRequest, sink: HandlerSink, result: Result[None, Fault]
    ) -> None:
        failed = sink.aborted
        if result.is_error():
            failed = (
                FAULT_RESPONSES[result.error.kind].status >= MIN_SERVER_ERROR_STATUS
            )
        seconds = asyncio.get_running_loop().time() - self._arrived_at
        self.router.node.objectives.record(
            request.organisation, request.service, request.kind, seconds, failed
        )

    @property
    def _content_length(self) -> int | None:
        text = self.request.headers.get("Content-Length")
        return int(text) if text is not None else None

    def _check(self, service: str, path: str) -> Result[CallerRequest, Fault]:
        limits = self.router.settings.limits
        if header_size(self.request.headers) > limits.header_bytes:
            return Error(Fault(ErrorKind.HEADERS_TOO_LARGE))
        if (self._content_length or 0) > limits.upload_bytes:
            return Error(Fault(ErrorKind.BODY_TOO_LARGE))
        version = self.router.version
        if version is None:
            return Error(Fault(ErrorKind.NOT_CONFIGURED))
        organisation = self.router.authenticator.organisation_of(
            version, self.request.headers.get("Authorization", "")
        )
        if organisation is None:
            return Error(Fault(ErrorKind.UNAUTHENTICATED))
        service_entry = version.document.services.get(service)
        if service_entry is None:
            return Error(Fault(ErrorKind.NOT_FOUND))
        if service not in version.document.organisations[organisation].services:
            return Error(Fault(ErrorKind.FORBIDDEN))
        kind = match_kind(service_entry, self.request.method or "", path)
        if kind.is_error():
            return Error(kind.error)
        return self._make_request(version, organisation, service, kind.ok, path)

    def _reserve(self, request: CallerRequest) -> Result[CallerRequest, Fault]:
        assert self._reservation is not None
        size = self._content_length or 0
        if size > self.router.settings.limits.body_bytes:
            size = MAX_BUFFERED_BYTES
        return self._reservation.grow(size).map(lambda _: request)

    def _make_request(
        self, version: Version, organisation: str, service: str, kind: str, path: str
    ) -> Result[CallerRequest, Fault]:
        kind_entry = version.document.services[service].kinds[kind]
        rejection = self.router.node.drain.rejection()
        if rejection is not None and kind_entry.repeatable:
            return Error(rejection)
        buffer_limit = self.router.settings.limits.body_bytes
        if not kind_entry.repeatable and (self._content_length or 0) > buffer_limit:
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
                deadline=now + kind_entry.deadline,
            )
        )

    def _with_body(self, request: CallerRequest) -> CallerRequest:
        body = b"".join(self._body_chunks)
        self._body_chunks.clear()
        headers = request.headers.copy()
        headers["Content-Length"] = str(len(body))
        return replace(request, headers=headers, body=body)
