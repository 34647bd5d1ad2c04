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

const MAX_PORT = 65_535;
/** Latest time that a date can hold, in milliseconds since the epoch. */
const MAX_TIME_MS = 8.64e15;

/** Schema of an address to which requests can be sent, as `host:port`. */
export const requestAddressSchema = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9.-]+:\d{1,5}$/, "write host:port"),
  v.check(isRequestAddress, `write a host and a port from 1 to ${MAX_PORT}`),
);

/** Schema of the start time of an incarnation, in milliseconds. */
export const startTimeSchema = v.pipe(
  v.number(),
  v.safeInteger(),
  v.minValue(0),
  v.maxValue(MAX_TIME_MS),
);

/**
 * Schema of a runner that announces itself. The log keeps the weaker
 * {@link runnerSchema}, because it may hold runners that were accepted before.
 */
export const announcedRunnerSchema = v.object({
  ...runnerSchema.entries,
  bornAtMs: startTimeSchema,
  address: requestAddressSchema,
});

/** Schema of {@link RunnerDeparture}. */
export const runnerDepartureSchema = v.object({
  runnerId: v.string(),
  /**
   * Start time of the incarnation (ms); absent where the notice does not say
   * which one it is of.
   */
  bornAtMs: v.optional(startTimeSchema),
});

/** The notice of a runner that it is shutting down. */
export type RunnerDeparture = v.InferOutput<typeof runnerDepartureSchema>;

function isRequestAddress(address: string): boolean {
  const port = Number(address.split(":")[1]);
  return port >= 1 && port <= MAX_PORT && URL.canParse(`http://${address}`);
}

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
 * Tells whether two announcements say the same.
 *
 * @param left - A runner.
 * @param right - A runner.
 */
export function isSameRunner(left: Runner, right: Runner): boolean {
  return isSameIncarnation(left, right) && left.address === right.address &&
    left.pool === right.pool && left.zone === right.zone &&
    left.rack === right.rack && left.isDraining === right.isDraining &&
    left.capacity.cpuMillicores === right.capacity.cpuMillicores &&
    left.capacity.memoryMb === right.capacity.memoryMb &&
    left.capacity.gpuCount === right.capacity.gpuCount &&
    left.labels.length === right.labels.length &&
    left.labels.every((label, at) => label === right.labels[at]);
}

/**
 * Tells whether an announcement was made before one that is known. An
 * incarnation that drains does so until it ends.
 *
 * @param announced - The runner as announced.
 * @param known - The runner as known.
 */
export function isOutdatedRunner(announced: Runner, known: Runner): boolean {
  return announced.bornAtMs < known.bornAtMs ||
    (announced.bornAtMs === known.bornAtMs && known.isDraining &&
      !announced.isDraining);
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
