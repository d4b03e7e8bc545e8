"""Start and restart of a courier: reads its configuration, builds its parts and restores the journal."""

import json
import os
import socket
import sys
import zlib
from dataclasses import dataclass, replace

from loguru import logger

from calicopin.admin.server import AdminServer
from calicopin.deployment_settings import check, key_memory, list_is_pushed
from calicopin.discovery_address import DiscoveryAddress
from calicopin.facade import Facade
from calicopin.lifecycle.reload import ConfigurationReload
from calicopin.lifecycle.runtime import Runtime
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.stop import Shutdown
from calicopin.memory_budget import memory_budget
from calicopin.state.connections import Budget, ConnectionPool
from calicopin.state.journal import Journal
from calicopin.state.ledger import Counters
from calicopin.system import REAL_SYSTEM, call_with_retries
from calicopin.wire.clients import Clients
from calicopin.wire.discovery import Discovery, decode_list
from calicopin.wire.listfile import ListFile
from calicopin.wire.loop import Loop
from calicopin.wire.notices import NoticeLog, Notices
from calicopin.wire.poll_schedule import longest_wait

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclass(frozen=True)
class CourierConfiguration:
    """The configuration of one courier: name, addresses, folder, limits and delivery settings (`terms`)."""

    name: str
    listen: str
    discovery: str
    folder: str
    seed: int
    descriptors: int
    disk: int
    configured_list: dict
    terms: dict
    memory: int = 0  # bytes that the process may take, where it is limited
    operator_configuration: object = None  # the operator's .toml file, if there is one
    partner_file: str = ""  # the path of a watched list of partners
    notices: str = ""
    status: bool = False
    log: str = "lines"
    store: str = "file"
    admin: str = ""  # the address of the admin server
    listening_socket: str = ""  # descriptor number of the inherited listening socket for clients
    handover_folder: str = ""  # a folder that this process and its successor both have access to
    durable: bool = False  # whether accepted messages survive a power loss of the machine
    nodes: tuple = ()  # addresses of discovery nodes; if any, the courier subscribes to destinations
    fleet: str = ""  # the name of the list that the nodes serve
    max_age: float = 0.0  # ms, of the list in the folder at a start
    discovery_address: DiscoveryAddress | None = None  # the sources of `discovery`


def check_address(value):
    """Returns an address of the form host:port unchanged; raises OSError or ValueError for others."""
    host, _, port = value.rpartition(":")
    socket.inet_aton(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"port not between 1 and 65535: {value[:40]!r}")
    return value


def load_configuration(environ, reloaded=False, system=REAL_SYSTEM):
    """Reads the configuration from the file named by `LB_CONFIG`; for addresses and the folder, environment
    variables take precedence. At a reload (`reloaded`) the file's discovery address precedes the variable.
    """
    path, operator_configuration = environ["LB_CONFIG"], None
    admin_address, listening_socket, handover_folder = (
        environ.get(name, "") for name in ("LB_ADMIN_ADDR", "LB_PASSED_SOCKET", "TMPDIR")
    )
    if path.endswith(".toml"):  # imported only here: a courier on the platform doesn't need it
        from calicopin.configuration.startup import load_for_start

        configuration, operator_configuration = load_for_start(path, environ)
        environ = {}
    else:
        configuration = json.loads(system.read(path))
        if "settings" in configuration:
            check(configuration["settings"])
    subscription = {}
    if not {"nodes", "fleet", "list_age"}.isdisjoint(configuration):
        from calicopin.lifecycle.node_settings import parse_subscription

        subscription = parse_subscription(configuration, path)
    discovery_address = DiscoveryAddress(
        environ.get("LB_DISCOVERY") or "", configuration.get("discovery") or "", prefers_file=reloaded
    )
    if not (discovery_address.in_force or operator_configuration or subscription):
        raise KeyError("discovery")
    admin_address = admin_address or configuration.get("admin_addr")
    limits, seed = configuration.get("limits", {}), str(configuration.get("seed", ""))
    try:
        seed = int(seed, 16)
    except ValueError:
        seed = zlib.crc32(seed.encode())
    return CourierConfiguration(
        name=configuration.get("name") or environ.get("LB_NAME", "courier"),
        listen=environ.get("LB_LISTEN") or configuration["listen"],
        discovery=check_address(discovery_address.in_force) if discovery_address.in_force else "",
        discovery_address=discovery_address,
        admin=check_address(admin_address) if admin_address else "",
        listening_socket=listening_socket,
        handover_folder=handover_folder,
        folder=environ.get("LB_STATE") or configuration["state"],
        seed=seed,
        descriptors=int(limits.get("sockets") or 1024),
        disk=int(float(limits.get("disk_mb") or 3) * 1e6),
        memory=memory_limit(limits),
        configured_list=configuration.get("known") or {"version": 0, "full": True, "servers": []},
        terms=configuration["settings"],
        operator_configuration=operator_configuration,
        partner_file=configuration.get("watched", ""),
        notices=configuration.get("notices", ""),
        status=bool(configuration.get("status")),
        log=configuration.get("log", "lines"),
        store=configuration.get("store", "file"),
        durable=configuration.get("durability") == "machine",
        **subscription,
    )


