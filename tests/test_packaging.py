"""The installed package: the contents of the wheel, and the commands in a fresh environment, offline."""

import os
import subprocess
import sys
import tomllib
import venv
import zipfile
from importlib import metadata
from pathlib import Path

import pytest
from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "calicopin"
EXAMPLE = ROOT / "deploy/examples/order-desk.toml"
LEAST_SETUPTOOLS = (70, 1)  # the first version that builds a wheel without the package `wheel`
COURIER_LIBRARIES = ["h11", "loguru"]
TIMEOUT = 60.0  # seconds for one command


def run_command(*words, **variables):
    """Runs a command outside the repository and without the caller's Python and LB_ variables."""
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith(("PYTHON", "LB_"))
    }
    return subprocess.run(
        [str(word) for word in words],
        cwd="/",
        env=environment | variables,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
    )


def pins(file):
    """The lines of a requirements file, except those that include another file."""
    return [line for line in (ROOT / file).read_text().split("\n") if line and not line.startswith("-r")]


def project():
    """The table `project` of pyproject.toml."""
    return tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]


def distributions_of(requirements, extra=""):
    """The names of the required distributions, with those that they depend on."""
    names, pending = set(), [Requirement(line) for line in requirements]
    while pending:
        requirement = pending.pop()
        if requirement.marker and not requirement.marker.evaluate({"extra": extra}):
            continue
        if requirement.name not in names:
            names.add(requirement.name)
            pending += [Requirement(line) for line in metadata.requires(requirement.name) or []]
    return names


class Installation:
    """A fresh environment with the wheel and the named distributions, which are copied from this one."""

    def __init__(self, folder, wheel, names):
        venv.create(folder, symlinks=True, with_pip=False)
        self.commands = folder / "bin"
        self.python = self.commands / "python"
        self.libraries = folder / f"lib/python{sys.version_info.major}.{sys.version_info.minor}/site-packages"
        for name in names:
            self.copy(metadata.distribution(name))
        installed = run_command(
            sys.executable, "-m", "pip", "--python", self.python, "install", "--no-deps", "--no-index", wheel
        )
        assert installed.returncode == 0, installed.stderr

    def copy(self, distribution):
        """The files of an installed distribution, without its commands and compiled bytecode."""
        for file in distribution.files:
            if ".." in file.parts or file.suffix == ".pyc":
                continue
            target = self.libraries / file
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(file.locate().read_bytes())


@pytest.fixture(scope="module")
def wheel(tmp_path_factory):
    """The wheel, built from a copy of the sources with the installed setuptools."""
    version = tuple(int(part) for part in metadata.version("setuptools").split(".")[:2])
    assert version >= LEAST_SETUPTOOLS, f"setuptools {version}: pip install -r requirements-dev.txt"
    copy, out = tmp_path_factory.mktemp("sources"), tmp_path_factory.mktemp("wheel")
    for file in [ROOT / "pyproject.toml", ROOT / "LICENSE", *source_files()]:
        target = copy / file.relative_to(ROOT)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(file.read_bytes())
    built = run_command(
        sys.executable,
        "-m",
        "pip",
        "wheel",
        "--no-deps",
        "--no-index",
        "--no-build-isolation",
        "-w",
        out,
        copy,
    )
    assert built.returncode == 0, built.stderr
    (wheel,) = out.glob("*.whl")
    return wheel


def source_files():
    """All files of the package except compiled bytecode."""
    return [file for file in SOURCES.rglob("*") if file.is_file() and "__pycache__" not in file.parts]


@pytest.fixture(scope="module")
def installed(wheel, tmp_path_factory):
    """An environment with what `pip install calicopin` installs."""
    return Installation(tmp_path_factory.mktemp("plain"), wheel, distributions_of(project()["dependencies"]))


@pytest.fixture(scope="module")
def courier_alone(wheel, tmp_path_factory):
    """An environment with only the libraries of requirements.txt, as the platform installs it."""
    return Installation(tmp_path_factory.mktemp("courier"), wheel, distributions_of(pins("requirements.txt")))


