"""The command ``questionnaire``: generates a configuration from answers."""

from __future__ import annotations

import sys
from pathlib import Path

from .._contracts import Configuration
from ..operations import (
    UNAPPLIED,
    Answers,
    Prompt,
    check,
    decode_document,
    differences,
    generate,
    interview,
    render_answers,
    render_generated,
    unusable_addresses,
)
from ._ctl_files import read_text, write_text
from ._ctl_output import CommandError, ExitCode, Output, run_and_report


def questionnaire(*, output: Path, answers: Path | None = None, json: bool = False) -> ExitCode:
    """Generate a configuration from answers about services, batch jobs and tolerances.

    Without ``--answers``, the questions are asked at the terminal, and the answers are saved in the
    directory of the output as a file for ``--answers``. The same answers always generate the same
    file, and a changed answer changes only the values that depend on it. An existing output file
    keeps its version. Exit status: 0 written and valid, 3 written but some rules are broken, 2 the
    answers can't be used and nothing was written.

    Examples::

        fireflyfork-ctl questionnaire --output ours.jsonc
        fireflyfork-ctl questionnaire --answers answers.jsonc --output ours.jsonc

    :param output: configuration file to write
    :param answers: file of answers, JSON with comments
    :param json: print the result as JSON
    """
    printer = Output(json)

    def command() -> ExitCode:
        source = answers or _saved_answers_file(output)
        if answers is None:
            _interview_and_save(source, printer)
        return _generate(_read_answers(source, printer), source.name, output, printer)

    return run_and_report(printer, command)


def _saved_answers_file(output: Path) -> Path:
    return output.with_name(f"{output.stem}.answers.jsonc")


def _interview_and_save(file: Path, output: Output) -> None:
    """Ask all questions and save the answers before generating a configuration."""
    try:
        answers = _ask_at_terminal(output)
    except EOFError:
        raise CommandError(
            ExitCode.USAGE,
            "the input ended before all questions were answered; nothing was written",
            "give --answers FILE to answer from a file; examples/naidu/answers.jsonc shows one",
        ) from None
    write_text(file, render_answers(answers, f"Answers of {answers.organisation}."))
    output.progress(f"your answers are in {file}; change them there and run with --answers")


def _ask_at_terminal(output: Output) -> Answers:
    conversation = interview()
    prompt = next(conversation)
    while True:
        try:
            prompt = conversation.send(_reply(prompt, output))
        except StopIteration as end:
            answers = end.value
            assert isinstance(answers, Answers)
            return answers


def _reply(prompt: Prompt, output: Output) -> str:
    if prompt.error:
        output.progress(f"  not understood: {prompt.error}")
    else:
        output.progress(f"\n{prompt.text}\n  {prompt.why}")
    default = f" [{prompt.default}]" if prompt.default else ""
    output.ask(f"{prompt.path}{default}: ")
    line = sys.stdin.readline()
    if not line:
        raise EOFError
    return line


def _read_answers(file: Path, output: Output) -> Answers:
    decoded = decode_document(Answers, read_text(file))
    violations = decoded.violations
    if decoded.value is not None:
        violations = tuple(unusable_addresses(decoded.value))
    if decoded.value is None or violations:
        output.violations(str(file), violations)
        raise CommandError(ExitCode.USAGE, f"{file} can't be used; nothing was written")
    return decoded.value


def _generate(answers: Answers, source: str, file: Path, output: Output) -> ExitCode:
    existing = _existing_configuration(file)
    version = existing.version if existing is not None else UNAPPLIED
    generated = generate(answers, version)
    title = (
        f"{answers.organisation}: made by fireflyfork-ctl questionnaire from {source}.\n"
        "A comment names the answer that the value below it came from; change it there."
    )
    write_text(file, render_generated(generated, title))
    violations = check(generated.configuration)
    if violations:
        output.violations(str(file), violations)
        return ExitCode.INVALID
    _print_result(file, existing, generated.configuration, output)
    return ExitCode.DONE


def _print_result(
    file: Path, before: Configuration | None, after: Configuration, output: Output
) -> None:
    """Print what was written and how it differs from the previous file."""
    changes = differences(before, after) if before is not None else ()
    lines = [
        f"{file}: {len(after.services)} service(s) with {len(after.targets)} targets; "
        "all rules hold",
        *(["against the file before:"] if changes else []),
        *(f"  {difference}" for difference in changes),
    ]
    output.result({"file": str(file), "violations": [], "differences": changes}, lines)


def _existing_configuration(file: Path) -> Configuration | None:
    """Return the configuration that the file already contains, or None."""
    if not file.exists():
        return None
    return decode_document(Configuration, read_text(file)).value
