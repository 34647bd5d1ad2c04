/** Leases that requests to one incarnation of a runner may grant at the next. */
import type { RunnerBounds, RunnerIncarnation } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import { toLongestMs } from "./lease_tracker.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { LATE_REQUEST_MS } from "./timing.ts";

/** Options of {@link ForeignLeases}. */
export interface ForeignLeasesOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly bounds: RunnerBounds;
}

/** The newest lease that was sent to an incarnation that is no longer served. */
interface SentLease {
  readonly bornAtMs: number;
  /** Steady time (ms). */
  readonly sentAtMs: number;
}

/**
 * Knows how long leases may last that requests to earlier incarnations have
 * granted at a runner that has started again under its id.
 *
 * A lease is a time on the clock of one incarnation, and counts for everything
 * that runs on the runner. On the clock of a successor, which starts anew, it
 * lasts as long as a runner accepts, also for runs that start later.
 */
export class ForeignLeases {
  readonly #options: ForeignLeasesOptions;
  /** By runner id. */
  readonly #sent = new Map<string, SentLease>();

  constructor(options: ForeignLeasesOptions) {
    this.#options = options;
  }

  /**
   * Records that an incarnation is no longer served.
   *
   * @param incarnation - The incarnation.
   * @param sentAtMs - Steady time at which the last lease was sent to it (ms).
   */
  record({ bornAtMs, runnerId }: RunnerIncarnation, sentAtMs: number): void {
    this.#prune();
    this.#sent.set(runnerId, { bornAtMs, sentAtMs });
  }

  /**
   * Finds when all leases have expired that requests to earlier incarnations may
   * have granted.
   *
   * @param incarnation - The incarnation that is going to be served.
   * @returns Steady time (ms); `-Infinity` if there are none.
   */
  findEndMs({ bornAtMs, runnerId }: RunnerIncarnation): number {
    const sent = this.#sent.get(runnerId);
    const sentAtMs = sent === undefined || sent.bornAtMs === bornAtMs
      ? -Infinity
      : sent.sentAtMs;
    return Math.max(sentAtMs, this.#findRecordedMs(runnerId)) +
      this.#foreignLeaseMs;
  }

  // An earlier leader sent no request to an incarnation after it had recorded
  // its end.
  #findRecordedMs(runnerId: string): number {
    const { clock, log: { state } } = this.#options;
    const endedAtMs = state.findEndedAtMs(runnerId);
    if (endedAtMs === undefined) {
      return -Infinity;
    }
    const passedMs = Math.max(0, clock.nowMs() - endedAtMs);
    return clock.steadyMs() - passedMs;
  }

  // The last request to an incarnation may be carried out at a later one long
  // after its timeout, and the lease that it grants begins then.
  get #foreignLeaseMs(): number {
    return toLongestMs(LATE_REQUEST_MS + this.#options.bounds.maxLeaseMs);
  }

  #prune(): void {
    const nowMs = this.#options.clock.steadyMs();
    for (const [runnerId, { sentAtMs }] of this.#sent) {
      if (sentAtMs + this.#foreignLeaseMs < nowMs) {
        this.#sent.delete(runnerId);
      }
    }
  }
}
