/** Counts what a leader does and logs it by time within the term. */
import type {
  Clock,
  JobLabels,
  LeaderMetrics,
  Logger,
  ProcessUsage,
  ProcessUsageReading,
  RunFaultKind,
  RunnerRemoval,
  RunnerRequestKind,
  RunnerRequestOutcome,
  SchedulingGauges,
} from "../../ports/index.ts";
import {
  LEADER_START_MS,
  LEADER_START_WORK_MS,
  LEADER_WORK_MS,
} from "./timing.ts";

const PERCENT = 100;
const MILLICORES_PER_CORE = 1_000;

/** Options of {@link LeaderWork}. */
export interface LeaderWorkOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly usage: ProcessUsage;
  /** Receives all measurements as well. */
  readonly metrics: LeaderMetrics;
}

/** What was done since the last log line. */
class WorkCounts {
  /** Answered requests to runners by kind. */
  readonly answered = new Map<RunnerRequestKind, number>();
  /** Requests to runners without an answer, or refused. */
  failedRequestCount = 0;
  removedCount = 0;
  rejectedJobCount = 0;
  planCount = 0;
  plannedStartCount = 0;
  planMs = 0;
  longestPlanMs = 0;
  commitCount = 0;
  commitMs = 0;
  longestCommitMs = 0;
  /** Received messages by method. */
  readonly messages = new Map<string, number>();
}

/**
 * Logs how often a leader did what, in short spans at first: a mean over a term
 * does not show what its first seconds were spent on.
 */
export class LeaderWork implements LeaderMetrics {
  readonly #options: LeaderWorkOptions;
  #counts = new WorkCounts();

  constructor(options: LeaderWorkOptions) {
    this.#options = options;
  }

  recordCommit(outcome: string, tookMs: number): void {
    const counts = this.#counts;
    counts.commitCount += 1;
    counts.commitMs += tookMs;
    counts.longestCommitMs = Math.max(counts.longestCommitMs, tookMs);
    this.#options.metrics.recordCommit(outcome, tookMs);
  }

  recordPlan(tookMs: number, startCount: number): void {
    const counts = this.#counts;
    counts.planCount += 1;
    counts.plannedStartCount += startCount;
    counts.planMs += tookMs;
    counts.longestPlanMs = Math.max(counts.longestPlanMs, tookMs);
    this.#options.metrics.recordPlan(tookMs, startCount);
  }

  countRunnerRequest(
    kind: RunnerRequestKind,
    outcome: RunnerRequestOutcome,
  ): void {
    if (outcome === "answered") {
      increase(this.#counts.answered, kind);
    } else {
      this.#counts.failedRequestCount += 1;
    }
    this.#options.metrics.countRunnerRequest(kind, outcome);
  }

  countRemovedRunner(reason: RunnerRemoval): void {
    this.#counts.removedCount += 1;
    this.#options.metrics.countRemovedRunner(reason);
  }

  countRunFault(kind: RunFaultKind): void {
    this.#options.metrics.countRunFault(kind);
  }

  countRejectedJob(labels: JobLabels, reason: string): void {
    this.#counts.rejectedJobCount += 1;
    this.#options.metrics.countRejectedJob(labels, reason);
  }

  countMessage(method: string): void {
    increase(this.#counts.messages, method);
    this.#options.metrics.countMessage(method);
  }

  /**
   * Logs the work of one term until the signal aborts.
   *
   * @param readGauges - Reads the gauges of the leader.
   * @param signal - Ends the task.
   */
  async report(
    readGauges: () => SchedulingGauges,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, usage } = this.#options;
    const beganMs = clock.monotonicMs();
    let fromMs = beganMs;
    let before = usage.read();
    this.#counts = new WorkCounts();
    while (!signal.aborted) {
      const isStart = fromMs - beganMs < LEADER_START_MS;
      await clock.sleep(
        isStart ? LEADER_START_WORK_MS : LEADER_WORK_MS,
        signal,
      );
      if (signal.aborted) {
        return;
      }
      const nowMs = clock.monotonicMs();
      const after = usage.read();
      this.#log(readGauges(), {
        sinceMs: Math.round(nowMs - beganMs),
        spanMs: Math.round(nowMs - fromMs),
        ...computeShares(before, after, nowMs - fromMs),
      });
      [fromMs, before] = [nowMs, after];
    }
  }

  #log(
    gauges: SchedulingGauges,
    times: Readonly<Record<string, number>>,
  ): void {
    const counts = this.#counts;
    this.#counts = new WorkCounts();
    const { answered, commitCount, planCount } = counts;
    this.#options.logger.info({
      term: gauges.term,
      ...times,
      pollCount: answered.get("poll") ?? 0,
      startCount: answered.get("start") ?? 0,
      stopCount: answered.get("stop") ?? 0,
      failedRequestCount: counts.failedRequestCount,
      removedCount: counts.removedCount,
      rejectedJobCount: counts.rejectedJobCount,
      planCount,
      plannedStartCount: counts.plannedStartCount,
      planMs: Math.round(counts.planMs),
      longestPlanMs: Math.round(counts.longestPlanMs),
      commitCount,
      meanCommitMs: Math.round(counts.commitMs / Math.max(1, commitCount)),
      longestCommitMs: Math.round(counts.longestCommitMs),
      messages: Object.fromEntries(counts.messages),
      runners: Object.fromEntries(gauges.runnerCounts),
      waitingTasks: Object.fromEntries(gauges.waitingTaskCounts),
      freeMillicores: Object.fromEntries(gauges.freeMillicores),
      poolCores: Object.fromEntries(
        [...gauges.poolMillicores].map((
          [pool, account],
        ) => [pool, toCores(account)]),
      ),
      poolNeeds: toNeeds(gauges.poolNeeds),
    }, "worked as the leader");
  }
}

function toCores(
  account: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    [...account].map((
      [share, millicores],
    ) => [share, Math.round(millicores / MILLICORES_PER_CORE)]),
  );
}

function toNeeds(needs: SchedulingGauges["poolNeeds"] = new Map()) {
  return Object.fromEntries(
    [...needs].map(([pool, { nextTurnMs, wantedMillicores }]) => [pool, {
      wantedCores: Math.round(wantedMillicores / MILLICORES_PER_CORE),
      nextTurnMs,
    }]),
  );
}

function increase<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function computeShares(
  before: ProcessUsageReading,
  after: ProcessUsageReading,
  spanMs: number,
): { readonly cpuPercent: number; readonly loopActivePercent: number } {
  const toPercent = (partMs: number) => Math.round(PERCENT * partMs / spanMs);
  return {
    cpuPercent: toPercent(after.cpuMs - before.cpuMs),
    loopActivePercent: toPercent(after.loopActiveMs - before.loopActiveMs),
  };
}
