/** Runners: processes on VMs that run tasks. */
import * as v from "valibot";
import { amountsSchema } from "./amounts.ts";

/** Schema of {@link Runner}. */
export const runnerSchema = v.object({
  runnerId: v.pipe(v.string(), v.minLength(1)),
  /**
   * Wall-clock time at which this incarnation of the runner started (ms). A
   * restarted runner has a new one.
   */
  bornAtMs: v.number(),
  /** Address as `host:port`. */
  address: v.pipe(v.string(), v.regex(/^[^:/\s]+:\d+$/)),
  pool: v.string(),
  zone: v.string(),
  capacity: amountsSchema,
  /** Rack of the VM. */
  rack: v.string(),
  labels: v.array(v.string()),
  isDraining: v.boolean(),
});

/**
 * A runner as it announces itself. `runnerId` and `bornAtMs` together identify
 * one incarnation, the time from one start of the runner to the next.
 */
export type Runner = v.InferOutput<typeof runnerSchema>;

/** Identifies one incarnation of a runner. */
export interface RunnerIncarnation {
  readonly runnerId: string;
  readonly bornAtMs: number;
}

/**
 * Tells whether two values name the same runner incarnation.
 *
 * @param left - Runner id and start time.
 * @param right - Runner id and start time.
 */
export function isSameIncarnation(
  left: RunnerIncarnation,
  right: RunnerIncarnation,
): boolean {
  return left.runnerId === right.runnerId && left.bornAtMs === right.bornAtMs;
}
