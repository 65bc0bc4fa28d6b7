"""Tokens of prepaid budgets that killed routers have left unused."""

from __future__ import annotations


class LostTokens:
    """Estimates of the unused tokens in the accounts of killed routers.

    Nobody can tell what a killed router had used, so its account keeps all
    that it may have used. The estimates do not decide on grants; they reduce
    what the next kill can lose.

    Examples
    --------
    >>> lost = LostTokens()
    >>> lost.record('org', 'r1~a', 500)
    >>> lost.record('org', 'r1~a', 500)
    >>> lost.total('org'), lost.knows('org', 'r1~b')
    (500, False)
    """

    __slots__ = ('_tokens', '_totals')

    def __init__(self) -> None:
        self._tokens: dict[tuple[str, str], int] = {}
        self._totals: dict[str, int] = {}

    def record(self, organisation: str, holder: str, tokens: int) -> None:
        """Record the estimate for the account of a killed router.

        Parameters
        ----------
        organisation, holder : str
        tokens : int
        """
        known = self._tokens.get((organisation, holder), 0)
        self._tokens[organisation, holder] = tokens
        self._totals[organisation] = self.total(organisation) + tokens - known

    def knows(self, organisation: str, holder: str) -> bool:
        """Whether there is an estimate for an account."""
        return (organisation, holder) in self._tokens

    def total(self, organisation: str) -> int:
        """Return the sum of the estimates of an organisation, in tokens."""
        return self._totals.get(organisation, 0)
