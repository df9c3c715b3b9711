import { mkdirSync, writeFileSync } from 'node:fs';
import * as echarts from 'echarts';
import { z } from 'zod';

/** Plots of benches as SVG files, for the pages. */

/** One line or row of bars. */
export interface PlotSeries {
  readonly name: string;
  readonly values: readonly number[];
}

/** One plot. */
export interface Plot {
  readonly file: string;
  readonly title: string;
  readonly kind: 'line' | 'bar';
  readonly xTitle: string;
  readonly xValues: readonly string[];
  readonly yTitle: string;
  readonly series: readonly PlotSeries[];
}

const FOLDER = 'docs/figures';
const WIDTH = 720;
const HEIGHT = 380;

function renderPlot(plot: Plot): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    title: { text: plot.title, left: 'center', textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 70, right: 20, top: 50, bottom: 70 },
    xAxis: {
      type: 'category',
      name: plot.xTitle,
      nameLocation: 'middle',
      nameGap: 25,
      data: [...plot.xValues],
    },
    yAxis: { type: 'value', name: plot.yTitle },
    series: plot.series.map(({ name, values }) => ({ name, type: plot.kind, data: [...values] })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Writes one plot to docs/figures. */
export function writePlot(plot: Plot): void {
  mkdirSync(FOLDER, { recursive: true });
  writeFileSync(`${FOLDER}/${plot.file}.svg`, `${renderPlot(plot)}\n`);
}

/** What a bench run left, for plotting. */
export interface PlottedRun {
  readonly bench: string;
  readonly value: unknown;
}

/**
 * What a plot needs of a load scenario as `bench/decisions` prints it. Checked, since a renamed field would
 * otherwise give an empty plot that looks like a measurement.
 */
const scenariosSchema = z.array(
  z.object({
    name: z.string(),
    runs: z.array(
      z.object({
        policy: z.string(),
        classes: z.record(z.string(), z.object({ latency: z.object({ p99Ms: z.number() }) })),
      }),
    ),
  }),
);

type ScenarioResult = z.output<typeof scenariosSchema>[number];

function plotScenario({ name, runs }: ScenarioResult): Plot {
  const classes = [...new Set(runs.flatMap((run) => Object.keys(run.classes)))];
  return {
    file: `scenario-${name.replaceAll(/[^a-z0-9]+/gi, '-').toLowerCase()}`,
    title: name,
    kind: 'bar',
    xTitle: 'policy',
    xValues: runs.map((run) => run.policy),
    yTitle: 'p99, ms',
    series: classes.map((className) => ({
      name: className,
      values: runs.map((run) => Math.round(run.classes[className]?.latency.p99Ms ?? 0)),
    })),
  };
}

/** Writes the plots that the runs allow. */
export function writePlots(runs: readonly PlottedRun[]): void {
  const decisions = runs.find((run) => run.bench === 'decisions');
  if (decisions === undefined) return;
  for (const scenario of scenariosSchema.parse(decisions.value)) writePlot(plotScenario(scenario));
}
