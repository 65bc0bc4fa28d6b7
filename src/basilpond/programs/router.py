"""``basilpond-router``: one router process."""

from __future__ import annotations

from ._hangup import ignore_hangup


def main() -> None:
    """Parse arguments and run."""
    ignore_hangup()
    import defopt

    from . import _router_service

    defopt.run(_router_service.run)


if __name__ == '__main__':
    main()
