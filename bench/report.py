"""Draw a page of plots from the output of the policy experiment."""

import argparse
import html
import json
import pathlib
import sys

from bench import policy
from bitternlever.routing import policies

FOLDER = "var/report"
WIDTH_INCHES = 11.0
HEIGHT_INCHES = 4.2
DOTS_PER_INCH = 110
PLOTS = {
    "attainment": ("Answered whole within the deadline, all kinds", 1.0),
    "urgent_attainment": ("Answered whole within the deadline, urgent kinds", 1.0),
    "generation_ms_per_token": ("Generation, ms of engine time a token", None),
    "smallest_workspace_wait_p99_s": (
        "Wait of the smallest workspace, 99th percentile, s",
        None,
    ),
}


def draw(lines: list[dict], folder: pathlib.Path) -> list[pathlib.Path]:
    """Draw one image for each entry of PLOTS and return their paths."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    scenarios = list(dict.fromkeys(line["scenario"] for line in lines))
    images = []
    for name, (title, y_maximum) in PLOTS.items():
        figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
        width = 0.8 / len(policies.NAMES)
        for index, policy_name in enumerate(policies.NAMES):
            values = [
                _value(lines, scenario, policy_name, name) for scenario in scenarios
            ]
            positions = [position + index * width for position in range(len(scenarios))]
            axes.bar(positions, values, width, label=policy_name.replace("_", " "))
        centers = [position + 0.4 - width / 2 for position in range(len(scenarios))]
        axes.set_xticks(centers, scenarios, rotation=30, ha="right")
        axes.set_title(title)
        if y_maximum is not None:
            axes.set_ylim(0.5, y_maximum)
        axes.legend(fontsize="small")
        figure.tight_layout()
        path = folder / f"{name}.png"
        figure.savefig(path, dpi=DOTS_PER_INCH)
        pyplot.close(figure)
        images.append(path)
    return images


def write_page(
    lines: list[dict],
    images: list[pathlib.Path],
    folder: pathlib.Path,
) -> pathlib.Path:
    """Write the page with the plots and a table of all runs."""
    columns = ["scenario", "policy", "seed", "offered", *PLOTS]
    rows = [
        "".join(f"<td>{html.escape(str(line[column]))}</td>" for column in columns)
        for line in lines
    ]
    head = "".join(f"<th>{column}</th>" for column in columns)
    body = "".join(f"<tr>{row}</tr>" for row in rows)
    image_tags = "".join(f'<p><img src="{path.name}" alt=""></p>' for path in images)
    page = folder / "index.html"
    page.write_text(
        "<!doctype html><meta charset='utf-8'><title>Policies</title>"
        "<h1>Policies under load and faults</h1>"
        f"{image_tags}<table border='1'><tr>{head}</tr>{body}</table>",
    )
    return page


def run(arguments: list[str]) -> int:
    """Read or measure the figures, draw the plots and write the page."""
    parser = argparse.ArgumentParser(prog="bench report")
    parser.add_argument("--lines", help="a file with the output of bench policy")
    parser.add_argument("--folder", default=FOLDER)
    parser.add_argument("--scenario", nargs="+", choices=list(policy.SCENARIOS))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    folder = pathlib.Path(options.folder)
    folder.mkdir(parents=True, exist_ok=True)
    if options.lines:
        text = pathlib.Path(options.lines).read_text()
        lines = [json.loads(line) for line in text.splitlines()]
    else:
        lines = _measure(options.scenario or list(policy.SCENARIOS), options.seed)
    page = write_page(lines, draw(lines, folder), folder)
    print(json.dumps({"page": str(page), "runs": len(lines)}))
    return 0


def _measure(scenarios: list[str], seed: int) -> list[dict]:
    lines = []
    for scenario in scenarios:
        for policy_name in policies.NAMES:
            print(f"measuring {scenario} with {policy_name}", file=sys.stderr)
            lines.append(policy.measure(scenario, policy_name, seed))
    return lines


def _value(lines: list[dict], scenario: str, policy_name: str, name: str) -> float:
    for line in lines:
        if line["scenario"] == scenario and line["policy"] == policy_name:
            return line[name] or 0.0
    return 0.0