def memory_limit(limits):
    """The configured limit of memory in bytes; 0 where there is none."""
    megabytes = limits.get("memory_mb")
    return int(megabytes * 1e6) if isinstance(megabytes, (int, float)) else 0


def initial_list(known):
    """(version, places) of the list in the configuration. One that cannot be read counts as empty: discovery
    sends the whole list.
    """
    try:
        version, _, places = decode_list(known)
    except ValueError as fault:
        logger.warning(
            "the list in the configuration is ignored: {fault}", event="discovery.unread", fault=fault
        )
        return None, []
    return version, places


def restore_discovery_address(configuration, journal, receiver):
    """The configuration with the discovery address that is in force after what the processes before were
    told; it is journalled for the next one. A new address that cannot be used changes nothing.
    """
    told = configuration.discovery_address
    if told is None:
        return configuration
    previous = journal.discovery_address
    if previous is None and receiver and receiver.snapshot["renewed"]:  # from a version that journals none
        previous = replace(told, prefers_file=True)
    current = told.following(previous)
    try:
        if current.in_force:
            check_address(current.in_force)
    except (OSError, ValueError, AttributeError) as fault:
        logger.error(
            "discovery stays at {agent}, the configuration file names what cannot be used: {fault!r}",
            event="discovery.unusable",
            agent=previous.in_force,
            fault=fault,
        )
        return replace(configuration, discovery=previous.in_force, discovery_address=previous)
    journal.put_discovery_address(current)
    if current.in_force == configuration.discovery:
        return configuration
    logger.info(
        "discovery at {agent}, as the configuration file was told last",
        event="discovery.address-kept",
        agent=current.in_force,
    )
    return replace(configuration, discovery=current.in_force, discovery_address=current)


