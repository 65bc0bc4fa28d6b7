"""Access to bills of keyed requests and to responses stored by peers."""

from __future__ import annotations

from ... import protocol
from ...core import BasilpondError
from ...core import Bill
from ..budgets import BudgetTask
from ..budgets import Members
from ..budgets import Peers
from ..requests import PeerResponse

FETCH_TIMEOUT_S = 2.0


class PeerResponses:
    """Implementation of `ResponseSource` by calls to the other routers.

    Parameters
    ----------
    budget : BudgetTask
        Source of the bills.
    members : Members
        Lists the live routers.
    peers : Peers
        Sends the calls.
    """

    def __init__(
        self, budget: BudgetTask, members: Members, peers: Peers
    ) -> None:
        self.budget = budget
        self.members = members
        self.peers = peers

    def recorded_bill(self, organisation: str, request_id: str) -> Bill | None:
        """Return the bill of a keyed request, or None if the log has none."""
        return self.budget.recorded_bill(organisation, request_id)

    async def fetch_response(self, bill: Bill) -> PeerResponse | None:
        """Fetch the response from the router that billed the request.

        Parameters
        ----------
        bill : Bill

        Returns
        -------
        PeerResponse or None
            None if that router is not live, does not reply within
            `FETCH_TIMEOUT_S`, or no longer stores the response.
        """
        holder = self.budget.holder_of(bill)
        for member in self.members.live():
            if member.incarnation_id == holder:
                break
        else:
            return None
        request = protocol.FetchAnswer(
            organisation=bill.organisation, request_id=bill.request_id
        )
        try:
            reply = await self.peers.call(
                member,
                protocol.Frame(fetch_answer=request),
                timeout_s=FETCH_TIMEOUT_S,
            )
        except BasilpondError:
            return None
        stored = reply.fetch_answer_reply
        if (
            stored is None
            or not stored.status
            or stored.body_digest != bill.body_digest
        ):
            return None
        return PeerResponse(stored.status, stored.content_type, stored.body)
