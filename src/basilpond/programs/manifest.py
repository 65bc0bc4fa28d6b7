"""``basilpond-manifest``: check, compare and publish manifests.

Exit codes: 0 done, 1 rejected or different, 2 invalid manifest, 3 log or
routers unreachable.
"""

from __future__ import annotations

from pathlib import Path
import sys

import defopt
import msgspec

from ..core import LogUnavailableError
from ..core import decode_manifest
from ..core import diff_manifests
from ..core import manifest_schema
from ..tasks import LogClient
from ..tasks import ManifestInForce
from ..tasks import ManifestPublisher
from ._operator_client import OperatorClient
from ._operator_client import operator_key
from ._output import EXIT_OK
from ._output import EXIT_REJECTED
from ._output import EXIT_UNAVAILABLE
from ._output import run_command
from ._output import write_json
from ._output import write_line
from ._output import write_table

PUBLISH_TIMEOUT_S = 30.0
# Sentinel for the version in force, which is then read from the log.
VERSION_IN_FORCE = -1


def schema() -> None:
    """Print the JSON Schema of manifests."""
    write_json(manifest_schema())


def check(file: Path) -> None:
    """Validate a manifest and name the first invalid field.

    Parameters
    ----------
    file : Path
        Manifest in JSON.
    """
    run_command(_check(file))


def diff(file: Path, *, log_url: str) -> None:
    """Print how a manifest differs from the one in force.

    Parameters
    ----------
    file : Path
        Manifest in JSON.
    log_url : str
        Base address of the platform's log.
    """
    run_command(_diff(file, log_url))


def publish(
    file: Path,
    *,
    log_url: str,
    replaces: int = VERSION_IN_FORCE,
    timeout_s: float = PUBLISH_TIMEOUT_S,
) -> None:
    """Publish a manifest; it is rejected if another one was first.

    Parameters
    ----------
    file : Path
        Manifest in JSON.
    log_url : str
        Base address of the platform's log.
    replaces : int
        Version that the manifest replaces; the version in force by default.
        A pipeline names the version that it read its inputs from.
    timeout_s : float
        Time limit in seconds for the log to accept or reject it.
    """
    run_command(_publish(file, log_url, replaces, timeout_s))


def status(*routers: str, log_url: str = '') -> None:
    """Print the version in force in the log and at each router.

    The operator key is read from BASILPOND_OPERATOR_KEY.

    Parameters
    ----------
    routers : str
        Operator addresses, ip:port.
    log_url : str
        Base address of the platform's log.
    """
    run_command(_status(routers, log_url))


def _read_file(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        sys.stderr.write(f'{file}: {error.strerror}\n')
        raise SystemExit(2) from None


async def _check(file: Path) -> int:
    decode_manifest(_read_file(file))
    write_line('valid')
    return EXIT_OK


async def _read_in_force(log_url: str) -> ManifestInForce:
    log = LogClient(log_url)
    try:
        return await ManifestPublisher(log).read()
    finally:
        await log.close()


async def _diff(file: Path, log_url: str) -> int:
    new = decode_manifest(_read_file(file))
    in_force = await _read_in_force(log_url)
    old = None
    if in_force.document is not None:
        old = decode_manifest(in_force.document)
    changes = list(diff_manifests(old, new))
    for change in changes:
        write_json(change)
    return EXIT_REJECTED if changes else EXIT_OK


async def _publish(
    file: Path, log_url: str, replaces: int, timeout_s: float
) -> int:
    # Encoded without whitespace, because every router stores the document.
    document = msgspec.json.encode(decode_manifest(_read_file(file)))
    log = LogClient(log_url)
    publisher = ManifestPublisher(log)
    try:
        if replaces == VERSION_IN_FORCE:
            replaces = (await publisher.read()).version
        result = await publisher.publish(
            document, replaces, timeout_s=timeout_s
        )
    finally:
        await log.close()
    write_json(
        {
            'accepted': result.accepted,
            'version': result.version,
            'replaces': replaces,
            'reason': result.reason,
        }
    )
    return EXIT_OK if result.accepted else EXIT_REJECTED


async def _status(routers: tuple[str, ...], log_url: str) -> int:
    rows = []
    code = EXIT_OK
    if log_url:
        try:
            version = str((await _read_in_force(log_url)).version)
        except LogUnavailableError:
            version, code = 'unreachable', EXIT_UNAVAILABLE
        rows.append(('log', version, ''))
    client = OperatorClient(operator_key())
    for reply in await client.request_all(routers, 'GET', '/state'):
        if reply.status == 200:
            rows.append(
                (
                    reply.address,
                    str(reply.body['manifest_version']),
                    'ready' if reply.body['ready'] else 'not ready',
                )
            )
        else:
            reason = reply.error or f'HTTP {reply.status}'
            rows.append((reply.address, '-', reason))
            code = EXIT_UNAVAILABLE
    write_table(('where', 'version', 'state'), rows)
    return code


def main() -> None:
    """Parse arguments and run."""
    defopt.run([schema, check, diff, publish, status])


if __name__ == '__main__':
    main()
