/** Runs one measurement and always cleans up, including after a failure. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import process from "node:process";
import { SeededRandom } from "../adapters/random/index.ts";
import { CleanupStack } from "./cleanup_stack.ts";
import {
  type Figures,
  type Measurement,
  type MeasurementContext,
  meetsTarget,
  type Outcome,
  type Target,
} from "./measurement.ts";

const INTERRUPTED_EXIT_CODE = 130;
const QUICK_LIMIT_MS = 50_000;
const DECIMALS = 4;
const NANOSECONDS_PER_MS = 1_000_000;

/** Options of {@link runMeasurement}. */
export interface RunOptions {
  readonly seed: number;
  readonly quick: boolean;
  readonly entryCount: number;
  readonly voterCount: number;
}

/**
 * Runs a measurement. Its processes are stopped when it ends, on an interrupt, and
 * when a quick run exceeds its time limit.
 *
 * @param measurement - The measurement.
 * @param options - Seed, duration and numbers of entries and voters.
 * @returns Figures and plots. The figures include the delay of the event loop.
 * @throws Error when the measurement cannot be carried out.
 */
export async function runMeasurement(
  measurement: Measurement,
  options: RunOptions,
): Promise<Outcome> {
  const cleanup = new CleanupStack();
  const interrupt = () => cleanUpAndExit(cleanup, "interrupted");
  process.once("SIGINT", interrupt);
  process.once("SIGTERM", interrupt);
  const timer = options.quick
    ? setTimeout(
      () => cleanUpAndExit(cleanup, "time limit exceeded"),
      QUICK_LIMIT_MS,
    )
    : undefined;
  const context: MeasurementContext = {
    ...options,
    cleanup,
    random: new SeededRandom(options.seed),
    report: (text) => process.stderr.write(`${measurement.name}: ${text}\n`),
  };
  const loopDelay = monitorEventLoopDelay();
  loopDelay.enable();
  try {
    const outcome = await measurement.run(context);
    // Delays of this event loop distort all measured times.
    const benchLateP99Ms = loopDelay.percentile(99) / NANOSECONDS_PER_MS;
    const benchLateMaxMs = loopDelay.max / NANOSECONDS_PER_MS;
    const figures = { ...outcome.figures, benchLateP99Ms, benchLateMaxMs };
    return { ...outcome, figures: roundFigures(figures) };
  } finally {
    clearTimeout(timer);
    process.off("SIGINT", interrupt);
    process.off("SIGTERM", interrupt);
    const failures = await cleanup.run();
    failures.forEach((failure) =>
      process.stderr.write(`clean-up: ${String(failure)}\n`)
    );
  }
}

/**
 * Describes a target and whether its figure meets it.
 *
 * @param target - The target.
 * @param figures - The figures.
 * @returns One line that ends with `met`, `MISSED`, or `OPEN` if not measured.
 */
export function describeTarget(target: Target, figures: Figures): string {
  const sign = target.bound === "atMost" ? "<=" : ">=";
  const figure = figures[target.field] ?? "not measured";
  const missed = typeof figure === "number" ? "MISSED" : "OPEN";
  const verdict = meetsTarget(target, figures) ? "met" : missed;
  return `${target.field} ${figure} (target ${sign} ${target.value}): ${verdict}`;
}

async function cleanUpAndExit(
  cleanup: CleanupStack,
  reason: string,
): Promise<void> {
  process.stderr.write(`bench: ${reason}; cleaning up\n`);
  await cleanup.run();
  process.exit(INTERRUPTED_EXIT_CODE);
}

function roundFigures(figures: Figures): Figures {
  const scale = 10 ** DECIMALS;
  const rounded = Object.entries(figures).map(([field, value]) => [
    field,
    typeof value === "number" ? Math.round(value * scale) / scale : value,
  ]);
  return Object.fromEntries(rounded);
}
