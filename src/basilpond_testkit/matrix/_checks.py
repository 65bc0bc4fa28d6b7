"""Checkers of the guarantees on a finished world, beside the audit's.

Each returns what it found, one entry for each violation.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from basilpond.core import ResultCode
from basilpond.core import chat_bound
from basilpond.core import parse_chat_request
from basilpond.core import prompt_bound_tokens
from basilpond.settings import LimitsSection

from .. import _answers
from .. import audit
from .. import workload
from .._observations import Attempt
from ._callers import Caller
from ._world import World

LEAVING_S = 5.0
MAX_CRASHES = 2
HTTP_OK = 200
USAGE_PATCHES = frozenset(('no_usage', 'wrong_usage', 'ignore_max_tokens'))


def overspend(world: World) -> list[str]:
    """Find budgets that were exceeded, now or in any prefix of the log."""
    tokens = audit.overspend_tokens(world.evidence())
    return [f'{tokens} tokens spent over the budget'] if tokens else []


def folds_differ(world: World) -> list[str]:
    """Find routers whose folded budget differs from a recomputed one."""
    found = []
    budgets = audit.Accounts(world.log.history['ledger']).budgets
    for router in world.all_routers:
        ledger = router.ledger_task.ledger
        if not (router.is_serving and router.ledger_task.log_reachable):
            continue
        for organisation, budget in budgets.items():
            view = ledger.budget(organisation)
            own = (view.spent_tokens, view.outstanding_tokens)
            right = (budget.spent_tokens, budget.outstanding_tokens)
            if own != right:
                found.append(
                    f'{router.router_id}: spent and outstanding {own} '
                    f'instead of {right}'
                )
    return found


def billed_twice(world: World) -> list[str]:
    """Find requests with more than one bill that counts."""
    return audit.billed_twice(world.evidence())


def unbilled(world: World) -> list[str]:
    """Find complete answers without a bill that counts."""
    return audit.complete_unbilled(world.evidence())


def wrong_amounts(world: World) -> list[str]:
    """Find bills of complete answers that differ from price and usage.

    Where an endpoint's usage was patched, the router's own count is right
    too.
    """
    return audit.wrong_amounts(
        world.evidence(), _own_count if world.usage_patched else None
    )


def _own_count(request: workload.Request) -> int:
    *_, body = request.http()
    chat = parse_chat_request(body)
    prompt_tokens = prompt_bound_tokens(
        chat.messages,
        margin_tokens_per_message=LimitsSection().margin_tokens_per_message,
        other_prompt_parts=chat.other_prompt_parts,
        image_tokens=0,
    )
    _, output_tokens = _answers.expected_usage(body)
    if not request.stream:
        output_tokens = len(_answers.expected_answer(body))
    bound = chat_bound(
        prompt_tokens=prompt_tokens,
        requested_output_tokens=chat.requested_output_tokens,
        max_output_tokens=4096,
        prompt_price_tokens=1,
        output_price_tokens=1,
    )
    return min(bound.cost_tokens, prompt_tokens + output_tokens)


def wrong_answers(world: World) -> list[str]:
    """Find answers that are not the caller's own or not whole.

    Tokens are relayed as they arrive, and a frame that the endpoint sent
    twice or too late looks like any other until the usage or the late frame
    shows it. Where frames were patched so, a stream that ended with the
    outcome `failed` may therefore differ; one that is complete may not.
    """
    evidence = world.evidence()
    if world.frames_patched:
        evidence.observations = [
            msgspec.structs.replace(
                observation,
                attempts=[
                    attempt
                    for attempt in observation.attempts
                    if attempt.complete or attempt.outcome != 'failed'
                ],
            )
            for observation in evidence.observations
        ]
    return audit.wrong_or_partial_answers(evidence)


def joined_versions(world: World) -> list[str]:
    """Find answers that hold words of more than one software version."""
    ran = {run.version for run in world.evidence().engine_runs}
    found = []
    for caller in world.callers:
        if not caller.request.is_chat:
            continue
        *_, body = caller.request.http()
        for attempt in caller.observation.attempts:
            if attempt.status != HTTP_OK:
                continue
            # Frames that an endpoint repeated or swapped look like words of
            # versions that never ran.
            versions = ran & _answers.versions_of_answer(body, attempt.text)
            if len(versions) > 1:
                found.append(f'{caller.request.id}: {sorted(versions)}')
    return found


def never_answered(world: World) -> list[str]:
    """Find callers of idempotent requests that end without an answer.

    All faults end, so a caller that sends its keyed request again must get
    the whole answer at last, unless its runs crash endpoints.
    """
    return [
        f'{caller.request.id}: '
        f'{[(a.router, a.status, a.outcome, a.code) for a in _last(caller)]}'
        for caller in world.callers
        if caller.must_complete
        and not caller.hung_up
        and not caller.complete
        and not _crashes_endpoints(world, caller.request)
    ]


def _crashes_endpoints(world: World, request: workload.Request) -> bool:
    return any(text in request.text for text in world.crash_texts)


def _last(caller: Caller) -> list[Attempt]:
    return caller.observation.attempts[-3:]


def endless_crashes(world: World) -> list[str]:
    """Find requests that crashed more endpoints than a router allows.

    Routers that run a request at the same time do not know of each other's
    crashes yet, so as many routers as were asked at once may count.
    """
    found = []
    for text in world.crash_texts:
        digests = {
            audit.engine.content_digest(caller.request.http()[2])
            for caller in world.callers
            if text in caller.request.text
        }
        runs = sum(
            run.content_digest in digests
            for run in world.evidence().engine_runs
        )
        if runs > MAX_CRASHES * world.crash_routers:
            found.append(f'{text}: crashed {runs} endpoints')
    return found


def untruthful_not_run(world: World) -> list[str]:
    """Find not-run answers to requests that ran."""
    return audit.untruthful_not_run(world.evidence())


def ran_twice(world: World) -> list[str]:
    """Find non-idempotent requests that ran more than once."""
    return audit.non_idempotent_twice(world.evidence())


def work_after_leaving(world: World) -> list[str]:
    """Find runs that a leaving endpoint received after 5 s."""
    found = []
    for endpoint in world.endpoints.values():
        since_s = world.leaving_s.get(endpoint.name)
        if since_s is None:
            continue
        times_ms = [run.received_ms for run in endpoint.engine_runs]
        times_ms += [run.time_ms for run in endpoint.service_runs]
        found += [
            f'{endpoint.name}: work {time_ms / 1000 - since_s:.1f} s after '
            'it started to leave'
            for time_ms in times_ms
            if time_ms / 1000 > since_s + LEAVING_S
        ]
    return found


def cut_requests(world: World) -> list[str]:
    """Find requests that a planned stop of a router ended too early."""
    stopped = {
        router.router_id
        for router, _ in world.stopped
        if not router.node.killed
    }
    found = []
    for caller in world.callers:
        for attempt in caller.observation.attempts:
            if attempt.abandoned or attempt.refused:
                continue
            if attempt.router in stopped and not (
                attempt.status and (attempt.done or attempt.outcome)
            ):
                found.append(f'{caller.request.id}: cut at {attempt.router}')
    return found


def kept_allotments(world: World) -> list[str]:
    """Find allotments that a stopped router did not hand back."""
    found = []
    serving = [router for router in world.all_routers if router.is_serving]
    if not serving:
        return found
    ledger = serving[0].ledger_task.ledger
    for router, _ in world.stopped:
        for view in ledger.allotments_of(router.node.incarnation_id):
            if not view.closed:
                found.append(f'{view.allotment}: {view.tokens} tokens kept')
    return found


def late_versions(world: World) -> list[str]:
    """Find routers without an accepted configuration after 5 s."""
    return list(world.late_versions)


def reverted_versions(world: World) -> list[str]:
    """Find routers that took an older configuration or a rejected one."""
    accepted = {
        manifest.version
        for manifest in audit.accepted_manifests(world.log.history['config'])
    }
    found = []
    for router in world.all_routers:
        versions = [version for _, version in router.versions]
        if versions != sorted(set(versions)):
            found.append(f'{router.router_id}: versions {versions}')
        if not set(versions) <= accepted:
            found.append(f'{router.router_id}: not accepted {versions}')
    return found


def internal_errors(world: World) -> list[str]:
    """Find tasks that ended and requests that met an unexpected error."""
    found = [line for router in world.all_routers for line in router.errors()]
    found += [
        f'{caller.request.id}: internal error at {attempt.router}'
        for caller in world.callers
        for attempt in caller.observation.attempts
        if attempt.code == ResultCode.INTERNAL_ERROR
    ]
    return found


Checker = Callable[[World], list[str]]

CHECKS: dict[int, tuple[Checker, ...]] = {
    1: (overspend, folds_differ),
    2: (billed_twice, unbilled, wrong_amounts),
    3: (wrong_answers, joined_versions, never_answered, endless_crashes),
    4: (untruthful_not_run,),
    5: (ran_twice,),
    6: (work_after_leaving,),
    7: (cut_requests, kept_allotments),
    8: (late_versions, reverted_versions),
}


def check(world: World, promises: tuple[int, ...]) -> Iterator[str]:
    """Yield the violations of some guarantees."""
    for line in internal_errors(world):
        yield f'internal_errors: {line}'
    for promise in promises:
        for checker in CHECKS[promise]:
            for line in checker(world):
                yield f'guarantee {promise}, {checker.__name__}: {line}'
