/** Orders the waiting steps for the start planner. */
import type { FleetRoom } from "./fleet_room.ts";
import type { ReadyStep } from "./ready_step.ts";
import { RunDelays } from "./run_delays.ts";

/** Orders waiting steps. */
export interface OrderPolicy {
  /**
   * Sorts steps into the order in which they get runners.
   *
   * @param steps - The waiting steps; the array is not changed.
   * @param nowMs - Wall-clock time (ms).
   * @param room - The room of the pools in which the steps wait.
   */
  sort(
    steps: readonly ReadyStep[],
    nowMs: number,
    room: FleetRoom,
  ): readonly ReadyStep[];
}

/** A step with its place in the order of slack. */
export interface SlackRankedStep {
  readonly step: ReadyStep;
  readonly rank: SlackRank;
  /** Time until its latest start (ms); negative for a step that is late. */
  readonly slackMs: number;
}

/** Baseline: orders steps by the time at which their job was accepted. */
export class ArrivalOrderPolicy implements OrderPolicy {
  sort(steps: readonly ReadyStep[]): readonly ReadyStep[] {
    return steps.toSorted((left, right) =>
      left.job.acceptedAtMs - right.job.acceptedAtMs
    );
  }
}

/**
 * Orders long-running steps first, then steps that can still end in time, then
 * steps that are late anyway. Slack is the target end minus the critical path,
 * with the delays that the runs of the queue had lately. Without the delays, an
 * overloaded leader would prefer the steps that it can no longer bring to their
 * end in time. The least slack comes first, but the most among late steps.
 */
export class SlackOrderPolicy implements OrderPolicy {
  readonly #delays: Pick<RunDelays, "find">;

  /** @param delays - Delays of recent runs by queue; none by default. */
  constructor(delays: Pick<RunDelays, "find"> = new RunDelays()) {
    this.#delays = delays;
  }

  sort(steps: readonly ReadyStep[], nowMs: number): readonly ReadyStep[] {
    return this.rank(steps, nowMs).map(({ step }) => step);
  }

  /**
   * Sorts steps, and tells the slack of each.
   *
   * @param steps - The waiting steps; the array is not changed.
   * @param nowMs - Wall-clock time (ms).
   * @returns The steps in order.
   */
  rank(steps: readonly ReadyStep[], nowMs: number): SlackRankedStep[] {
    const ranked = steps.map((step) => {
      const slackMs = this.#computeSlackMs(step, nowMs);
      return { step, rank: findRank(step, slackMs), slackMs };
    });
    ranked.sort((left, right) =>
      left.rank - right.rank || compareUrgency(left, right)
    );
    return ranked;
  }

  #computeSlackMs(ready: ReadyStep, nowMs: number): number {
    const { criticalPathMs, criticalStepCount, job, targetEndMs } = ready;
    const delayMs = this.#delays.find(job.queueKey, nowMs) *
      criticalStepCount;
    return targetEndMs - nowMs - Math.max(0, criticalPathMs + delayMs);
  }
}

// Among late steps, those that missed their target by least come first: the
// delays that make them late are means, and the oldest ones would take the room
// of each later step until it is late as well.
function compareUrgency(left: SlackRankedStep, right: SlackRankedStep): number {
  const difference = left.slackMs - right.slackMs;
  return left.rank === SLACK_RANKS.late ? -difference : difference;
}

/** Groups of the order of slack, the first one first. */
export const SLACK_RANKS = { longRunning: 0, inTime: 1, late: 2 } as const;

/** A group of the order of slack. */
export type SlackRank = (typeof SLACK_RANKS)[keyof typeof SLACK_RANKS];

function findRank({ step }: ReadyStep, slackMs: number): SlackRank {
  if (step.isEndless) {
    return SLACK_RANKS.longRunning;
  }
  return slackMs >= 0 ? SLACK_RANKS.inTime : SLACK_RANKS.late;
}