def build(configuration, loop, signal_reader, read_configuration, lock=None, receiver=None):
    """Builds the parts of one courier and returns its `Runtime`. The journal is restored before any client is
    served.

    `read_configuration` reads the configuration again. `lock` is the lock of the folder; with `receiver` the
    state comes from another process instead of the folder.
    """
    terms = configuration.terms
    ceilings = terms["ceilings"]
    connect_timeout = (ceilings.get("connectTimeout") or 1.0) * 1000.0
    idle_timeout = (ceilings.get("idleClose") or 10.0) * 1000.0
    longest_validity = max(grade["giveUp"] for grade in terms["grades"]) * 1000.0
    budget = Budget(configuration.descriptors, terms["familyInfo"]["workers"], bool(configuration.admin))
    disk = configuration.disk
    if configuration.nodes:
        from calicopin.state.known_list import journal_bytes

        disk = journal_bytes(disk)
    system, in_flight = loop.system, receiver.in_flight_ids if receiver else None
    wall_clock_offset, boot = system.wall_clock_ms() - loop.now(), call_with_retries(system, system.boot_id)
    if configuration.store == "segments":
        from calicopin.store.segments import Segments

        journal = call_with_retries(
            system,
            lambda: Segments(
                configuration.folder,
                disk,
                wall_clock_offset,
                system,
                longest_validity,
                boot,
                configuration.durable,
                in_flight,
                loop.now,
                key_memory(terms),
            ),
        )
    else:
        journal = call_with_retries(
            system,
            lambda: Journal(
                configuration.folder,
                disk,
                wall_clock_offset,
                system,
                longest_validity,
                boot,
                in_flight,
                loop.now,
                key_memory(terms),
            ),
        )
    configuration = restore_discovery_address(configuration, journal, receiver)
    facade = Facade(configuration.seed, terms, budget.calls, loop.now(), journal.is_restart and not receiver)
    # idle connections are closed at least one connect time-out before the limit
    pool = ConnectionPool(budget.endpoints, max(idle_timeout / 2.0, idle_timeout - connect_timeout))
    runtime = Runtime(
        loop, facade, journal, pool, connect_timeout, Counters(grade["name"] for grade in terms["grades"])
    )
    runtime.memory_budget = memory_budget(configuration.memory)
    notice_address = configuration.discovery or configuration.notices
    runtime.notices = (
        Notices(loop, notice_address, runtime.notice_acknowledged)
        if notice_address
        else NoticeLog(loop, runtime.notice_acknowledged)
    )
    long_poll_timeout = longest_wait((terms["rules"].get("askWithin") or 10.0) * 1000.0)
    if receiver:
        version, places = receiver.snapshot["version"], ()
        runtime.restore_from_handover(receiver)
    if configuration.nodes:
        from calicopin.lifecycle.courier_subscription import build_subscription

        runtime.subscription = build_subscription(
            configuration, loop, runtime, long_poll_timeout, facade.places.values() if receiver else None
        )
    if not receiver:
        version, places = (
            (None, runtime.subscription.places())
            if configuration.nodes
            else initial_list(configuration.configured_list)
        )
        facade.update_list(places, True)
        runtime.restore()
    if configuration.nodes:
        discovery = runtime.subscription.start()
        runtime.list_agent = None if receiver else discovery  # after a handover the list is current
    elif configuration.discovery:
        is_pushed = list_is_pushed(terms)
        # the configured list is old, and the agent has the whole current one
        fetch_all = is_pushed and not receiver
        discovery = Discovery(
            loop,
            configuration.discovery,
            None if fetch_all else version,
            long_poll_timeout,
            runtime.update_list,
            terms["groupSize"],
            configuration.seed,
            spread=bool(places),
            pushed=is_pushed,
        )
        if fetch_all:
            runtime.await_first_list(discovery)
    else:
        from calicopin.configuration.startup import partner_list_loader

        runtime.list_received = True
        discovery = (
            ListFile(
                loop,
                configuration.partner_file,
                partner_list_loader(configuration.operator_configuration),
                runtime.update_list,
            )
            if configuration.partner_file
            else None
        )
    if not receiver:
        runtime.turn()
    products = {grade["name"]: number for number, grade in enumerate(terms["grades"])}
    listener = (
        loop.system.inherited_listener(configuration.listening_socket)
        if configuration.listening_socket
        else None
    )
    clients = Clients(
        loop,
        configuration.listen,
        products,
        budget,
        runtime,
        listener,
        runtime.memory_budget.receive_bytes,
    )
    runtime.receive_buffers = clients.buffers
    clients.status = runtime.status if configuration.status else None
    stop = Shutdown(loop, runtime, clients)
    if configuration.admin:
        AdminServer(
            loop,
            configuration.admin,
            {
                "/admin/health": ("GET", lambda: {"serving": True}),
                "/admin/stats": ("GET", runtime.statistics),
                "/admin/quiesce": ("POST", stop.quiesce),
                "/admin/resume": ("POST", stop.resume),
            },
            budget.admin - 1,
        )
    reload = ConfigurationReload(
        loop, signal_reader, configuration, read_configuration, stop, discovery, clients, runtime
    )
    if receiver:
        lock = receiver.complete(loop, runtime, clients)
        journal.begin()
        loop.spawn_restarting(lambda: receiver.wait_for_reload(reload.request))
        if receiver.snapshot["drained"] is not None:
            stop.begin_drain(receiver.snapshot["drained"])
    if configuration.listening_socket:
        from calicopin.handover.channel import HandoverSocket
        from calicopin.handover.sender import HandoverSender

        HandoverSender(
            HandoverSocket(configuration.handover_folder or configuration.folder, configuration.folder),
            lock,
            loop.system.restart_process,
            loop,
            runtime,
            clients,
            discovery,
            reload,
            stop,
        )
    for coroutine in (
        runtime.run_housekeeping,
        clients.free_descriptors_periodically,
        stop.wait_for_request,
        reload.wait,
    ):
        loop.spawn_restarting(coroutine)
    return runtime


