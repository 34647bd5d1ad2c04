/** Knows which runners are suspect, and logs when that changes. */
import {
  PROBE_WAIT_MS,
  type ProbeState,
  type RunnerTrustPolicy,
  type Suspicion,
} from "../../decisions/index.ts";
import {
  IncarnationMap,
  type Runner,
  type RunnerEvidenceRecord,
  type RunnerIncarnation,
} from "../../domain/index.ts";
import type { Clock, LeaderMetrics, Logger } from "../../ports/index.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link RunnerTrust}. */
export interface RunnerTrustOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: LeaderMetrics;
  readonly policy: RunnerTrustPolicy;
}

interface SuspectRunner {
  readonly pool: string;
  readonly suspicion: Suspicion;
}

/** How the runners of one pool that is being assessed stand. */
interface PoolNumbers {
  readonly runnerCount: number;
  readonly doubtfulCount: number;
  readonly suspectCount: number;
}

/** Assesses the evidence in the log for the leader. */
export class RunnerTrust {
  readonly #options: RunnerTrustOptions;
  readonly #suspects = new IncarnationMap<SuspectRunner>();

  constructor(options: RunnerTrustOptions) {
    this.#options = options;
  }

  /**
   * Assesses all runners anew.
   *
   * @param openByPool - The runners that may get work, by pool.
   */
  refresh(openByPool: ReadonlyMap<string, readonly Runner[]>): void {
    const { log, policy } = this.#options;
    const { jobs, runners } = log.state;
    const recordsByPool = new Map<string, RunnerEvidenceRecord[]>();
    for (const record of jobs.evidence.list()) {
      const runner = runners.get(record.runnerId);
      if (runner?.bornAtMs === record.bornAtMs) {
        const records = recordsByPool.get(runner.pool) ?? [];
        records.push(record);
        recordsByPool.set(runner.pool, records);
      }
    }
    const current = new IncarnationMap<SuspectRunner>();
    for (const [pool, records] of recordsByPool) {
      const runnerCount = openByPool.get(pool)?.length ?? 0;
      const suspicions = policy.assess({ records, runnerCount });
      const numbers = {
        runnerCount,
        doubtfulCount: records.filter(({ doubtfulSinceMs }) =>
          doubtfulSinceMs !== undefined
        ).length,
        suspectCount: suspicions.length,
      };
      for (const suspicion of suspicions) {
        current.set(suspicion.evidence, { pool, suspicion });
        if (this.#suspects.get(suspicion.evidence) === undefined) {
          this.#logSuspect(pool, suspicion, numbers);
        }
      }
    }
    for (const suspect of this.#suspects.values()) {
      if (current.get(suspect.suspicion.evidence) === undefined) {
        this.#logTrusted(suspect);
      }
    }
    this.#suspects.clear();
    for (const suspect of current.values()) {
      this.#suspects.set(suspect.suspicion.evidence, suspect);
    }
  }

  /** Finds why a runner is suspect; undefined while it is trusted. */
  find(incarnation: RunnerIncarnation): Suspicion | undefined {
    return this.#suspects.get(incarnation)?.suspicion;
  }

  /**
   * Tells what a suspect runner may get now.
   *
   * @param incarnation - The runner.
   * @returns The state of its probe; undefined for a trusted runner.
   */
  findProbe(incarnation: RunnerIncarnation): ProbeState | undefined {
    const suspicion = this.find(incarnation);
    if (suspicion === undefined) {
      return undefined;
    }
    const { clock, log } = this.#options;
    const { evidence, probeAtMs } = suspicion;
    const { doubtfulSinceMs = Infinity, lastFailedAtMs } = evidence;
    const { running } = log.state.jobs.findLoad(incarnation);
    const isProbed = [...running.values()].some(({ startedAtMs }) =>
      startedAtMs >= doubtfulSinceMs
    );
    const nowMs = clock.nowMs();
    // A wall clock that was set back must not prolong the pause.
    if (isProbed || (nowMs < probeAtMs && nowMs >= lastFailedAtMs)) {
      return "waits";
    }
    return nowMs - probeAtMs < PROBE_WAIT_MS ? "due" : "overdue";
  }

  /** Counts the suspect runners by pool; pools without any are left out. */
  countByPool(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { pool } of this.#suspects.values()) {
      counts.set(pool, (counts.get(pool) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Describes why a runner is suspect, for operators.
   *
   * @param incarnation - The runner.
   * @returns One line, or undefined while it is trusted.
   */
  describe(incarnation: RunnerIncarnation): string | undefined {
    const suspicion = this.find(incarnation);
    if (suspicion === undefined) {
      return undefined;
    }
    const { evidence, probeAtMs } = suspicion;
    const nowMs = this.#options.clock.nowMs();
    const tasks = evidence.failures.map(({ task }) => task).join(", ");
    const sinceMs = nowMs - (evidence.doubtfulSinceMs ?? nowMs);
    const state = this.findProbe(incarnation) === "waits"
      ? `waits, ${
        Math.max(0, Math.round(probeAtMs - nowMs))
      } ms of its pause left`
      : "is due";
    return `suspect for ${
      Math.round(sinceMs)
    } ms: tasks ${tasks} failed there, ${evidence.failedProbeCount} probes failed, the next one ${state}`;
  }

  #logSuspect(
    pool: string,
    { evidence }: Suspicion,
    numbers: PoolNumbers,
  ): void {
    const { bornAtMs, doubtfulSinceMs, failures, runnerId } = evidence;
    const { clock, logger, metrics } = this.#options;
    const nowMs = clock.nowMs();
    metrics.countRunFault("suspect");
    logger.warn(
      {
        runnerId,
        bornAtMs,
        pool,
        failedTasks: failures.map(({ task }) => task),
        windowMs: evidence.lastFailedAtMs -
          (failures[0]?.atMs ?? evidence.lastFailedAtMs),
        evidenceAgeMs: nowMs - evidence.lastFailedAtMs,
        sinceMs: nowMs - (doubtfulSinceMs ?? nowMs),
        ...numbers,
      },
      "a runner is suspect: it gets one task at a time",
    );
  }

  #logTrusted({ pool, suspicion: { evidence } }: SuspectRunner): void {
    const { log, clock, logger } = this.#options;
    const { runnerId, bornAtMs, doubtfulSinceMs = 0 } = evidence;
    const { jobs, runners } = log.state;
    const isKnown = runners.get(runnerId)?.bornAtMs === bornAtMs;
    const isDoubtful =
      jobs.evidence.find(evidence)?.doubtfulSinceMs !== undefined;
    const trustedCause = isDoubtful ? "pool limit" : "later ends, or time";
    logger.info(
      {
        runnerId,
        bornAtMs,
        pool,
        cause: isKnown ? trustedCause : "the runner is gone",
        failedProbeCount: evidence.failedProbeCount,
        suspectForMs: clock.nowMs() - doubtfulSinceMs,
      },
      "a runner is no longer suspect",
    );
  }
}
