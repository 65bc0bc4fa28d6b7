"""Checks of the promises on the records of log, endpoints and callers.

Every checker is a pure function and returns what it found, one entry for
each violation. Bills are recomputed here from the log, independently of the
router's fold.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

from basilpond.core._codes import ResultCode
from basilpond.core._manifest import Model

from . import engine
from . import service
from . import workload
from ._audit_accounts import Accounts
from ._audit_accounts import LoggedBill
from ._audit_manifests import ManifestVersion
from ._audit_manifests import accepted_manifests
from ._audit_manifests import paid_tokens
from ._observations import Attempt
from ._observations import Observation

__all__ = [
    'Accounts',
    'Evidence',
    'Report',
    'accepted_manifests',
    'billed_twice',
    'check',
    'complete_unbilled',
    'false_refusals',
    'non_idempotent_twice',
    'overspend_tokens',
    'untruthful_not_run',
    'wrong_amounts',
    'wrong_or_partial_answers',
]

# Result codes that tell a caller about its own other request.
_EXPECTED_OF_REPEATS = frozenset(
    {
        ResultCode.KEY_REUSED_WITH_OTHER_BODY,
        ResultCode.CLAIM_IN_PROGRESS,
        ResultCode.CLAIM_OUTCOME_UNKNOWN,
        ResultCode.RERUN_LIMIT,
    }
)
_OF_BUDGET = frozenset(
    {ResultCode.BUDGET_EXHAUSTED, ResultCode.ALLOTMENT_UNAVAILABLE}
)
_OF_LOG = frozenset(
    {
        ResultCode.CLAIM_LOG_UNAVAILABLE,
        ResultCode.LOG_UNAVAILABLE,
        ResultCode.LOG_RATE_LIMITED,
    }
)
# A router notices an outage and its end with its next poll of the log.
_OUTAGE_MARGIN_MS = 3000
# A configuration is in force everywhere within 5 s.
_CONFIG_MS = 5000
# A lost router's holds are free again when its peer has closed them.
_RECOVERY_MS = 15_000
# Upper bound on what a router adds to the prompt's bytes for each message.
_MESSAGE_MARGIN_TOKENS = 64


@dataclasses.dataclass(slots=True)
class Evidence:
    """All records of one run.

    Parameters
    ----------
    accounts : Accounts
    manifests : list of ManifestVersion
    observations : list of Observation
    engine_runs : list of engine.RunRecord
    service_runs : list of service.RunRecord
    outages_ms : list of tuple
        Start and end of each planned outage of the log.
    """

    accounts: Accounts
    manifests: list[ManifestVersion]
    observations: list[Observation]
    engine_runs: list[engine.RunRecord] = dataclasses.field(
        default_factory=list
    )
    service_runs: list[service.RunRecord] = dataclasses.field(
        default_factory=list
    )
    outages_ms: list[tuple[int, int]] = dataclasses.field(default_factory=list)


def _identity(observation: Observation) -> str:
    return observation.key or observation.request.id


def _same_requests(
    observations: Iterable[Observation],
) -> Iterator[list[Observation]]:
    """Yield the observations of each request and its repeats."""
    groups = collections.defaultdict(list)
    for observation in observations:
        request = observation.request
        identity = (
            request.organisation,
            _identity(observation),
            request.other_body,
        )
        groups[identity].append(observation)
    return iter(groups.values())


def _bills_of(evidence: Evidence) -> dict[tuple[str, str], LoggedBill]:
    return {
        (logged.bill.organisation, logged.bill.request_id): logged
        for logged in evidence.accounts.counted()
    }


def _request_ids(group: list[Observation]) -> set[tuple[str, str]]:
    """Return organisation and ids under which a request may be billed."""
    organisation = group[0].request.organisation
    ids = {observation.key for observation in group}
    for observation in group:
        ids.update(attempt.request_id for attempt in observation.attempts)
    return {(organisation, request_id) for request_id in ids if request_id}


def billed_twice(evidence: Evidence) -> list[str]:
    """Find requests with more than one bill that counts.

    A request without a key that its caller sends again is another request.
    """
    bills = _bills_of(evidence)
    found = []
    for group in _same_requests(evidence.observations):
        ids = _request_ids(group) & bills.keys()
        allowed = 1 if group[0].key else len(group[0].attempts)
        if len(ids) > allowed:
            found.append(f'{_identity(group[0])}: billed as {sorted(ids)}')
    return found


def complete_unbilled(evidence: Evidence) -> list[str]:
    """Find complete answers without a bill that counts."""
    bills = _bills_of(evidence)
    found = []
    for group in _same_requests(evidence.observations):
        complete = any(
            attempt.complete
            for observation in group
            for attempt in observation.attempts
        )
        if complete and not _request_ids(group) & bills.keys():
            found.append(f'{_identity(group[0])}: complete without a bill')
    return found


def wrong_amounts(
    evidence: Evidence,
    own_cost: Callable[[workload.Request], int] | None = None,
) -> list[str]:
    """Find bills of complete answers that differ from price and usage.

    Parameters
    ----------
    evidence : Evidence
    own_cost : callable, optional
        Cost of a chat by the router's own count, where that is right, too.
    """
    bills = _bills_of(evidence)
    costs = collections.defaultdict(set)
    for group in _same_requests(evidence.observations):
        # A key that is used with two bodies may be billed for either.
        for identity in _request_ids(group) & bills.keys():
            costs[identity].add(_cost(evidence, group[0].request))
            if own_cost is not None and group[0].request.is_chat:
                costs[identity].add(own_cost(group[0].request))
    return [
        f'{identity}: billed {bills[identity].bill.tokens} tokens instead of '
        f'{sorted(expected)}'
        for identity, expected in costs.items()
        if bills[identity].bill.outcome == 'complete'
        and bills[identity].bill.tokens not in expected
    ]


def _model(evidence: Evidence, request: workload.Request) -> Model:
    manifest = evidence.manifests[-1].manifest
    name = workload.MODELS[request.kind]
    (model,) = (model for model in manifest.models if model.id == name)
    return model


def _prices(evidence: Evidence, request: workload.Request) -> tuple[int, int]:
    """Return the prices of a prompt and an output token of a chat."""
    model = _model(evidence, request)
    return model.prompt_price_tokens, model.output_price_tokens


def _call_price(evidence: Evidence, request: workload.Request) -> int:
    method, path, _ = request.http()
    path = path.removeprefix(f'/v1/services/{workload.SERVICE}')
    for offered in evidence.manifests[-1].manifest.services:
        for route in offered.routes:
            prefix = route.path.removesuffix('*')
            matches = (
                path.startswith(prefix)
                if route.path.endswith('/*')
                else path == route.path
            )
            if route.method == method and matches:
                return route.call_price_tokens
    raise ValueError(f'{request.id}: no route for {method} {path}')


def _cost(evidence: Evidence, request: workload.Request) -> int:
    """Return what a complete answer costs, in budget tokens."""
    if not request.is_chat:
        return _call_price(evidence, request)
    *_, body = request.http()
    prompt_price, output_price = _prices(evidence, request)
    prompt_tokens, output_tokens = engine.expected_usage(body)
    return prompt_price * prompt_tokens + output_price * output_tokens


def _bound(evidence: Evidence, request: workload.Request) -> int:
    """Return an upper bound on what admission holds."""
    if not request.is_chat:
        return _call_price(evidence, request)
    *_, body = request.http()
    prompt_price, output_price = _prices(evidence, request)
    prompt_tokens = len(body) + 2 * _MESSAGE_MARGIN_TOKENS
    if request.image:
        # Admission holds the model's declared size of an image, because the
        # router does not fetch it.
        prompt_tokens += _model(evidence, request).image_tokens
    return prompt_price * prompt_tokens + output_price * request.max_tokens


def overspend_tokens(evidence: Evidence) -> int:
    """Return the tokens spent over the organisations' budgets.

    The budgets in the ledger must also be those of the accepted manifests.
    """
    published = {
        version.version: paid_tokens(version.manifest)
        for version in evidence.manifests
    }
    total = 0
    for organisation, budget in evidence.accounts.budgets.items():
        paid = published.get(budget.manifest_version, {}).get(organisation, 0)
        total += max(0, budget.overspend_tokens, budget.spent_tokens - paid)
    return total


def non_idempotent_twice(evidence: Evidence) -> list[str]:
    """Find non-idempotent calls that ran more than once.

    The workload gives each such call a body and target of its own, so the
    check does not depend on a router that forwards the key.
    """
    by_body: collections.Counter[str] = collections.Counter()
    bodies_of_key = collections.defaultdict(set)
    for run in evidence.service_runs:
        # The target of a booking is the order that this run made.
        target = '' if run.call == 'booking' else run.target
        body = f'{run.call} {target} {run.body_digest}'
        by_body[body] += 1
        if run.idempotency_key:
            bodies_of_key[run.idempotency_key].add(body)
    return [body for body, runs in by_body.items() if runs > 1] + [
        f'key {key}'
        for key, bodies in bodies_of_key.items()
        if len(bodies) > 1
    ]


def wrong_or_partial_answers(evidence: Evidence) -> list[str]:
    """Find complete answers that differ, and others that are no prefix.

    An answer must be that of one version that ran the request.
    """
    found = []
    versions = collections.defaultdict(set)
    for run in evidence.engine_runs:
        versions[run.content_digest].add(run.version)
    for observation in evidence.observations:
        request = observation.request
        for attempt in observation.attempts:
            if attempt.done and not 200 <= attempt.status < 300:
                continue
            if request.is_chat:
                right = _chat_is_right(request, attempt, versions)
            else:
                right = not attempt.complete or _call_is_right(
                    request, attempt
                )
            if not right:
                found.append(f'{request.id}: {attempt.text[:80]!r}')
    return found


def _chat_is_right(
    request: workload.Request,
    attempt: Attempt,
    versions: dict[str, set[int]],
) -> bool:
    """Compare an answer with those of the versions that ran the request.

    `versions` has them by content digest. Without a record of a run, the
    answer is compared with that of the default version.
    """
    *_, body = request.http()
    expected = [
        engine.expected_answer(body, version)
        for version in versions.get(engine.content_digest(body), {1})
    ]
    if attempt.complete:
        return attempt.text in expected
    return any(text.startswith(attempt.text) for text in expected)


def _call_is_right(request: workload.Request, attempt: Attempt) -> bool:
    try:
        answer = msgspec.json.decode(attempt.text, type=dict)
    except msgspec.MsgspecError:
        return False
    wanted = {
        'claim': {'spot': request.target, 'tag': request.text},
        'release': {'spot': request.target, 'tag': request.text},
        'spot_status': {'spot': request.target},
        'booking': {'festival': request.text},
        'order_status': {'order': request.target},
    }[request.kind]
    return wanted.items() <= answer.items()


def false_refusals(evidence: Evidence) -> list[str]:
    """Find refusals of requests that budget and endpoints could serve.

    A refusal for lack of budget is true when less than the request's bound
    is left of the paid budget, after what was billed and what requests in
    flight may cost. A refusal that names the log is explained by an outage.
    """
    found = []
    bills = _bills_of(evidence)
    for observation in evidence.observations:
        request = observation.request
        if observation.attempts[-1].refused:
            found.append(f'{request.id}: no router took it')
        for attempt in observation.attempts:
            if attempt.outcome != 'not-run':
                continue
            code = attempt.code
            if code in _EXPECTED_OF_REPEATS or (
                code in _OF_LOG and _in_outage(evidence, attempt)
            ):
                continue
            if code in _OF_BUDGET and _exhausted(
                evidence, bills, request, attempt.ended_ms
            ):
                continue
            found.append(
                f'{request.id}: refused with {code} by {attempt.router}'
            )
    return found


def _in_outage(evidence: Evidence, attempt: Attempt) -> bool:
    return any(
        start_ms - _OUTAGE_MARGIN_MS
        <= attempt.ended_ms
        <= end_ms + _OUTAGE_MARGIN_MS
        for start_ms, end_ms in evidence.outages_ms
    )


def _exhausted(
    evidence: Evidence,
    bills: dict[tuple[str, str], LoggedBill],
    request: workload.Request,
    time_ms: int,
) -> bool:
    paid = 0
    for version in evidence.manifests:
        if version.time_ms + _CONFIG_MS <= time_ms or paid == 0:
            paid = paid_tokens(version.manifest).get(request.organisation, 0)
    committed = 0
    for group in _same_requests(evidence.observations):
        other = group[0].request
        if other.organisation == request.organisation:
            committed += _committed(evidence, bills, group, time_ms)
    return paid - committed < _bound(evidence, request)


def _committed(
    evidence: Evidence,
    bills: dict[tuple[str, str], LoggedBill],
    group: list[Observation],
    time_ms: int,
) -> int:
    """Return the tokens that a request keeps from others at a time."""
    attempts = [
        attempt
        for observation in group
        for attempt in observation.attempts
        if not attempt.not_run and attempt.sent_ms <= time_ms
    ]
    held = 0
    for attempt in attempts:
        lost = not attempt.outcome
        free_ms = attempt.ended_ms + (_RECOVERY_MS if lost else 0)
        if time_ms < free_ms:
            held += _bound(evidence, group[0].request)
    if held or not attempts:
        return held
    ids = _request_ids(group) & bills.keys()
    return sum(bills[identity].bill.tokens for identity in ids)


def untruthful_not_run(evidence: Evidence) -> list[str]:
    """Find not-run answers to attempts that an endpoint ran.

    A run belongs to an attempt when the run's id contains the request id that
    only this attempt has. Where ids do not tell, it does when the run started
    during the attempt, and during no other attempt of the same request that
    may have run.
    """
    found = []
    for group in _same_requests(evidence.observations):
        runs = list(_runs_of(evidence, group))
        attempts = [a for o in group for a in o.attempts]
        ids = collections.Counter(a.request_id for a in attempts)
        may_run = [a for a in attempts if not a.not_run]
        for attempt in attempts:
            if attempt.outcome != 'not-run':
                continue
            own_id = attempt.request_id
            for run_id, start_ms in runs:
                if own_id and ids[own_id] == 1 and own_id in run_id:
                    ran = True
                else:
                    ran = _during(attempt, start_ms) and not any(
                        _during(other, start_ms) for other in may_run
                    )
                if ran:
                    found.append(f'{group[0].request.id}: ran as {run_id}')
    return found


def _during(attempt: Attempt, time_ms: int) -> bool:
    return attempt.sent_ms <= time_ms <= attempt.ended_ms


def _runs_of(
    evidence: Evidence, group: list[Observation]
) -> Iterator[tuple[str, int]]:
    """Yield id and start of the endpoints' runs of a request."""
    request = group[0].request
    *_, body = request.http()
    if request.is_chat:
        digest = engine.content_digest(body)
        for run in evidence.engine_runs:
            if run.content_digest == digest:
                yield run.attempt_id, run.received_ms
        return
    digest = service.body_digest(body)
    for run in evidence.service_runs:
        if run.call == request.kind and run.body_digest == digest:
            yield run.request_id, run.time_ms


