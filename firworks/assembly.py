"""Builds the kernel of a daemon from its parts."""

from random import Random

from firworks.kernel.budgets import StageBudgets
from firworks.kernel.configuration.follower import ConfigurationFollower
from firworks.kernel.deferred.deferred import DeferredQueue
from firworks.kernel.fleet.departures import Departures
from firworks.kernel.fleet.dissemination import Dissemination
from firworks.kernel.fleet.membership import Membership
from firworks.kernel.ledger.ledger import Ledger
from firworks.kernel.limits.limits import AccountLimits
from firworks.kernel.node import Kernel
from firworks.kernel.operators import OperatorResponder
from firworks.kernel.orders.orders import OrderIssuer
from firworks.kernel.quarantine import Quarantine
from firworks.kernel.reports import LoadPoller
from firworks.kernel.requests import Requests
from firworks.kernel.scheduling.scheduler import Scheduler

BUILTIN_PLUGINS = (
    "firworks.plugins.http_callers",
    "firworks.plugins.http_engines",
    "firworks.plugins.http_orders",
    "firworks.plugins.http_services",
    "firworks.plugins.http_vms",
    "firworks.plugins.log_driver",
    "firworks.plugins.websocket_peers",
    "firworks.kernel.routing",
)


class KernelParts:
    """The kernel of a daemon, with the parts that the shell asks directly.

    Attributes:
        kernel (Kernel): All parts, in order.
        requests (Requests): Tells whether the daemon is ready and idle.
        ledger (Ledger): Tells whether all outcomes are in the log.
        deferred (Deferred): Tells the same of deferred requests' answers.
        membership (Membership): Knows the peers.
        configuration (ConfigurationFollower): Knows the version in force.
    """

    __slots__ = (
        "kernel",
        "requests",
        "ledger",
        "deferred",
        "membership",
        "configuration",
    )

    def __init__(self, kernel, requests, ledger, deferred, membership, configuration):
        self.kernel = kernel
        self.requests = requests
        self.ledger = ledger
        self.deferred = deferred
        self.membership = membership
        self.configuration = configuration

    @property
    def idle(self):
        """Whether nothing in progress would be lost by stopping."""
        flushed = self.ledger.flushed and self.deferred.flushed
        return self.requests.idle and flushed


def build_kernel(settings, incarnation, registry):
    """Return the `KernelParts` of a daemon.

    Args:
        settings (Settings): Settings of the daemon.
        incarnation (str): Unique name of this run.
        registry (Registry): Holds the routing policies.
    """

    def make_random(part):
        return Random(f"{settings.seed}/{settings.name}/{part}")

    membership = Membership(
        settings.name,
        incarnation,
        settings.region,
        settings.failure_domain,
        settings.peers,
        make_random("membership"),
    )
    configuration = ConfigurationFollower(settings, make_random("configuration"))
    ledger = Ledger(settings)
    deferred = DeferredQueue(settings)
    limits = AccountLimits(settings.name)
    quarantine = Quarantine(settings.name)
    scheduler = Scheduler(make_random("scheduling"), settings.name, registry)
    requests = Requests(incarnation, StageBudgets(), ledger, limits, quarantine)
    # The request part comes last: it acts on what the others have seen before.
    parts = [
        membership,
        Dissemination(settings.name, membership),
        Departures(),
        configuration,
        limits,
        quarantine,
        ledger,
        deferred,
        scheduler,
        LoadPoller(scheduler, make_random("reports")),
        OrderIssuer(settings, incarnation, make_random("orders")),
        OperatorResponder(),
        requests,
    ]
    kernel = Kernel(parts)
    return KernelParts(kernel, requests, ledger, deferred, membership, configuration)
