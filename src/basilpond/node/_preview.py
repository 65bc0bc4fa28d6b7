"""Preview of where a request would go now, without any effect.

Whatever a choice reads that has an effect on later ones, such as speeds that
are computed anew when they are read, is read from copies. The generator is
copied as well, so the preview tells what happens to a request that arrives
next.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

import msgspec

from ..http1 import CallerRequest
from ..routing import Catalogue
from ..routing import Organisation
from ..routing import Route
from ..routing import choose_service
from ..routing.capacity import RequestDemand
from ._budgets import HoldRejection
from ._internal_server import InternalResponse
from ._preview_choice import EndpointPreview
from ._preview_choice import PreviewSources
from ._preview_outcome import Answer
from ._preview_outcome import Outcome
from ._preview_outcome import seconds
from ._preview_query import PreviewError
from ._preview_query import PreviewQuery
from ._preview_query import parse_query
from ._request_context import effective_priority

PREVIEW_PATH = b'/preview'


class RequestPreview:
    """Tells where requests would go.

    Parameters
    ----------
    sources : PreviewSources
    is_refusing : callable
        Returns whether the router stops and refuses new requests.
    admission_control : bool
        Whether less urgent prompts wait for room; the answer says so, but
        does not tell how long.
    """

    def __init__(
        self,
        sources: PreviewSources,
        is_refusing: Callable[[], bool] = lambda: False,
        *,
        admission_control: bool = False,
    ) -> None:
        self._sources = sources
        self._is_refusing = is_refusing
        self._admission_control = admission_control

    def respond(self, request: CallerRequest) -> InternalResponse:
        """Respond to a request to the preview path."""
        status = 200
        fields = [(b'content-type', b'application/json')]
        try:
            if request.method != b'GET':
                fields.append((b'allow', b'GET'))
                raise PreviewError(405, 'only GET is allowed')
            answer = self.preview(parse_query(request.target, request.headers))
        except PreviewError as error:
            status = error.status
            answer = {'error': error.reason}
        return status, fields, msgspec.json.encode(answer)

    def preview(self, query: PreviewQuery) -> Answer:
        """Return where a request would go, and why.

        Raises
        ------
        PreviewError
        """
        sources = self._sources
        catalogue = sources.configuration.serving
        if catalogue is None:
            raise PreviewError(503, 'no configuration yet')
        route = catalogue.find_route(query.host.partition(':')[0], query.path)
        if route is None:
            raise PreviewError(
                400,
                'no route for this host and path in version'
                f' {catalogue.version}',
            )
        # A copy of the generator draws what the next request would draw.
        rng = random.Random()
        rng.setstate(sources.rng.getstate())
        outcome = Outcome()
        if self._is_refusing():
            outcome.refuse(503, 'router stops')
        organisation = catalogue.find_organisation(query.key)
        key = _key_state(catalogue, route, organisation, query)
        if key in ('missing', 'unknown'):
            refusal = sources.currency.refusal(
                401, f'unknown key in version {catalogue.version}'
            )
            outcome.refuse(refusal.status, refusal.reason)
        service = choose_service(route, rng.random())
        if service is None:
            outcome.refuse(503, 'route has no service')
        answer: Answer = {
            'router': sources.node_id,
            'version': catalogue.version,
            'route': {
                'name': route.name,
                'kind': route.kind.value,
                'host': route.host,
                'prefix': route.path_prefix,
                'priority': effective_priority(route, organisation),
                'objective_s': route.objective_s,
            },
            'key': key,
            'organisation': organisation and organisation.name,
            'service': service,
            'services': [
                {'service': name, 'weight': weight}
                for name, weight in route.split
            ],
            'load': self._load(route, organisation, query, outcome),
        }
        choice = EndpointPreview(sources, route, service or '', query)
        choice.check_open(outcome)
        answer['budget'] = self._budget(organisation, query, outcome)
        endpoints, compared = choice.compare(rng, outcome)
        chosen = None
        if outcome.status is None and compared:
            # If the request waits, the choice is made again after the wait.
            chosen = compared[0]['endpoint']
        answer |= {
            'waiting_requests': sources.returns.waiting_for(service or ''),
            'admission_control': self._admission_control
            and route.generates
            and query.prompt_tokens > 0,
            'endpoints': endpoints,
            'compared': compared,
            'chosen': chosen,
            **outcome.answer(),
        }
        return answer

    def _load(
        self,
        route: Route,
        organisation: Organisation | None,
        query: PreviewQuery,
        outcome: Outcome,
    ) -> Answer:
        demand = RequestDemand(
            effective_priority(route, organisation),
            route.objective_s,
            waited_s=0.0,
            left_s=min(route.timeout_s, route.patience_s),
            body_bytes=query.body_bytes,
        )
        verdict = self._sources.overload.preview(
            demand, asyncio.get_running_loop().time()
        )
        if verdict.reason is not None:
            outcome.refuse(503, verdict.reason)
        return {
            'admitted': verdict.reason is None,
            'reason': verdict.reason,
            'wait_s': seconds(verdict.wait_s),
            'max_wait_s': seconds(verdict.max_wait_s),
        }

    def _budget(
        self,
        organisation: Organisation | None,
        query: PreviewQuery,
        outcome: Outcome,
    ) -> Answer | None:
        budgets = self._sources.budgets
        name = organisation.name if organisation is not None else ''
        if name not in budgets.allotments.balances():
            return None
        tokens = query.bound_tokens
        free = budgets.allotments.free_tokens(name, budgets.boot_ms())
        rejection = budgets.find_rejection(name, tokens) if tokens else None
        fits = not tokens or free >= tokens
        if not fits and rejection is HoldRejection.EXHAUSTED:
            refusal = self._sources.currency.refusal(402, 'budget exhausted')
            outcome.refuse(refusal.status, refusal.reason)
        elif not fits and rejection is not None:
            outcome.refuse(503, rejection.value)
        elif not fits:
            outcome.wait('tokens of the organisation', None)
        return {
            **budgets.rejection_inputs(name, tokens),
            'free': free,
            'fits': fits,
            'exhausted': rejection is HoldRejection.EXHAUSTED,
        }


def _key_state(
    catalogue: Catalogue,
    route: Route,
    organisation: Organisation | None,
    query: PreviewQuery,
) -> str:
    if organisation is not None:
        return 'known'
    if catalogue.organisations is None or route.public:
        return 'not needed'
    return 'missing' if query.key is None else 'unknown'