class Report(msgspec.Struct):
    """Counts of one run; `found` names the violations."""

    requests: int = 0
    complete: int = 0
    not_run: int = 0
    failed: int = 0
    unknown: int = 0
    abandoned: int = 0
    billed: int = 0
    billed_twice: int = 0
    complete_unbilled: int = 0
    wrong_amounts: int = 0
    overspend_tokens: int = 0
    non_idempotent_twice: int = 0
    wrong_or_partial_answers: int = 0
    false_refusals: int = 0
    untruthful_not_run: int = 0
    found: list[str] = []

    def broken(self) -> list[str]:
        """Return the names of the broken promises."""
        zero = (
            'billed_twice',
            'complete_unbilled',
            'wrong_amounts',
            'overspend_tokens',
            'non_idempotent_twice',
            'wrong_or_partial_answers',
            'untruthful_not_run',
        )
        broken = [name for name in zero if getattr(self, name)]
        if self.false_refusals > 0.001 * self.requests:
            broken.append('false_refusals')
        return broken


_CHECKERS = (
    billed_twice,
    complete_unbilled,
    wrong_amounts,
    non_idempotent_twice,
    wrong_or_partial_answers,
    false_refusals,
    untruthful_not_run,
)


def check(evidence: Evidence) -> Report:
    """Run every checker."""
    report = Report(
        requests=len(evidence.observations),
        billed=sum(1 for _ in evidence.accounts.counted()),
        overspend_tokens=overspend_tokens(evidence),
    )
    for observation in evidence.observations:
        name = _final_outcome(observation)
        setattr(report, name, getattr(report, name) + 1)
    for checker in _CHECKERS:
        found = checker(evidence)
        setattr(report, checker.__name__, len(found))
        report.found += [f'{checker.__name__}: {line}' for line in found]
    return report


def _final_outcome(observation: Observation) -> str:
    last = observation.attempts[-1]
    if last.abandoned:
        return 'abandoned'
    if last.complete:
        return 'complete'
    if last.not_run:
        return 'not_run'
    return 'failed' if last.outcome == 'failed' else 'unknown'
