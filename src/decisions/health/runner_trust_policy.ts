/** Decides which runners are suspect because of the runs that failed there. */
import type { RunnerEvidenceRecord } from "../../domain/index.ts";

/** Pause between the newest failure and the first probe, in milliseconds. */
export const FIRST_PROBE_PAUSE_MS = 500;
/** Longest pause between two probes; each failed one doubles it (ms). */
export const MAX_PROBE_PAUSE_MS = 4_000;
/**
 * Time after which a probe that no task could afford goes to any task that has
 * not failed yet, in milliseconds.
 */
export const PROBE_WAIT_MS = 5_000;
/** Part of the runners of a pool that may be suspect: one of so many. */
const SUSPECT_PART = 3;

/** What a pool has, for {@link RunnerTrustPolicy.assess}. */
export interface PoolEvidence {
  /** What speaks against runners of the pool. */
  readonly records: readonly RunnerEvidenceRecord[];
  /** Number of runners of the pool that are in service. */
  readonly runnerCount: number;
}

/** A runner that gets one task at a time until its later runs end well. */
export interface Suspicion {
  readonly evidence: RunnerEvidenceRecord;
  /** Wall-clock time of the next probe (ms). */
  readonly probeAtMs: number;
}

/** Decides which runners are suspect. */
export interface RunnerTrustPolicy {
  /**
   * Assesses the runners of one pool.
   *
   * @param pool - What speaks against them.
   * @returns The suspect ones; all others are trusted.
   */
  assess(pool: PoolEvidence): readonly Suspicion[];
}

/** Baseline: trusts every runner. */
export class NoTrustPolicy implements RunnerTrustPolicy {
  assess(_pool: PoolEvidence): readonly Suspicion[] {
    return [];
  }
}

/**
 * Suspects runners on which several tasks failed without a later run that ended
 * well. At most a third of a pool, rounded up, is suspect: those with the most
 * failed probes, then those that are doubtful for longest. When more fail, the
 * cause probably lies elsewhere. The only runner of a pool is trusted.
 */
export class FailureTrustPolicy implements RunnerTrustPolicy {
  assess({ records, runnerCount }: PoolEvidence): readonly Suspicion[] {
    const maxCount = runnerCount < 2
      ? 0
      : Math.ceil(runnerCount / SUSPECT_PART);
    return records
      .filter(({ doubtfulSinceMs }) => doubtfulSinceMs !== undefined)
      .toSorted(compareDoubt)
      .slice(0, maxCount)
      .map((evidence) => ({
        evidence,
        probeAtMs: evidence.lastFailedAtMs + computePauseMs(evidence),
      }));
  }
}

function computePauseMs({ failedProbeCount }: RunnerEvidenceRecord): number {
  return Math.min(
    FIRST_PROBE_PAUSE_MS * 2 ** failedProbeCount,
    MAX_PROBE_PAUSE_MS,
  );
}

function compareDoubt(
  left: RunnerEvidenceRecord,
  right: RunnerEvidenceRecord,
): number {
  return right.failedProbeCount - left.failedProbeCount ||
    (left.doubtfulSinceMs ?? 0) - (right.doubtfulSinceMs ?? 0) ||
    left.runnerId.localeCompare(right.runnerId);
}
