/** What the platform guarantees about runners, from the settings. */
import * as v from "valibot";

const boundSchema = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Schema of {@link RunnerBounds}; without a bound, its usual value holds. */
export const runnerBoundsSchema = v.object({
  /** Longest lease that a runner grants, in milliseconds. */
  maxLeaseMs: v.optional(v.pipe(boundSchema, v.minValue(1)), 6_000),
  /** Time in which a run ends after its runner has confirmed a stop (ms). */
  stopMs: v.optional(boundSchema, 900),
  /** Interval at which runners announce themselves, in milliseconds. */
  announceIntervalMs: v.optional(v.pipe(boundSchema, v.minValue(1)), 1_500),
});

/** Bounds that hold for all runners of a deployment. */
export type RunnerBounds = v.InferOutput<typeof runnerBoundsSchema>;

/** The bounds of a deployment whose settings name none. */
export const DEFAULT_RUNNER_BOUNDS: RunnerBounds = v.parse(
  runnerBoundsSchema,
  {},
);
