"""Settings of a deployment: valid values are applied, invalid ones are refused with their path."""

import json

import pytest
from courier_helper import make_place, make_text
from helper import terms

from calicopin.deployment_settings import check
from calicopin.facade import CallProgress, CallResult, Facade
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import load_configuration, main

ABSENT = object()


def changed_settings(path, value):
    settings = json.loads(json.dumps(terms()))
    table, *steps = settings, *(int(step) if step.isdigit() else step for step in path.split("."))
    for step in steps[:-1]:
        table = table[step]
    if value is ABSENT:
        del table[steps[-1]]
    else:
        table[steps[-1]] = value
    return settings


@pytest.mark.parametrize(
    "path,value,message",
    [
        (
            "grades.1.idempotency",
            "most_like",
            "settings.grades[1].idempotency: 'most_like' is not one of read_like",
        ),
        ("grades.1.idempotency", ABSENT, "settings.grades[1].idempotency"),
        ("grades.1.name", "notice", "settings.grades[1].name"),
        ("grades.0.name", "", "settings.grades[0].name"),
        ("grades.0", 7, "settings.grades[0]: 7 is not a table"),
        ("grades", [], "settings.grades"),
        ("grades", {}, "settings.grades"),
        ("grades.0.aim", 0, "settings.grades[0].aim: 0 is not a number from"),
        ("grades.0.aim", ABSENT, "settings.grades[0].aim"),
        ("grades.0.giveUp", -1, "settings.grades[0].giveUp"),
        ("grades.0.points", "dear", "settings.grades[0].points: 'dear'"),
        ("grades.1.keyTtl", -3, "settings.grades[1].keyTtl"),
        ("grades.0.points", True, "settings.grades[0].points"),
        ("familyInfo", ABSENT, "settings.familyInfo"),
        ("familyInfo.workers", 0, "settings.familyInfo.workers: 0 is not a number from 1 upwards"),
        ("ceilings.mostHeld", 0, "settings.ceilings.mostHeld"),
        ("ceilings.tryLimit", ABSENT, "settings.ceilings.tryLimit"),
        ("ceilings.connectTimeout", "1s", "settings.ceilings.connectTimeout"),
        ("rules.cold", ABSENT, "settings.rules.cold"),
        ("rules.fall", float("inf"), "settings.rules.fall"),
        ("rules.tipMultiple", float("nan"), "settings.rules.tipMultiple"),
        ("rules", None, "settings.rules: None is not a table"),
        ("groupSize", 0, "settings.groupSize"),
        ("tick", None, "settings.tick"),
        ("loadInfo", 3, "settings.loadInfo"),
    ],
)
def test_an_invalid_setting_is_refused_with_its_path(path, value, message, tmp_path, monkeypatch, capsys):
    """Unchecked, such values raised an exception in a running courier, or held each message until it expired
    without a call.
    """
    settings = changed_settings(path, value)
    with pytest.raises(ValueError) as fault:
        check(settings)
    assert str(fault.value).startswith(message) and "\n" not in str(fault.value)
    (tmp_path / "c.json").write_text(
        json.dumps({"listen": "127.0.0.1:1", "state": str(tmp_path), "settings": settings})
    )
    monkeypatch.setattr("os.environ", {"LB_CONFIG": str(tmp_path / "c.json")})
    assert main(SignalReader()) == 2 and capsys.readouterr().err.strip() == str(fault.value)


@pytest.mark.parametrize(
    "settings",
    [{}, [], {"listen": "127.0.0.1:1", "state": "x"}, {"listen": "127.0.0.1:1", "settings": terms()}],
)
def test_a_file_without_required_keys_is_refused_with_one_line(settings, tmp_path, monkeypatch, capsys):
    (tmp_path / "c.json").write_text(json.dumps(settings))
    monkeypatch.setattr("os.environ", {"LB_CONFIG": str(tmp_path / "c.json")})
    assert main(SignalReader()) == 2
    assert str(tmp_path / "c.json") in (line := capsys.readouterr().err.strip()) and "\n" not in line


@pytest.mark.parametrize(
    "path,value",
    [
        ("grades.0.points", ABSENT),
        ("grades.0.points", None),
        ("grades.0.lateWorth", None),
        ("grades.1.keyTtl", 0),
        ("grades.1.keyTtl", ABSENT),
        ("grades.0.aim", 20.0),
        ("grades.0.aim", 30.0),
        ("grades.0.points", 1e12),
        ("rules.cold", 0),
        ("rules.fall", 0),
        ("rules.coldFrom", 0),
        ("rules.tipMultiple", 0),
        ("rules.orderSettle", None),
        ("rules.askWithin", 0),
        ("rules.askWithin", 1e6),
        ("familyInfo.workers", 10**9),
        ("familyInfo.fades", "halving"),
        ("ceilings.mostHeld", 10**9),
        ("loadInfo", None),
        ("loadInfo", ABSENT),
        ("groupSize", 10**6),
        ("tick", 0),
        ("more", {"unknown": 1}),
    ],
)
def test_zero_absent_and_very_large_values_are_accepted(path, value):
    """Each message still gets its final answer, through refusals, time-outs and deliveries.

    A cold time or a span of 0 raised an exception in every tick.
    """
    check(settings := changed_settings(path, value))
    facade = Facade(7, settings, 8, 0.0)
    facade.update_list([make_place()], True)
    for number in range(6):
        facade.add_text(make_text(str(number), number % 3))
    results = [
        CallResult(CallProgress.SENT, timed_out=True),
        CallResult(CallProgress.ANSWERED, status=429, wait=100.0),
        CallResult(CallProgress.UNCONNECTED),
        CallResult(CallProgress.ANSWERED, status=503),
        CallResult(CallProgress.ANSWERED, status=200),
    ]
    ends, now = [], 0.0
    for step in range(500):
        facade.tick(now)
        while call := facade.next_call():
            for one in call.texts:
                one.mark_sent(now, call.place.zone)
            facade.report(call, results[step % 5], 50.0)
        while end := facade.next_final_answer():
            ends.append(end.text.ident)
        now += 50.0
    assert sorted(ends) == [str(number) for number in range(6)]


def test_the_settings_from_the_platform_are_checked_when_they_are_read(tmp_path):
    (tmp_path / "c.json").write_text(json.dumps({"listen": "127.0.0.1:1", "state": "x", "settings": terms()}))
    assert (
        load_configuration({"LB_CONFIG": str(tmp_path / "c.json"), "LB_DISCOVERY": "127.0.0.1:2"}).terms
        == terms()
    )
