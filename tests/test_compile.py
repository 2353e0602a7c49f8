"""The compiled copy: made once for the same sources, and left as it is where nothing can be compiled."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest


@pytest.fixture
def compiling(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> ModuleType:
    """deploy/compile.py over a package of one module, in a folder of its own."""
    spec = importlib.util.spec_from_file_location("compiling", Path("deploy/compile.py"))
    assert spec is not None and spec.loader is not None
    made = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(made)
    package = tmp_path / "topazbank"
    package.mkdir()
    (package / "__init__.py").write_text("", encoding="utf-8")
    (package / "one.py").write_text("x: int = 'no number'\n", encoding="utf-8")
    monkeypatch.setattr(made, "ROOT", tmp_path)
    monkeypatch.setattr(made, "OUT", tmp_path / "out" / "compiled")
    monkeypatch.setattr(made, "__file__", str(package / "one.py"))
    monkeypatch.setattr(made, "MODULES", ("one.py",))
    (tmp_path / "out").mkdir()
    return made


def test_what_cannot_be_compiled_runs_as_it_is(
    compiling: ModuleType, capsys: pytest.CaptureFixture[str]
) -> None:
    assert compiling.main() == 0
    assert "not compiled, runs as it is" in capsys.readouterr().err
    assert (compiling.OUT / "topazbank" / "one.py").read_text(encoding="utf-8").startswith("x: int")
    assert not list(compiling.OUT.rglob("*.so"))


def test_a_compiler_that_leaves_half_its_work_leaves_nothing_of_it(
    compiling: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    def half(folder: Path) -> str:
        (folder / "topazbank" / "one.so").write_bytes(b"half")
        return "no headers"

    monkeypatch.setattr(compiling, "compile_in", half)
    assert compiling.main() == 0
    assert not list(compiling.OUT.rglob("*.so")) and (compiling.OUT / "stamp").exists()


def test_the_copy_is_made_anew_for_other_sources_alone(
    compiling: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    made: list[Path] = []
    monkeypatch.setattr(compiling, "compile_in", made.append)
    assert compiling.main() == compiling.main() == 0
    assert len(made) == 1
    (compiling.ROOT / "topazbank" / "one.py").write_text("x = 2\n", encoding="utf-8")
    assert compiling.main() == 0
    assert len(made) == 2
    assert (compiling.OUT / "topazbank" / "one.py").read_text(encoding="utf-8") == "x = 2\n"
