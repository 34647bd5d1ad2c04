/** Watches at the leader which pools are full and whose work that delays. */
import {
  type FullPool,
  type LeastCostOrderPolicy,
  listReadySteps,
  measureFleetRoom,
  type RankedStep,
  type RoomOrder,
  type RoomPlace,
  type StepReference,
} from "../../decisions/index.ts";
import type { JobRecord, Runner } from "../../domain/index.ts";
import type { Clock, Logger } from "../../ports/index.ts";
import type { PoolAccounts } from "./pool_accounts.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { ROOM_CHECK_MS, ROOM_SAMPLE_AGE_MS } from "./timing.ts";

/** Most teams that one log line names. */
const MAX_NAMED_TEAMS = 10;
const PLACES_OF_DELAY: readonly RoomPlace[] = [
  "beyondShare",
  "leastCost",
  "late",
  "useless",
];

/** Options of {@link RoomWatch}. */
export interface RoomWatchOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly order: Pick<LeastCostOrderPolicy, "rank">;
  /** Returns whether a runner may get work now. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
  readonly accounts: Pick<PoolAccounts, "sum">;
  /** Whether VMs can be moved between pools. */
  readonly canMoveVms: boolean;
}

/** The order of the waiting steps at one time. */
export interface RoomSample {
  readonly order: RoomOrder;
  /**
   * CPU that each full pool may have soon: all of its VMs, and what other pools
   * do not use if VMs can be moved (millicores).
   */
  readonly reachableMillicores: ReadonlyMap<string, number>;
  /** Monotonic time of the sample (ms). */
  readonly atMs: number;
}

/** Keeps a recent sample of the order, and logs when pools become full. */
export class RoomWatch {
  readonly #options: RoomWatchOptions;
  /** Wall-clock time at which each full pool became full (ms). */
  readonly #fullSinceMs = new Map<string, number>();
  #sample: RoomSample | undefined;

  constructor(options: RoomWatchOptions) {
    this.#options = options;
  }

  /** The present order of the waiting steps, or a sample that is as good. */
  get sample(): RoomSample {
    const atMs = this.#options.clock.monotonicMs();
    const sample = this.#sample;
    if (sample !== undefined && atMs - sample.atMs <= ROOM_SAMPLE_AGE_MS) {
      return sample;
    }
    const order = this.rank();
    const reachableMillicores = this.#sumReachable(order.fullPools);
    this.#sample = { order, reachableMillicores, atMs };
    return this.#sample;
  }

  /**
   * Counts the steps that wait behind others, by the reason.
   *
   * @returns All reasons, those without steps as 0.
   */
  countDelayedSteps(): ReadonlyMap<RoomPlace, number> {
    const counts = new Map(PLACES_OF_DELAY.map((place) => [place, 0]));
    for (const { stepCounts } of this.sample.order.fullPools.values()) {
      for (const place of PLACES_OF_DELAY) {
        const count = stepCounts.get(place) ?? 0;
        counts.set(place, (counts.get(place) ?? 0) + count);
      }
    }
    return counts;
  }

  /**
   * Explains why a step comes behind others.
   *
   * @param reference - Names the step.
   * @returns A clause, or undefined when it is not delayed for others.
   */
  describeDelay(reference: StepReference): string | undefined {
    return describeDelay(this.sample.order, reference);
  }

  /**
   * Logs changes until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.#options;
    while (!signal.aborted) {
      if (log.holdsLeaderLease) {
        this.#logChanges(this.sample.order.fullPools);
      }
      await clock.sleep(ROOM_CHECK_MS, signal);
    }
  }

  /**
   * Orders the waiting steps as of now.
   *
   * @param preview - A job that is not stored, ordered as if it were.
   */
  rank(preview?: JobRecord): RoomOrder {
    const { clock, log, mayPlaceOn, order } = this.#options;
    const { state } = log;
    const nowMs = clock.nowMs();
    const open = preview === undefined
      ? state.jobs.open
      : [...state.jobs.open, preview];
    const steps = listReadySteps({ open }, state.catalog, nowMs);
    const pools = new Set(steps.map(({ pool }) => pool));
    const room = measureFleetRoom({ state, pools, mayPlaceOn, nowMs });
    return order.rank(steps, nowMs, room);
  }

  #sumReachable(pools: ReadonlyMap<string, FullPool>): Map<string, number> {
    const { accounts, canMoveVms } = this.#options;
    const sums = new Map<string, number>();
    for (const [pool, account] of pools.size === 0 ? [] : accounts.sum()) {
      for (const [share, millicores] of account) {
        for (const full of pools.keys()) {
          if (pool === full || (canMoveVms && share !== "used")) {
            sums.set(full, (sums.get(full) ?? 0) + millicores);
          }
        }
      }
    }
    return sums;
  }

  #logChanges(fullPools: ReadonlyMap<string, FullPool>): void {
    const { clock, logger } = this.#options;
    const nowMs = clock.nowMs();
    for (const [pool, full] of fullPools) {
      if (!this.#fullSinceMs.has(pool)) {
        this.#fullSinceMs.set(pool, nowMs);
        logger.info({ pool, ...summarize(full) }, "a pool became full");
      }
    }
    for (const [pool, sinceMs] of this.#fullSinceMs) {
      if (!fullPools.has(pool)) {
        this.#fullSinceMs.delete(pool);
        logger.info({ pool, forMs: nowMs - sinceMs }, "a pool has room again");
      }
    }
  }
}

/**
 * Explains why a step comes behind others.
 *
 * @param order - The order of the waiting steps.
 * @param reference - Names the step.
 * @returns A clause, or undefined when it is not delayed for others.
 */
export function describeDelay(
  { fullPools, ranked }: RoomOrder,
  reference: StepReference,
): string | undefined {
  const found = ranked.find(({ step }) => isStep(step, reference));
  const full = found && fullPools.get(found.step.pool);
  return found && full && describePlace(found, full);
}

function isStep(
  { job, occurrence, stepIndex }: RankedStep["step"],
  reference: StepReference,
): boolean {
  return job.spec.jobId === reference.jobId && stepIndex === reference.step &&
    occurrence === reference.occurrence;
}

function describePlace(
  { place, step }: RankedStep,
  { shareByTeam, waitingMillicores, freeMillicores }: FullPool,
): string | undefined {
  const { team } = step.job;
  const room =
    `the waiting work of ${step.pool} needs ${waitingMillicores} millicores, ${freeMillicores} are free`;
  switch (place) {
    case "beyondShare": {
      const share = Math.round(shareByTeam.get(team ?? "") ?? 0);
      return `team/${team} exceeds its share of ${share} millicores, so that others come first: ${room}`;
    }
    case "leastCost":
      return `not all jobs can end in time, and its delay costs callers least: ${room}`;
    case "late":
      return `its job is too late for its target, so that others come first: ${room}`;
    case "useless":
      return `its job is too late for its result to be of use, so that others come first: ${room}`;
    default:
      return undefined;
  }
}

function summarize(full: FullPool): Readonly<Record<string, unknown>> {
  const { capacityMillicores, freeMillicores, waitingMillicores } = full;
  const teams = [...full.shareByTeam.keys()];
  return {
    capacityMillicores,
    freeMillicores,
    waitingMillicores,
    teamsBeyondShare: teams.slice(0, MAX_NAMED_TEAMS),
    teamBeyondShareCount: teams.length,
    stepCounts: Object.fromEntries(full.stepCounts),
  };
}
