"""Build a document from chunks, parsing only new ones."""

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
"""Validates the entries of each section."""

_service = TypeAdapter(Service)


@dataclass(frozen=True)
class _BuiltService:
    """A service and the values that it was built from."""

    inputs: tuple[Any, ...]
    service: Service


class DocumentBuilder:
    """Builds documents and caches the parsed chunks of the last one.

    Parsing 750 organisations again for each of thousands of changes a day would
    take noticeable processor time on every node. A chunk that two versions share
    is parsed once, and a service is rebuilt only if one of its inputs changed.
    """

    def __init__(self) -> None:
        self._parsed: dict[tuple[str, str], dict[str, Any]] = {}
        self._services: dict[str, _BuiltService] = {}

    def build(
        self, manifest: VersionManifest, chunks: Mapping[str, bytes]
    ) -> Result[Document, list[str]]:
        """Build the document of a version.

        Parameters
        ----------
        manifest : VersionManifest
            Lists the digests of the chunks.
        chunks : mapping of str to bytes
            Content by digest, at least of all listed chunks.

        Returns
        -------
        Result of Document or list of str
            The document, or the faults that were found.
        """
        faults: list[str] = []
        parsed = {
            (section, digest): self._parse(section, digest, chunks, faults)
            for section, digests in manifest.sections.items()
            for digest in digests
        }
        unknown = [name for name in manifest.sections if name not in ENTRY_TYPES]
        faults += [f"section {name}: unknown to this release" for name in unknown]
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
        cached = self._parsed.get((section, digest))
        if cached is not None:
            return cached
        adapter = ENTRY_TYPES.get(section)
        if adapter is None:
            return {}
        try:
            return adapter.validate_python(unpack_chunk(chunks[digest]))
        except ChunkError as error:
            faults.append(f"{section}: {error}")
        except ValidationError as error:
            for entry in error.errors(include_url=False, include_input=False):
                path = ".".join(str(key) for key in entry["loc"])
                faults.append(f"{section}.{path}: {entry['msg']}")
        return {}

    def _build_services(
        self, merged: Mapping[str, dict[str, Any]], faults: list[str]
    ) -> dict[str, _BuiltService]:
        endpoints: dict[str, dict[str, Endpoint]] = {n: {} for n in merged["services"]}
        for path, endpoint in sorted(merged[ENDPOINTS].items()):
            service, _, name = path.partition("/")
            if service in endpoints:
                endpoints[service][name] = endpoint
        built = {}
        for name, service_entry in merged["services"].items():
            inputs = (service_entry, endpoints[name])
            old = self._services.get(name)
            # comparison is fast: endpoints of an unchanged chunk are identical objects
            if old is not None and old.inputs == inputs:
                built[name] = old
                continue
            value = {**service_entry, ENDPOINTS: endpoints[name]}
            try:
                built[name] = _BuiltService(inputs, _service.validate_python(value))
            except ValidationError as error:
                for entry in error.errors(include_url=False, include_input=False):
                    path = ".".join(str(key) for key in entry["loc"])
                    faults.append(f"services.{name}.{path}: {entry['msg']}")
        return built
