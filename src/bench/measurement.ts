/** Defines the types that all measurements share. */
import type { Random } from "../ports/index.ts";
import type { CleanupStack } from "./cleanup_stack.ts";

/** Figures by field name. */
export type Figures = Readonly<Record<string, number | string>>;

/** A bound that a figure should meet. The bounds of targets never change. */
export interface Target {
  readonly field: string;
  readonly bound: "atMost" | "atLeast";
  readonly value: number;
}

/** A plot for the report. */
export interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly PlotSeries[];
}

/** One line of a {@link Plot}. */
export interface PlotSeries {
  readonly label: string;
  readonly points: readonly (readonly [x: number, y: number])[];
}

/** Result of a measurement. */
export interface Outcome {
  readonly figures: Figures;
  readonly plots: readonly Plot[];
}

/** Settings and tools for one run of a measurement. */
export interface MeasurementContext {
  readonly seed: number;
  /** Whether the whole run must end within 50 s. */
  readonly quick: boolean;
  readonly random: Random;
  readonly entryCount: number;
  readonly voterCount: number;
  /** Collects clean-up steps, which also run after a failure. */
  readonly cleanup: CleanupStack;
  /**
   * Prints progress of the run.
   *
   * @param text - One line.
   */
  report(text: string): void;
}

/** One measurement of the bench. */
export interface Measurement {
  readonly name: string;
  readonly summary: string;
  readonly targets: readonly Target[];
  /**
   * Runs the measurement.
   *
   * @param context - Seed, sizes, progress output and clean-up.
   * @returns Figures and plots.
   */
  run(context: MeasurementContext): Promise<Outcome>;
}

/**
 * Checks whether a figure meets its target.
 *
 * @param target - The target.
 * @param figures - The figures.
 * @returns Whether it does; false if the figure is missing or not a number.
 */
export function meetsTarget(target: Target, figures: Figures): boolean {
  const figure = figures[target.field];
  if (typeof figure !== "number" || Number.isNaN(figure)) {
    return false;
  }
  return target.bound === "atMost"
    ? figure <= target.value
    : figure >= target.value;
}
