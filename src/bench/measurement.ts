/** What every measurement is and gives. */
import type { Random } from "../ports/index.ts";
import type { CleanupStack } from "./cleanup_stack.ts";

/** Figures by field name. */
export type Figures = Readonly<Record<string, number | string>>;

/** A target that a figure should meet; it never moves. */
export interface Target {
  readonly field: string;
  readonly bound: "atMost" | "atLeast";
  readonly value: number;
}

/** A series of points for a person. */
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

/** What a measurement gives. */
export interface Outcome {
  readonly figures: Figures;
  readonly plots: readonly Plot[];
}

/** What a measurement may use. */
export interface MeasurementContext {
  readonly seed: number;
  /** Whether the whole run must end within 50 s. */
  readonly quick: boolean;
  readonly random: Random;
  readonly entryCount: number;
  readonly voterCount: number;
  /** Takes what must be cleaned up, also after a failure. */
  readonly cleanup: CleanupStack;
  /**
   * Tells a person how far the run is.
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
   * Runs the measurement to its end.
   *
   * @param context - Seed, size and clean-up.
   * @returns Figures and plots.
   */
  run(context: MeasurementContext): Promise<Outcome>;
}

/**
 * Tells whether a figure meets its target.
 *
 * @param target - The target.
 * @param figures - The figures.
 * @returns True when it does; false also when the figure is missing.
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
