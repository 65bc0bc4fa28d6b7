"""``basilpond-router``: one router process."""

from __future__ import annotations

from . import _process


def main() -> None:
    """Parse arguments and run."""
    _process.ignore_hangup()
    import defopt

    from . import _router_service

    defopt.run(_router_service.run)


if __name__ == '__main__':
    main()
