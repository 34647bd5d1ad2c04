/** Runners: one run of the software on a VM that runs tasks. */
import * as v from "valibot";
import { amountsSchema } from "./amounts.ts";

/** Schema of {@link Runner}. */
export const runnerSchema = v.object({
  runnerId: v.pipe(v.string(), v.minLength(1)),
  /** Wall-clock time at which this run of the software began (ms). */
  bornAtMs: v.number(),
  /** Host and port. */
  address: v.pipe(v.string(), v.regex(/^[^:/\s]+:\d+$/)),
  pool: v.string(),
  zone: v.string(),
  capacity: amountsSchema,
  /** Rack of the VM. */
  rack: v.string(),
  labels: v.array(v.string()),
  isDraining: v.boolean(),
});

/** A runner as it announces itself; id and birth name one lifetime. */
export type Runner = v.InferOutput<typeof runnerSchema>;

/** Names one lifetime of a runner. */
export interface RunnerIncarnation {
  readonly runnerId: string;
  readonly bornAtMs: number;
}

/**
 * Formats the lifetime of a runner.
 *
 * @param life - Id and birth.
 * @returns A key that no other lifetime has.
 */
export function formatIncarnation(life: RunnerIncarnation): string {
  return `${life.runnerId}@${life.bornAtMs}`;
}
