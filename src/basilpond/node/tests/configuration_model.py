"""What callers of a fleet may be told while its configuration changes."""

import json
import math

# Time after its acknowledgement within which a version is in force, by the
# settings of the routers.
APPLY_S = 2.0
# Time without a fault after which the bounds hold for a router.
STABLE_S = 3.0
REFUSALS = (401, 402, 404)
PROMPT_TOKENS = 360


class Question:
    """Request that is repeated at all routers.

    Parameters
    ----------
    route : str
        Name of the route, and first segment of the path.
    key : str
    is_prompt : bool
        Whether the request needs tokens of its organisation.
    """

    __slots__ = ('is_prompt', 'key', 'route')

    def __init__(self, route, key='key', *, is_prompt=False):
        self.route = route
        self.key = key
        self.is_prompt = is_prompt

    def __repr__(self):
        return f'/{self.route}/ with {self.key}'


class State:
    """Configuration that the log has had as its newest one.

    Attributes
    ----------
    published_s, superseded_s : float
        Event loop times at which the log had it, and its successor.
    """

    __slots__ = (
        'config',
        'data',
        'keys',
        'organisations',
        'published_s',
        'services',
        'superseded_s',
    )

    def __init__(self, config, published_s):
        self.config = config
        self.data = json.dumps(config).encode()
        self.published_s = published_s
        self.superseded_s = math.inf
        self.services = {r['name']: r['service'] for r in config['routes']}
        self.keys = {}
        self.organisations = {}
        for tenant in config['tenants']:
            for key in tenant['api_keys']:
                self.keys[key] = tenant['prepaid']
                self.organisations[key] = tenant['name']

    def outcome(self, question):
        """Return the service that runs a request, or the refusal's status."""
        service = self.services.get(question.route)
        if service is None:
            return 404
        if question.key not in self.keys:
            return 401
        if question.is_prompt and self.keys[question.key] < PROMPT_TOKENS:
            return 402
        return service


class RouterView:
    """What the model knows of one process of a router.

    Attributes
    ----------
    contact_s : float
        Time since which the process is without a fault and reads the log;
        infinite during faults.
    in_touch_until_s : float
        Time at which the bounds last held for it.
    shown : int
        Index of the oldest state that the process may still apply, by what
        callers have seen.
    """

    __slots__ = (
        'contact_s',
        'has_ended',
        'in_touch_until_s',
        'name',
        'node',
        'shown',
    )

    def __init__(self, name, node, now_s):
        self.name = name
        self.node = node
        self.contact_s = now_s
        self.in_touch_until_s = -math.inf
        self.has_ended = False
        self.shown = 0

    def lose_contact(self, now_s):
        """Note that the router does not read the log."""
        if self.is_in_touch(now_s):
            self.in_touch_until_s = now_s
        self.contact_s = math.inf

    def is_in_touch(self, now_s):
        """Whether the bounds hold."""
        return now_s - self.contact_s >= STABLE_S


class ConfigurationModel:
    """States of the log, and what they allow routers to tell callers."""

    def __init__(self):
        self.states = []
        self.violations = []

    @property
    def newest(self):
        """Newest state of the log."""
        return self.states[-1]

    def publish(self, config, now_s):
        """Add a state that the log has acknowledged."""
        for state in self.states:
            state.superseded_s = min(state.superseded_s, now_s)
        self.states.append(State(config, now_s))

    def restore(self, config, now_s):
        """Add the state of a copy, until the operator writes again.

        Routers may keep the version that the log has lost.
        """
        self.states.append(State(config, now_s))

    def index(self, data):
        """Return the index of the last state with some content."""
        return max(i for i, s in enumerate(self.states) if s.data == data)

    def in_force(self, start_s, end_s):
        """Return the states that may be in force at a time in between."""
        return [
            state
            for state in self.states
            if state.published_s <= end_s
            and state.superseded_s + APPLY_S >= start_s
        ]

    def check_applied(self, router, now_s):
        """Check the version of a router; return its index or None."""
        data = router.node.configuration.data
        if data is None:
            return None
        index = self.index(data)
        if router.is_in_touch(now_s):
            due = [
                i
                for i, state in enumerate(self.states)
                if state.published_s + APPLY_S < now_s
            ]
            if due and index < due[-1]:
                self._violate(
                    router, f'has state {index} while {due[-1]} is in force'
                )
        if index < router.shown:
            self._violate(router, f'state {index} after {router.shown}')
        return index

    def check_answer(self, router, question, answer, asked):
        """Check an answer.

        Parameters
        ----------
        router : RouterView
        question : Question
        answer : str or int
            Service that ran the request, or the status.
        asked : Asked
            What held when the request was sent.
        """
        end_s = asked.end_s
        states = self.in_force(asked.start_s, end_s)
        allowed = [state.outcome(question) for state in states]
        known = [state.outcome(question) for state in self.states]
        is_in_touch = asked.was_in_touch and router.is_in_touch(end_s)

        def violate(reason):
            self._violate(
                router,
                f'{question} from {asked.start_s:.3f} to {end_s:.3f} s: '
                f'{answer}; {reason}; in force: {allowed}; '
                f'in touch: {is_in_touch}',
            )

        if answer in REFUSALS:
            bound = allowed
            if answer == 402 and not is_in_touch:
                # The router answers by the balance that it knows.
                bound = [
                    s.outcome(question)
                    for s in self.in_force(router.in_touch_until_s, end_s)
                ]
            if not any(outcome in REFUSALS for outcome in bound):
                violate('refused though all versions allow it')
        elif answer not in known and answer != 503:
            violate('no version leads to this')
        if answer == 503:
            has_tokens = asked.accounts_known or not question.is_prompt
            if is_in_touch and has_tokens and len(set(allowed)) == 1:
                violate('not answered though all is read')
            return
        matches = [i for i, o in enumerate(known) if o == answer]
        if not matches:
            violate('no version has had this answer')
            return
        if is_in_touch and answer not in allowed:
            violate('answered by a version that is not in force')
        oldest = max(router.shown if asked.era_holds else 0, asked.index or 0)
        if asked.era_holds and matches[-1] < oldest:
            violate(f'answered by a version older than state {oldest}')
        # Tokens that a prompt needs may come from another router's version.
        if asked.era_holds and not question.is_prompt:
            asked.shows = matches[0]

    def _violate(self, router, reason):
        self.violations.append(f'{router.name}: {reason}')


class Asked:
    """Circumstances of one request.

    Attributes
    ----------
    index : int or None
        Index of the state that the router applied at the start.
    accounts_known : bool
        Whether all routers have reached the log since its last restore, and no
        tokens of the organisation are reserved. Until then no budget is
        granted, as a router may hold tokens that the log does not know of.
        Reserved tokens are never granted again (docs/OPERATIONS.md).
    era_holds : bool
        Whether the log has not been restored since the start.
    shows : int
        Index of the oldest state that the answer may be based on.
    """

    __slots__ = (
        'accounts_known',
        'end_s',
        'era_holds',
        'index',
        'shows',
        'start_s',
        'was_in_touch',
    )

    def __init__(self, start_s, index, *, was_in_touch, accounts_known):
        self.start_s = start_s
        self.index = index
        self.was_in_touch = was_in_touch
        self.accounts_known = accounts_known
        self.end_s = start_s
        self.era_holds = True
        self.shows = 0
