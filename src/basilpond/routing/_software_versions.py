"""At which software versions of a service streams may have begun.

What two versions of a server's software write does not fit together, and
servers do not check it: a stream may continue only at the version that began
it. Several versions serve side by side during a release.

Replays a release while callers take up broken streams again, at any router and
after all routers have lost their state. Routers register a version in the log
before the first stream begins at it. While one version of a service is
registered, each stream belongs to it, and nothing is stored for a stream.
While several are, routers store the version of each stream that begins, and a
stream that is not stored is of an unknown version.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

# Time in which all routers that reach the log have read a record: they read
# every 0.2 s.
_READ_BY_ALL_S = 0.4
# Time without any endpoint of a version after which its streams have ended,
# beyond the longest time limit of a stream. Entries lapse in an outage of the
# store, and endpoints may serve for seconds after they were removed.
RETIREMENT_S = 60.0

# A version of the software of a service. Without a service, some version of
# any service that nobody remembers.
ServiceVersion = tuple[str | None, str]
UNKNOWN_VERSION: ServiceVersion = (None, '')


@dataclasses.dataclass(slots=True)
class _Registration:
    # When it was read, if streams must not begin before others have read it.
    read_s: float | None
    # Whether the log of the present era contains it.
    written: bool = True
    # Whether it was removed from the log while an endpoint of it serves.
    must_rewrite: bool = False


class SoftwareVersions:
    """Registered versions, as far as one router knows them.

    Times are those of the event loop, in seconds.

    Examples
    --------
    >>> versions = SoftwareVersions()
    >>> versions.may_begin('model', 'v1')
    False
    >>> versions.apply(('model', 'v1'), now_s=0.0)
    >>> versions.may_begin('model', 'v1'), versions.sole('model')
    (True, 'v1')
    >>> versions.apply(('model', 'v2'), now_s=9.0)
    >>> versions.may_begin('model', 'v2'), versions.sole('model')
    (False, None)
    >>> versions.confirm_read(sent_s=9.5)
    >>> versions.may_begin('model', 'v2')
    True
    """

    __slots__ = ('_listed_s', '_registered')

    def __init__(self) -> None:
        self._registered: dict[ServiceVersion, _Registration] = {}
        # When an endpoint of a version was last listed.
        self._listed_s: dict[ServiceVersion, float] = {}

    # Records of the log.

    def apply(self, version: ServiceVersion, *, now_s: float) -> None:
        """Apply the record that registers a version."""
        known = self._registered.get(version)
        if known is not None:
            known.written = True
            known.must_rewrite = False
            return
        # The first version of a service needs no delay: there is no other
        # that its streams could be taken for.
        is_first = next(self.versions(version[0]), None) is None
        self._registered[version] = _Registration(None if is_first else now_s)
        self._listed_s.setdefault(version, now_s)

    def remove(self, version: ServiceVersion) -> None:
        """Apply the removal of a version."""
        self._registered.pop(version, None)

    def reject_removal(self, version: ServiceVersion) -> None:
        """Keep a version that the log lacks until it is registered again."""
        self._registered[version].must_rewrite = True

    def is_listed(self, version: ServiceVersion, *, now_s: float) -> bool:
        """Whether an endpoint of a version was recorded as listed now."""
        return self._listed_s.get(version, float('-inf')) >= now_s

    def apply_newest(
        self, versions: Iterable[ServiceVersion], *, now_s: float
    ) -> None:
        """Apply all versions that the log contains.

        Versions that the log has lost with its last records are kept.
        """
        listed = set(versions)
        for version, known in list(self._registered.items()):
            if version not in listed and known.written:
                del self._registered[version]
        for version in listed:
            self.apply(version, now_s=now_s)
            # Others have read it, too: a router starts, or many do.
            self._registered[version].read_s = None

    def begin_era(self) -> None:
        """Note that the log may have lost its last records."""
        for known in self._registered.values():
            known.written = False

    def confirm_read(self, sent_s: float) -> None:
        """Let streams begin at versions that all routers had time to read.

        Parameters
        ----------
        sent_s : float
            Send time of a read of the log that succeeded.
        """
        for known in self._registered.values():
            if (
                known.read_s is not None
                and sent_s - known.read_s >= _READ_BY_ALL_S
            ):
                known.read_s = None

    # Endpoints.

    def record_listed(
        self, versions: Iterable[ServiceVersion], *, now_s: float
    ) -> None:
        """Record the versions of the endpoints that are listed now."""
        for version in versions:
            self._listed_s[version] = now_s
        for version, listed_s in list(self._listed_s.items()):
            if version not in self._registered and listed_s < now_s:
                del self._listed_s[version]

    def unregistered(self) -> list[ServiceVersion]:
        """Return the listed versions that have to be registered."""
        return [
            version
            for version in self._listed_s
            if (known := self._registered.get(version)) is None
            or known.must_rewrite
        ]

    def retired(
        self, *, stream_life_s: float, now_s: float
    ) -> list[ServiceVersion]:
        """Return the versions whose streams have all ended.

        Parameters
        ----------
        stream_life_s : float
            Longest time for which a stream may be taken up.
        now_s : float
        """
        limit_s = now_s - RETIREMENT_S - stream_life_s
        return [
            version
            for version in self._registered
            if self._listed_s.get(version, now_s) < limit_s
            and (
                version == UNKNOWN_VERSION
                or self._others_listed(version, limit_s)
            )
        ]

    def _others_listed(self, version: ServiceVersion, limit_s: float) -> bool:
        return any(
            other[0] == version[0]
            and other != version
            and self._listed_s.get(other, limit_s) > limit_s
            for other in self._registered
        )

    # Streams.

    def versions(self, service: str | None) -> Iterator[str]:
        """Yield the registered versions of a service."""
        return (
            version for name, version in self._registered if name == service
        )

    def may_begin(self, service: str, version: str) -> bool:
        """Whether a stream may begin at a version."""
        known = self._registered.get((service, version))
        return (
            known is not None
            and known.read_s is None
            and not known.must_rewrite
        )

    def must_store(self, service: str) -> bool:
        """Whether the version of a stream that begins has to be stored."""
        return self.sole(service) is None

    def sole(
        self, service: str, more: Iterable[ServiceVersion] = ()
    ) -> str | None:
        """Return the version of all streams of a service, if there is one.

        Parameters
        ----------
        service : str
        more : iterable of ServiceVersion
            Registered besides those that were applied.
        """
        registered = {*self._registered, *more}
        if UNKNOWN_VERSION in registered:
            return None
        versions = {version for name, version in registered if name == service}
        return versions.pop() if len(versions) == 1 else None

    def registered(self) -> list[ServiceVersion]:
        """Return all registered versions."""
        return list(self._registered)
