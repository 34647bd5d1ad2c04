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
 * Formats the identity of a runner incarnation.
 *
 * @param incarnation - Runner id and start time.
 * @returns A key that is unique to this incarnation.
 */
export function formatIncarnation(incarnation: RunnerIncarnation): string {
  return `${incarnation.runnerId}@${incarnation.bornAtMs}`;
}
