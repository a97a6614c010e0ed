"""Build a document from chunks, parsing only those not seen before."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from teaselledge.version.document import (
    Document,
    Endpoint,
    Objective,
    Operator,
    Organisation,
    Service,
    Zone,
)
from teaselledge.version.head import VersionManifest
from teaselledge.version.sections import ENDPOINTS, ChunkError, unpack_chunk

__all__ = ["DocumentBuilder"]

ENTRY_TYPES: dict[str, Any] = {
    "zones": TypeAdapter(dict[str, Zone]),
    "organisations": TypeAdapter(dict[str, Organisation]),
    "services": TypeAdapter(dict[str, dict[str, Any]]),
    ENDPOINTS: TypeAdapter(dict[str, Endpoint]),
    "objectives": TypeAdapter(dict[str, Objective]),
    "operators": TypeAdapter(dict[str, Operator]),
}
"""How the entries of each section are read."""

_service = TypeAdapter(Service)


@dataclass(frozen=True)
class _Built:
    """A service and what it was made of."""

    parts: tuple[Any, ...]
    service: Service


class DocumentBuilder:
    """Builds documents and keeps the parsed chunks of the last one.

    Parsing 750 organisations anew for each of thousands of changes a day would
    show as processor time on every node. A chunk that two versions share is parsed
    once, and a service is built again only if one of its parts changed.
    """

    def __init__(self) -> None:
        self._parsed: dict[tuple[str, str], dict[str, Any]] = {}
        self._services: dict[str, _Built] = {}

    def build(
        self, head: VersionManifest, chunks: Mapping[str, bytes]
    ) -> Result[Document, list[str]]:
        """Build the document of a head.

        Parameters
        ----------
        head : Head
            Names the chunks.
        chunks : mapping of str to bytes
            Content by digest, at least of all that the head names.

        Returns
        -------
        Result of Document or list of str
            The document, or what can't be read.
        """
        faults: list[str] = []
        parsed = {
            (section, digest): self._parse(section, digest, chunks, faults)
            for section, digests in head.sections.items()
            for digest in digests
        }
        unknown = [name for name in head.sections if name not in ENTRY_TYPES]
        faults += [f"section {name}: not known to this release" for name in unknown]
        if faults:
            return Error(faults)
        merged: dict[str, dict[str, Any]] = {name: {} for name in ENTRY_TYPES}
        for (section, _), entries in parsed.items():
            merged[section].update(entries)
        services = self._build_services(merged, faults)
        if faults:
            return Error(faults)
        self._parsed = parsed
        self._services = services
        return Ok(
            Document(
                merged["zones"],
                merged["organisations"],
                {name: built.service for name, built in services.items()},
                merged["objectives"],
                merged["operators"],
            )
        )

    def _parse(
        self, section: str, digest: str, chunks: Mapping[str, bytes], faults: list[str]
    ) -> dict[str, Any]:
        known = self._parsed.get((section, digest))
        if known is not None:
            return known
        reader = ENTRY_TYPES.get(section)
        if reader is None:
            return {}
        try:
            return reader.validate_python(unpack_chunk(chunks[digest]))
        except ChunkError as error:
            faults.append(f"{section}: {error}")
        except ValidationError as error:
            for entry in error.errors(include_url=False, include_input=False):
                path = ".".join(str(part) for part in entry["loc"])
                faults.append(f"{section}.{path}: {entry['msg']}")
        return {}

    def _build_services(
        self, merged: Mapping[str, dict[str, Any]], faults: list[str]
    ) -> dict[str, _Built]:
        endpoints: dict[str, dict[str, Endpoint]] = {n: {} for n in merged["services"]}
        for path, endpoint in sorted(merged[ENDPOINTS].items()):
            service, _, name = path.partition("/")
            if service in endpoints:
                endpoints[service][name] = endpoint
        built = {}
        for name, plain in merged["services"].items():
            parts = (plain, endpoints[name])
            old = self._services.get(name)
            # endpoints that come from the same chunk compare by identity
            if old is not None and old.parts == parts:
                built[name] = old
                continue
            value = {**plain, ENDPOINTS: endpoints[name]}
            try:
                built[name] = _Built(parts, _service.validate_python(value))
            except ValidationError as error:
                for entry in error.errors(include_url=False, include_input=False):
                    path = ".".join(str(part) for part in entry["loc"])
                    faults.append(f"services.{name}.{path}: {entry['msg']}")
        return built
