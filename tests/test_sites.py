"""The example deployments in `deploy/sites/`: their settings are read like those of any deployment."""

import pathlib
import tomllib

import pytest
from courier_helper import make_place, make_text
from helper import Clock, free_address

from calicopin.deployment_settings import check, list_is_pushed, load_columns, partners, product
from calicopin.facade import CallProgress, CallResult, Facade
from calicopin.interface import Repeat
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import CourierConfiguration, build
from calicopin.wire.loop import Loop

SITES = sorted((pathlib.Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
IDEMPOTENCY_BY_EFFECT = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def settings_of(site):
    """Converts a site file into the settings of a courier, with the upper bound of each range."""
    family, allow, rules, tier = site["fam"], site["allow"], site["rules"], site["tier"][0]
    grades = [
        dict(
            name=one["name"],
            idempotency=IDEMPOTENCY_BY_EFFECT[one["effect"]],
            aim=one["aim_ms"] / 1e3,
            giveUp=one["deadline_ms"] / 1e3,
            points=one["worth"],
            lateWorth=one["late_worth"],
            keyTtl=one.get("window_ms", 0) / 1e3,
            inOrder=one.get("in_order", False),
        )
        for one in site["class"]
    ]
    return dict(
        slotNo=0,
        groupSize=site["scale"]["big_balancers"][1],
        tick=site["day"]["tick_ms"] / 1e3,
        kinds=[kind["name"] for kind in tier["kind"]],
        zones=site["net"]["zones"],
        grades=grades,
        weights={"none": "silent"}.get(tier["weights"], tier["weights"]),
        discovery=site["discovery"]["mode"],
        familyInfo=dict(
            workers=family["least_slots"],
            bundleMax=[kind.get("batch", 1) for kind in family["kind"]],
            fades={"halves": "halving"}.get(family["late"], "linear"),
        ),
        ceilings=dict(
            mostHeld=family["least_open"],
            tryLimit=allow["max_attempts"],
            connectTimeout=tier["conn"]["connect_timeout_ms"] / 1e3,
            idleClose=tier["conn"]["idle_s"],
            retryAfter=allow["retry_after"],
            maxRetryAfter=site["clients"]["max_retry_after_ms"] / 1e3,
        ),
        rules=dict(
            coldFrom=tier["kind"][0]["cold_from"][1],
            cold=tier["kind"][0]["cold_s"][1],
            tipMultiple=rules["fall_multiple"],
            fall=rules["fall_ms"] / 1e3,
            orderSettle=rules.get("order_settle_ms", 0) / 1e3,
            askWithin=10.0,
        ),
        loadInfo=dict(columns=tier["report"].get("fields", [])),
    )


@pytest.fixture(params=SITES, ids=[path.stem for path in SITES])
def site(request):
    return tomllib.loads(request.param.read_text())


def test_the_settings_of_a_site_are_read_and_each_message_gets_a_final_answer(site):
    settings = settings_of(site)
    check(settings)
    facade = Facade(7, settings, 8, 0.0)
    facade.update_list([make_place()], True)
    assert len(partners(settings)) >= len(site["fam"]["kind"]) and 20 <= settings["groupSize"] <= 30
    for number, grade in enumerate(settings["grades"]):
        facade.add_text(make_text(str(number), number, until=grade["giveUp"] * 1000.0))
    ends, now = [], 0.0
    while now < 30000.0:
        facade.tick(now)
        while call := facade.next_call():
            for one in call.texts:
                one.mark_sent(now, call.place.zone)
            facade.report(call, CallResult(CallProgress.SENT, timed_out=True), 50.0)
        while end := facade.next_final_answer():
            ends.append((end.text.product, end.verdict))
        now += 25.0
    once = {
        number for number, grade in enumerate(settings["grades"]) if grade["idempotency"] == "non_idempotent"
    }
    assert sorted(ends) == [
        (number, "dead" if number in once else "bounced") for number in range(len(settings["grades"]))
    ]


def test_a_courier_starts_with_the_settings_of_a_site(site, tmp_path):
    loop = Loop(now=Clock())
    configuration = CourierConfiguration(
        "n0",
        free_address(),
        free_address(),
        str(tmp_path),
        5,
        256,
        3_000_000,
        {"version": 0, "full": True, "servers": []},
        settings_of(site),
    )
    runtime = build(configuration, loop, SignalReader(), lambda: configuration)
    assert runtime.facade.max_texts == site["fam"]["least_open"] and not runtime.failed_turns


def test_the_sites_cover_what_other_deployments_lack():
    settings = {path.stem: settings_of(tomllib.loads(path.read_text())) for path in SITES}
    permits, alerts = settings["tromso-permits"], settings["cusco-alerts"]
    assert [product(grade, "linear").repeat for grade in permits["grades"]] == [Repeat.ONCE_ONLY]
    assert (
        not list_is_pushed(permits)
        and not load_columns(permits)
        and list_is_pushed(alerts)
        and load_columns(alerts)
    )
    assert (
        min(grade["giveUp"] for grade in alerts["grades"]) <= 1.2
        and min(grade["keyTtl"] for grade in alerts["grades"] if grade["keyTtl"]) == 1.0
    )
