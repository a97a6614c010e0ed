"""Write the documentation pages that are generated from the code.

``python tools/make_docs.py`` writes the pages; a test compares them with the code.
"""

import sys
from pathlib import Path

from teaselledge.errors import FAULT_RESPONSES
from teaselledge.metrics import METRICS
from teaselledge.process import settings
from teaselledge.version.document import Document
from teaselledge_fleet.process import metrics as fleet_metrics

from tools.capacity_page import capacity_page
from tools.reference import fill_block, reference

ROOT = Path(__file__).resolve().parent.parent

ERRORS_HEADER = """\
# Errors

Every error answer is `application/problem+json` (RFC 9457) with these members:

| member | meaning |
| --- | --- |
| `kind` | stable name from the table below |
| `ran` | whether an endpoint may have carried out the request |
| `status`, `title`, `type` | as RFC 9457 has them |
| `detail` | a sentence about this occurrence, where there is more to tell |
| `request_id` | the request's id, also in the header `X-Request-Id` |

`ran` speaks for all attempts under the same idempotency key:

- `no`: no endpoint has carried it out or will. Asking again is safe.
- `yes`: an endpoint has carried it out.
- `unknown`: it may have run or may still run. Ask `GET /v1/orders/{key}`, or send the
  order again under the same key, which never runs it twice.

`Retry-After` tells when asking again may help. An answer that has begun and can't be
completed ends with a closed connection, never as if it were whole.

## Kinds

| kind | status | meaning | retry after |
| --- | --- | --- | --- |
"""

FLEET_METRICS_HEADER = """\
# Metrics

## Routers on the platform

Served as text at `/metrics` on the metrics address, each name after `teaselledge_`.

| metric | kind | unit | labels | meaning |
| --- | --- | --- | --- | --- |
"""

METRICS_HEADER = """\

## The product's own interface

Sent by statsd over UDP where the settings name a `statsd` daemon, below the prefix
`teaselledge.<vm>`. A label follows the name after a dot.

| metric | kind | unit | meaning |
| --- | --- | --- | --- |
"""

SETTINGS_HEADER = """\
# Settings of a router

One YAML file a process, given by `teaselledge --settings FILE`. An unknown key, a
wrong type or a value out of range is refused with file, line, path, what was found and
what is allowed; all mistakes at once, exit code 2.
"""


def errors_page() -> str:
    """Return docs/ERRORS.md."""
    lines = []
    for kind, response in FAULT_RESPONSES.items():
        retry = "" if response.retry_after is None else f"{response.retry_after} s"
        lines.append(
            f"| `{kind.value}` | {response.status} | {response.title} | {retry} |"
        )
    return ERRORS_HEADER + "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return docs/METRICS.md."""
    lines = [
        f"| `{name}` | {metric.kind} | {metric.unit} | {metric.meaning} |"
        for name, metric in sorted(METRICS.items())
    ]
    fleet = [
        f"| `{name}` | {m.kind} | {m.unit} | {', '.join(m.labels)} | {m.description} |"
        for name, m in sorted(fleet_metrics.METRICS.items())
    ]
    return (
        FLEET_METRICS_HEADER
        + "\n".join(fleet)
        + "\n"
        + METRICS_HEADER
        + "\n".join(lines)
        + "\n"
    )


def settings_page() -> str:
    """Return docs/SETTINGS.md."""
    return f"{SETTINGS_HEADER}\n{reference(settings.Settings)}\n"


def configuration_page() -> str:
    """Return docs/CONFIGURATION.md, of which only the reference is generated."""
    page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    return fill_block(page, "document", Document)


PAGES = {
    "CAPACITY.md": capacity_page,
    "CONFIGURATION.md": configuration_page,
    "ERRORS.md": errors_page,
    "METRICS.md": metrics_page,
    "SETTINGS.md": settings_page,
}


def main() -> int:
    """Write all pages."""
    for name, make in PAGES.items():
        (ROOT / "docs" / name).write_text(make())
    return 0


if __name__ == "__main__":
    sys.exit(main())