def load_for_start(environ, system):
    """The configuration for a start; raises ValueError if it cannot be read."""
    try:
        return call_with_retries(system, lambda: load_configuration(environ, system=system))
    except (KeyError, TypeError, AttributeError) as fault:
        raise ValueError(
            f"{environ.get('LB_CONFIG', 'LB_CONFIG')}: the configuration cannot be read: {fault!r}"
        ) from None


def serve(environ, signal_reader, system=REAL_SYSTEM):
    """Runs one courier until a signal stops it; raises ValueError for a configuration that cannot be read."""
    configuration = load_for_start(environ, system)
    lock = receiver = None
    if configuration.listening_socket:
        # raises for an invalid descriptor before the folder is locked
        system.inherited_listener(configuration.listening_socket).detach()
        lock, receiver, configuration = acquire_folder(configuration, environ, signal_reader, system)
        if configuration is None:
            return
    elif configuration.operator_configuration:  # on the platform each courier has a folder of its own
        lock = call_with_retries(system, system.lock, configuration.folder)
    loop = call_with_retries(system, lambda: Loop(system=system))
    try:
        runtime = build(
            configuration,
            loop,
            signal_reader,
            lambda: load_configuration(environ, reloaded=True, system=system),
            lock,
            receiver,
        )
    except ConnectionAbortedError as fault:
        logger.warning(
            "handover failed, this process starts again: {fault}", event="handover.again", fault=fault
        )
        system.restart_process()
    if configuration.log == "json":
        use_json_log(configuration.name, log_level(environ))
    system.freeze_loaded_objects()
    logger.info(
        "{name} ready on {listen}, {endpoints} endpoints known",
        event="ready",
        name=configuration.name,
        listen=configuration.listen,
        endpoints=len(runtime.facade.places),
    )
    loop.run()
    logger.info(
        "{name} stopped, {texts} texts left in the journal",
        event="stopped",
        name=configuration.name,
        texts=len(runtime.journal.texts),
    )


def acquire_folder(configuration, environ, signal_reader, system):
    """(lock, `HandoverReceiver` or None, configuration): waits until the folder is free or its holder hands
    over. All three are None if a signal to stop comes first.
    """
    from calicopin.handover.channel import HandoverSocket
    from calicopin.handover.receiver import StoppedError, begin

    try:
        lock, receiver = begin(
            HandoverSocket(configuration.handover_folder or configuration.folder, configuration.folder),
            configuration.folder,
            signal_reader,
            system,
        )
    except StoppedError:
        logger.info("{name} stopped before it took over", event="stopped", name=configuration.name, texts=0)
        return None, None, None
    # again, since the file may have been replaced while this process waited
    return lock, receiver, load_for_start(environ, system)


def log_level(environ):
    """The minimum log level from `LB_LOG_LEVEL`; raises ValueError if it names no level."""
    value = environ.get("LB_LOG_LEVEL", "") or "INFO"
    if value not in LOG_LEVELS:
        raise ValueError(f"LB_LOG_LEVEL: {value[:40]!r} is not one of {', '.join(LOG_LEVELS)}")
    return value


def use_json_log(name, level="INFO"):
    """Logs one JSON object per line. A log that cannot be written never stops the courier."""
    from calicopin.lifecycle.json_log import format_record

    def write(message):
        try:
            sys.stderr.write(format_record(name, message.record) + "\n")
        except (OSError, ValueError):
            pass

    logger.remove()
    logger.add(write, format="{message}", level=level, backtrace=False, catch=True)


def main(signal_reader=None, system=REAL_SYSTEM):
    """Runs a courier until a signal; returns the exit code: 2 if it cannot run with its configuration."""
    signal_reader = signal_reader or SignalReader()
    logger.remove()
    try:
        logger.add(
            sys.stderr,
            format="{time:HH:mm:ss.SSS} {level.name} {message}",
            level=log_level(os.environ),
            backtrace=False,
        )
        serve(os.environ, signal_reader, system)
    except BlockingIOError:
        print(
            f"{os.environ['LB_CONFIG']}: courier.state: the folder is held by another courier; "
            f"each courier needs its own",
            file=sys.stderr,
        )
        return 2
    except (ValueError, OSError) as fault:  # faults of the configuration, without a traceback
        print(fault, file=sys.stderr)
        return 2
    return 0
