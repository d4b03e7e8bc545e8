"""The package as it is installed: what the wheel holds, and the commands in a fresh environment, without a
network.
"""

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
LEAST_SETUPTOOLS = (70, 1)  # the first that builds a wheel without another package
COURIER_LIBRARIES = ["h11", "loguru"]
TIMEOUT = 60.0  # seconds for one command


def call(*words, **variables):
    """One command to its end, outside of the repository and without the variables of the caller's Python."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith(("PYTHON", "LB_"))}
    return subprocess.run(
        [str(word) for word in words],
        cwd="/",
        env=kept | variables,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
    )


def pins(file):
    """The lines of a file of requirements, without those that include another."""
    return [line for line in (ROOT / file).read_text().split("\n") if line and not line.startswith("-r")]


def project():
    """The table `project` of pyproject.toml."""
    return tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]


def needed(requirements, extra=""):
    """The names of all distributions that these requirements bring, those that they need in turn with
    them.
    """
    names, left = set(), [Requirement(line) for line in requirements]
    while left:
        requirement = left.pop()
        if requirement.marker and not requirement.marker.evaluate({"extra": extra}):
            continue
        if requirement.name not in names:
            names.add(requirement.name)
            left += [Requirement(line) for line in metadata.requires(requirement.name) or []]
    return names


class Installation:
    """A fresh environment with the wheel and no other distributions than those named, copied from this
    one.
    """

    def __init__(self, folder, wheel, names):
        venv.create(folder, symlinks=True, with_pip=False)
        self.commands = folder / "bin"
        self.python = self.commands / "python"
        self.libraries = folder / f"lib/python{sys.version_info.major}.{sys.version_info.minor}/site-packages"
        for name in names:
            self.copy(metadata.distribution(name))
        installed = call(
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
    """The package's wheel, built from a copy of the sources by the setuptools that is installed here."""
    version = tuple(int(part) for part in metadata.version("setuptools").split(".")[:2])
    assert version >= LEAST_SETUPTOOLS, f"setuptools {version}: pip install -r requirements-dev.txt"
    copy, out = tmp_path_factory.mktemp("sources"), tmp_path_factory.mktemp("wheel")
    for file in [ROOT / "pyproject.toml", ROOT / "LICENSE", *source_files()]:
        target = copy / file.relative_to(ROOT)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(file.read_bytes())
    built = call(
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
    """Every file of the package's folders, without compiled bytecode."""
    return [file for file in SOURCES.rglob("*") if file.is_file() and "__pycache__" not in file.parts]


@pytest.fixture(scope="module")
def installed(wheel, tmp_path_factory):
    """What `pip install calicopin` brings, and nothing else."""
    return Installation(tmp_path_factory.mktemp("plain"), wheel, needed(project()["dependencies"]))


@pytest.fixture(scope="module")
def courier_alone(wheel, tmp_path_factory):
    """The package with the libraries of requirements.txt only, as the platform builds it."""
    return Installation(tmp_path_factory.mktemp("courier"), wheel, needed(pins("requirements.txt")))


def test_the_wheel_holds_every_file_of_the_package(wheel):
    with zipfile.ZipFile(wheel) as archive:
        held = {name for name in archive.namelist() if ".dist-info/" not in name}
    assert held == {str(file.relative_to(ROOT)) for file in source_files()}


def test_every_folder_with_modules_is_a_package():
    assert [file for file in SOURCES.rglob("*.py") if not (file.parent / "__init__.py").exists()] == []


def test_pins_of_the_package_are_those_of_the_requirements():
    told = project()
    everything = told["dependencies"] + [
        pin for extra in told["optional-dependencies"].values() for pin in extra
    ]
    assert sorted(everything) == sorted(pins("requirements.txt") + pins("requirements-emulator.txt"))
    assert [pin.partition("==")[0] for pin in pins("requirements.txt")] == COURIER_LIBRARIES


@pytest.mark.parametrize("as_module", [False, True])
def test_the_command_works_after_a_plain_install(installed, as_module):
    words = [installed.python, "-m", "calicopin"] if as_module else [installed.commands / "calicopin"]
    helped = call(*words, "--help")
    assert (helped.returncode, helped.stderr) == (0, "")
    assert "calicopin check courier.toml" in helped.stdout
    checked = call(*words, "check", EXAMPLE)
    assert (checked.returncode, checked.stderr) == (0, "")
    missing = call(*words, "check", "/no-such-file.toml")
    assert (missing.returncode, missing.stderr) == (1, "")
    assert missing.stdout.startswith("fault: /no-such-file.toml: ")


@pytest.mark.parametrize(
    "words", [["write", "--example"], ["schema"], ["show", EXAMPLE], ["convert", EXAMPLE]]
)
def test_commands_that_write_work_after_a_plain_install(installed, words):
    made = call(installed.commands / "calicopin", *words)
    assert (made.returncode, made.stderr) == (0, "")
    assert made.stdout


@pytest.mark.parametrize("as_module", [False, True])
@pytest.mark.parametrize(
    "words,variables,library",
    [(["--help"], {}, "click"), ([], {}, "click"), ([], {"LB_CONFIG": str(EXAMPLE)}, "msgspec")],
)
def test_with_a_courier_s_libraries_one_line_says_what_to_install(
    courier_alone, as_module, words, variables, library
):
    command = (
        [courier_alone.python, "-m", "calicopin"] if as_module else [courier_alone.commands / "calicopin"]
    )
    refused = call(*command, *words, **variables)
    assert (refused.returncode, refused.stdout) == (2, "")
    assert refused.stderr.count("\n") == 1
    assert f" {library}," in refused.stderr and "pip install calicopin" in refused.stderr


def test_a_courier_reads_in_no_library_of_the_command_line(courier_alone):
    """`python -m calicopin` with LB_CONFIG goes this way; click and msgspec aren't there to be read in."""
    read_in = call(
        courier_alone.python,
        "-c",
        "import sys, calicopin.__main__, calicopin.lifecycle.start\n"
        "print(*sorted({'click', 'msgspec', 'tomli_w', 'h11'} & set(sys.modules)))",
    )
    assert (read_in.returncode, read_in.stdout, read_in.stderr) == (0, "h11\n", "")


RUN_PARTS = (
    "__main__",
    "lifecycle.start",
    "lifecycle.shutdown_steps",
    "store.segments",
    "handover.giver",
    "handover.taker",
    "admin.server",
)


def test_the_deploy_file_names_every_module_that_run_imports():
    """Subscriptions are off on the platform: their modules are read in only where nodes are given."""
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    named = [*told["node"], *told["policy"]]
    script = "import sys\n" + "".join(f"import calicopin.{part}\n" for part in RUN_PARTS)
    script += "print(*(each.__file__ for name, each in sys.modules.items() if name.startswith('calicopin.')))"
    done = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    paths = [str(Path(path).relative_to(ROOT)) for path in done.stdout.split()]
    missing = [
        path for path in paths if not any(path == name or path.startswith(f"{name}/") for name in named)
    ]
    assert len(paths) > 30 and not missing
