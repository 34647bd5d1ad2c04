/** Renders figures and plots of a measurement as one self-contained page. */
import {
  type Figures,
  type Measurement,
  meetsTarget,
  type Outcome,
  type Plot,
  type PlotSeries,
} from "./measurement.ts";

const WIDTH = 640;
const HEIGHT = 280;
const MARGIN = 50;
const COLOURS = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e"];
const STYLE =
  "body{font-family:sans-serif;max-width:720px;margin:2em auto}td,th{padding:2px 12px;text-align:left}";

interface Scale {
  readonly minX: number;
  readonly maxX: number;
  readonly maxY: number;
}

/**
 * Renders the report of a measurement.
 *
 * @param measurement - The measurement.
 * @param outcome - Figures and plots.
 * @returns HTML with inline SVG, which needs no other files.
 */
export function renderReport(
  measurement: Measurement,
  outcome: Outcome,
): string {
  const title = escapeText(`${measurement.name}: ${measurement.summary}`);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${title}</title>
<style>${STYLE}</style></head><body>
<h1>${title}</h1>
${renderFigures(measurement, outcome.figures)}
${outcome.plots.map(renderPlot).join("\n")}
</body></html>
`;
}

function renderFigures(measurement: Measurement, figures: Figures): string {
  const rows = Object.entries(figures).map(([field, value]) => {
    const target = measurement.targets.find((one) => one.field === field);
    const sign = target?.bound === "atMost" ? "&le;" : "&ge;";
    const bound = target === undefined ? "" : `${sign} ${target.value}`;
    const verdict = target === undefined
      ? ""
      : meetsTarget(target, figures)
      ? "met"
      : "missed";
    const cells = [
      escapeText(field),
      escapeText(String(value)),
      bound,
      verdict,
    ];
    return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join("")}</tr>`;
  });
  return `<table><tr><th>figure</th><th>value</th><th>target</th><th></th></tr>
${rows.join("\n")}
</table>`;
}

function renderPlot(plot: Plot): string {
  const scale = computeScale(plot);
  const lines = plot.series.map((series, index) =>
    renderSeries(series, scale, COLOURS[index % COLOURS.length] ?? "black")
  );
  const legend = plot.series.map(({ label }, index) =>
    `<text x="${MARGIN + 10 + index * 140}" y="18" fill="${
      COLOURS[index % COLOURS.length]
    }">${escapeText(label)}</text>`
  );
  const bottom = HEIGHT - MARGIN;
  return `<h2>${escapeText(plot.title)}</h2>
<svg width="${WIDTH}" height="${HEIGHT}" font-size="12">
<rect x="${MARGIN}" y="${MARGIN / 2}" width="${WIDTH - MARGIN * 1.5}" height="${
    HEIGHT - MARGIN * 1.5
  }" fill="none" stroke="#999"/>
${lines.join("\n")}
${legend.join("\n")}
<text x="2" y="${MARGIN / 2 + 10}">${formatNumber(scale.maxY)}</text>
<text x="2" y="${bottom}">0</text>
<text x="${MARGIN}" y="${bottom + 16}">${formatNumber(scale.minX)}</text>
<text x="${WIDTH - MARGIN * 1.5}" y="${bottom + 16}">${
    formatNumber(scale.maxX)
  }</text>
<text x="${WIDTH / 2}" y="${bottom + 32}" text-anchor="middle">${
    escapeText(`${plot.yLabel} by ${plot.xLabel}`)
  }</text>
</svg>`;
}

function renderSeries(
  series: PlotSeries,
  scale: Scale,
  colour: string,
): string {
  const points = series.points.map(([x, y]) => {
    const xRatio = (x - scale.minX) / (scale.maxX - scale.minX);
    const left = MARGIN + xRatio * (WIDTH - MARGIN * 1.5);
    const top = HEIGHT - MARGIN - y / scale.maxY * (HEIGHT - MARGIN * 1.5);
    return `${left.toFixed(1)},${top.toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${colour}" points="${
    points.join(" ")
  }"/>`;
}

function computeScale({ series }: Plot): Scale {
  const points = series.flatMap((one) => [...one.points]);
  const minX = points.reduce((least, [x]) => Math.min(least, x), Infinity);
  const maxX = points.reduce((most, [x]) => Math.max(most, x), -Infinity);
  const maxY = points.reduce((most, [, y]) => Math.max(most, y), 0);
  if (points.length === 0) {
    return { minX: 0, maxX: 1, maxY: 1 };
  }
  return {
    minX,
    maxX: maxX > minX ? maxX : minX + 1,
    maxY: maxY > 0 ? maxY : 1,
  };
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(4)));
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;");
}
