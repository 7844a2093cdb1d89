"""Follows the registrations of a service's executors in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loguru import logger

from ..._ids import ExecutorId, Revision, ServiceName
from ...adapters import CoordinationStore, StoreChange, StoredItem, StoreListing
from ...decisions.jobs import ExecutorRegistration, ExecutorState, RegistrationAge, Scheduler
from ...platform import REGISTRATION_PREFIX, decode_registration, registered_executor
from .._clocks import Clock
from .._metrics import Metrics
from .._prefix_watch import PrefixWatch

WATCH_SECONDS = 2.0
GATHER_SECONDS = 0.4
"""Minimum delay between an answer with changes and the next request.

Each executor writes every 1.5 s, mostly as a heartbeat. A request after each of these writes would
make up a quarter of all calls to the store. Executors that leave keep running for 2.5 s or more."""


class RegistrationIntake:
    """Registers and unregisters executors with the scheduler of one owner."""

    def __init__(
        self,
        store: CoordinationStore,
        scheduler: Scheduler,
        service: ServiceName,
        clock: Clock,
        wake_executor: Callable[[ExecutorState], None],
        request_dispatch: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Set up the intake; no call is made.

        ``wake_executor`` is called with each executor whose registration has changed, and
        ``request_dispatch`` after each change.
        """
        self._scheduler = scheduler
        self._service = service
        self._clock = clock
        self._wake_executor = wake_executor
        self._request_dispatch = request_dispatch
        self._metrics = metrics
        self._starts_held = False
        self._held_since = 0.0
        self._watch = PrefixWatch(
            store,
            REGISTRATION_PREFIX,
            WATCH_SECONDS,
            self._take_listing,
            self._take_change,
            gather_seconds=GATHER_SECONDS,
            now=clock.now,
        )

    async def follow(self, listed_at: float, after: Revision) -> None:
        """Pass changes after a listing, which was requested at ``listed_at``, to the scheduler."""
        await self._watch.run(after, listed_at=listed_at)

    async def follow_anew(self) -> None:
        """Pass a new listing and the changes after it to the scheduler."""
        await self._watch.run()

    def note_write(self, sent_at: float, revision: Revision) -> None:
        """Record a write of this owner, by which the age of the registrations is known."""
        self._watch.note_revision(sent_at, revision)

    @property
    def held_seconds(self) -> float:
        """For how long no starts have been sent because the registrations are too old."""
        return self._clock.now() - self._held_since if self._starts_held else 0.0

    def update_age(self) -> None:
        """Tell the scheduler how old the registrations are that it knows."""
        now = self._clock.now()
        self._scheduler.update_registration_age(
            RegistrationAge(self._watch.known_at, self._watch.is_behind)
        )
        held = not self._scheduler.start_validity_ms(now)
        if held is self._starts_held:
            return
        self._starts_held = held
        self._held_since = now
        if held:
            self._metrics.count("fireflyfork_starts_held_total", service=self._service)
        logger.info(
            "starts held: registrations out of date" if held else "registrations up to date again",
            service=self._service,
            age_ms=round(1000 * (now - self._watch.known_at)),
            behind=self._watch.is_behind,
        )

    def service_registrations(
        self, items: Iterable[StoredItem]
    ) -> tuple[ExecutorRegistration, ...]:
        """Return the registrations of the service among stored items."""
        registrations = map(self._registration, items)
        return tuple(registration for registration in registrations if registration is not None)

    def _registration(self, item: StoredItem) -> ExecutorRegistration | None:
        registration = decode_registration(item)
        if registration is None:
            self._metrics.count("fireflyfork_entries_skipped_total", kind="registration")
            return None
        return registration if registration.service == self._service else None

    def _take_listing(self, listing: StoreListing) -> None:
        listed = {registered_executor(item.key) for item in listing.items}
        for executor in set(self._scheduler.executors) - listed:
            self._unregister(executor)
        for item in listing.items:
            self._take_change(StoreChange(item.key, item.revision, item))

    def _take_change(self, change: StoreChange) -> None:
        registration = self._registration(change.item) if change.item is not None else None
        if registration is not None:
            self._scheduler.register(registration, self._clock.now())
            self._wake_executor(self._scheduler.executors[registration.executor])
        else:
            self._unregister(registered_executor(change.key))
        self._request_dispatch()

    def _unregister(self, name: ExecutorId) -> None:
        executor = self._scheduler.executors.get(name)
        self._scheduler.unregister(name, self._clock.now())
        if executor is not None:
            self._wake_executor(executor)