def test_the_wheel_holds_every_file_of_the_package(wheel):
    with zipfile.ZipFile(wheel) as archive:
        held = {name for name in archive.namelist() if ".dist-info/" not in name}
    assert held == {str(file.relative_to(ROOT)) for file in source_files()}


def test_every_folder_with_modules_is_a_package():
    assert [file for file in SOURCES.rglob("*.py") if not (file.parent / "__init__.py").exists()] == []


def test_pins_of_the_package_are_those_of_the_requirements():
    project_table = project()
    all_pins = project_table["dependencies"] + [
        pin for extra in project_table["optional-dependencies"].values() for pin in extra
    ]
    assert sorted(all_pins) == sorted(pins("requirements.txt") + pins("requirements-emulator.txt"))
    assert [pin.partition("==")[0] for pin in pins("requirements.txt")] == COURIER_LIBRARIES


@pytest.mark.parametrize("as_module", [False, True])
def test_the_command_works_after_a_plain_install(installed, as_module):
    words = [installed.python, "-m", "calicopin"] if as_module else [installed.commands / "calicopin"]
    usage = run_command(*words, "--help")
    assert (usage.returncode, usage.stderr) == (0, "")
    assert "calicopin check courier.toml" in usage.stdout
    checked = run_command(*words, "check", EXAMPLE)
    assert (checked.returncode, checked.stderr) == (0, "")
    missing = run_command(*words, "check", "/no-such-file.toml")
    assert (missing.returncode, missing.stderr) == (1, "")
    assert missing.stdout.startswith("fault: /no-such-file.toml: ")


@pytest.mark.parametrize(
    "words", [["write", "--example"], ["schema"], ["show", EXAMPLE], ["convert", EXAMPLE]]
)
def test_commands_that_write_work_after_a_plain_install(installed, words):
    completed = run_command(installed.commands / "calicopin", *words)
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout


@pytest.mark.parametrize("as_module", [False, True])
@pytest.mark.parametrize(
    "words,variables,library",
    [(["--help"], {}, "click"), ([], {}, "click"), ([], {"LB_CONFIG": str(EXAMPLE)}, "msgspec")],
)
def test_without_a_needed_library_one_line_says_what_to_install(
    courier_alone, as_module, words, variables, library
):
    command = (
        [courier_alone.python, "-m", "calicopin"] if as_module else [courier_alone.commands / "calicopin"]
    )
    refused = run_command(*command, *words, **variables)
    assert (refused.returncode, refused.stdout) == (2, "")
    assert refused.stderr.count("\n") == 1
    assert f" {library}," in refused.stderr and "pip install calicopin" in refused.stderr


def test_a_courier_imports_no_library_of_the_command_line(courier_alone):
    """`python -m calicopin` with LB_CONFIG imports these modules; click and msgspec aren't installed."""
    completed = run_command(
        courier_alone.python,
        "-c",
        "import sys, calicopin.__main__, calicopin.lifecycle.start\n"
        "print(*sorted({'click', 'msgspec', 'tomli_w', 'h11'} & set(sys.modules)))",
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "h11\n", "")


RUN_PARTS = (
    "__main__",
    "lifecycle.start",
    "lifecycle.shutdown_steps",
    "store.segments",
    "handover.sender",
    "handover.receiver",
    "admin.server",
)


def test_the_deploy_file_names_every_module_that_run_imports():
    """Without subscriptions, as on the platform: their modules are imported only if nodes are configured."""
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    deployed = [*deployment["node"], *deployment["policy"]]
    script = "import sys\n" + "".join(f"import calicopin.{part}\n" for part in RUN_PARTS)
    script += "print(*(each.__file__ for name, each in sys.modules.items() if name.startswith('calicopin.')))"
    completed = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    paths = [str(Path(path).relative_to(ROOT)) for path in completed.stdout.split()]
    missing = [
        path for path in paths if not any(path == name or path.startswith(f"{name}/") for name in deployed)
    ]
    assert len(paths) > 30 and not missing
