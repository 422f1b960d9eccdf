"""Renders the report as an HTML page that loads no other files."""

from collections.abc import Iterable, Iterator
from html import escape

from marigoldpath_core.report import Report, ReportPlot, ReportSection, ReportTable

WIDTH_PX = 720
HEIGHT_PX = 220
LEFT_MARGIN_PX = 56
BOTTOM_MARGIN_PX = 28
TOP_MARGIN_PX = 12
COLOURS = ("#2f5d8a", "#c77b30", "#4f8a4b", "#8a4b7d", "#6b6b6b", "#b3423a")
STYLE = """
body { font: 16px/1.5 sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem;
  color: #222; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.2rem; margin-top: 2rem; }
table { border-collapse: collapse; margin: 1rem 0; }
caption { text-align: left; font-weight: bold; }
th, td { text-align: left; padding: 0.2rem 1rem 0.2rem 0; vertical-align: top;
  border-bottom: 1px solid #ddd; }
td.number { text-align: right; }
svg { max-width: 100%; height: auto; } svg text { font: 11px sans-serif; fill: #444; }
"""


def report_page(report: Report) -> str:
    """Return the HTML page of a report."""
    sections = "".join(_section(section) for section in report.sections)
    title = escape(report.title)
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width">\n'
        f"<title>{title}</title>\n<style>{STYLE}</style>\n</head>\n<body>\n"
        f"<h1>{title}</h1>\n{sections}</body>\n</html>\n"
    )


def _section(section: ReportSection) -> str:
    summary = "".join(f"<p>{escape(line)}</p>\n" for line in section.summary)
    tables = "".join(_table(table) for table in section.tables if table.rows)
    plots = "".join(_plot(plot) for plot in section.plots if _max_value(plot) > 0)
    title = f'<h2 id="{escape(section.name)}">{escape(section.title)}</h2>\n'
    return f"<section>\n{title}{summary}{tables}{plots}</section>\n"


def _table(table: ReportTable) -> str:
    head = "".join(f'<th scope="col">{escape(c)}</th>' for c in table.columns)
    rows = "".join(f"<tr>{_cells(row)}</tr>\n" for row in table.rows)
    caption = f"<caption>{escape(table.title)}</caption>"
    return f"<table>{caption}\n<tr>{head}</tr>\n{rows}</table>\n"


def _cells(row: Iterable[object]) -> str:
    cells = []
    for cell in row:
        if isinstance(cell, int | float):
            cells.append(f'<td class="number">{cell:,}</td>')
        else:
            cells.append(f"<td>{escape(str(cell))}</td>")
    return "".join(cells)


def _max_value(plot: ReportPlot) -> float:
    return max((max(series.values, default=0) for series in plot.series), default=0)


def _plot(plot: ReportPlot) -> str:
    parts = [
        f'<svg viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" width="{WIDTH_PX}" '
        f'height="{HEIGHT_PX}" role="img" aria-label="{escape(plot.title)}">',
        *_axis(plot),
        *_bars(plot),
        "</svg>",
    ]
    legend = " &middot; ".join(
        f'<span style="color:{COLOURS[index % len(COLOURS)]}">&#9632;</span> '
        f"{escape(series.name)}"
        for index, series in enumerate(plot.series)
    )
    caption = f"<figcaption><b>{escape(plot.title)}</b><br>{legend}</figcaption>"
    return f"<figure>{caption}\n{''.join(parts)}\n</figure>\n"


def _axis(plot: ReportPlot) -> Iterator[str]:
    max_value = _max_value(plot)
    baseline = HEIGHT_PX - BOTTOM_MARGIN_PX
    for fraction in (0, 0.5, 1):
        y = baseline - fraction * (baseline - TOP_MARGIN_PX)
        yield (
            f'<line x1="{LEFT_MARGIN_PX}" x2="{WIDTH_PX}" y1="{y:g}" y2="{y:g}" '
            f'stroke="#ddd"/>'
            f'<text x="{LEFT_MARGIN_PX - 6}" y="{y + 4:g}" text-anchor="end">'
            f"{fraction * max_value:,.4g}</text>"
        )
    step = (WIDTH_PX - LEFT_MARGIN_PX) / max(len(plot.labels), 1)
    for index, label in enumerate(plot.labels):
        x = LEFT_MARGIN_PX + (index + 0.5) * step
        yield (
            f'<text x="{x:.1f}" y="{HEIGHT_PX - 10}" text-anchor="middle">'
            f"{escape(label)}</text>"
        )
    yield f'<text x="0" y="{TOP_MARGIN_PX - 2}">{escape(plot.unit)}</text>'


def _bars(plot: ReportPlot) -> Iterator[str]:
    max_value = _max_value(plot)
    baseline = HEIGHT_PX - BOTTOM_MARGIN_PX
    step = (WIDTH_PX - LEFT_MARGIN_PX) / max(len(plot.labels), 1)
    width = 0.8 * step / max(len(plot.series), 1)
    for series_index, series in enumerate(plot.series):
        colour = COLOURS[series_index % len(COLOURS)]
        for index, value in enumerate(series.values):
            height = value / max_value * (baseline - TOP_MARGIN_PX)
            x = LEFT_MARGIN_PX + index * step + 0.1 * step + series_index * width
            yield (
                f'<rect x="{x:.1f}" y="{baseline - height:.1f}" width="{width:.1f}" '
                f'height="{height:.1f}" fill="{colour}"><title>'
                f"{escape(series.name)}, {escape(plot.labels[index])}: {value:g}"
                "</title></rect>"
            )
