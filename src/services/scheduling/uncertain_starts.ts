/** Starts on a runner incarnation that a successor may have carried out. */
import type { RunnerLoad, RunningTask } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import { SUCCESSOR_LEASE_MS } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/**
 * Time after an answer within which a runner cannot have ended, started again
 * and been reached, in milliseconds.
 */
export const MIN_RESTART_MS = 100;

/** Options of {@link UncertainStarts}. */
export interface UncertainStartsOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly findLoad: () => RunnerLoad;
}

/** A start that the incarnation has not confirmed. */
interface UncertainStart {
  /**
   * Steady time from which its request no longer counts as under way (ms);
   * `Infinity` until then.
   */
  readonly endedAtMs: number;
  /** Whether a request may have arrived of which no answer tells. */
  readonly mayHaveArrived: boolean;
}

/**
 * The starts on one runner incarnation that it has not confirmed, be they of
 * this leader or of an earlier one. Their requests may have reached a successor
 * that nobody has noticed, where leases may last as long as a runner accepts.
 *
 * Starts of this leader count only if they were sent while nothing showed that
 * the incarnation was there: no answer that had just arrived, and no poll under
 * way since such an answer, whose connection would have broken with the process.
 */
export class UncertainStarts {
  readonly #options: UncertainStartsOptions;
  readonly #starts = new Map<string, UncertainStart>();
  /** Steady time at which the last lease was sent to the runner (ms). */
  #leaseSentAtMs: number;
  /** Steady time of the incarnation's newest answer (ms). */
  #answeredAtMs = -Infinity;
  /** Whether a poll has been under way since shortly after an answer. */
  #isPollUnderWay = false;

  /** @param options - The log when the leader begins to serve the runner. */
  constructor(options: UncertainStartsOptions) {
    this.#options = options;
    const { clock, findLoad, log } = options;
    const { unconfirmed } = log.state.jobs;
    const nowMs = clock.steadyMs();
    this.#leaseSentAtMs = nowMs;
    for (const run of findLoad().running.values()) {
      if (unconfirmed.has(nameRun(run))) {
        this.#starts.set(formatRun(nameRun(run)), {
          endedAtMs: nowMs,
          mayHaveArrived: true,
        });
      }
    }
  }

  /** Time until no successor can run any of them (ms); 0 from then on. */
  get leftMs(): number {
    const { clock, findLoad } = this.#options;
    const isAnyLeft = [...findLoad().running.values()].some((run) =>
      this.mayRunAtSuccessor(run)
    );
    return isAnyLeft ? Math.max(0, this.#untilMs - clock.steadyMs()) : 0;
  }

  /**
   * Records that a poll is sent.
   *
   * @param hasLease - Whether it carries a lease.
   * @returns A function to call once the poll was answered or has failed.
   */
  beginPoll(hasLease: boolean): () => void {
    if (hasLease) {
      this.#recordLease();
    }
    this.#isPollUnderWay = this.#hasJustAnswered;
    return () => {
      this.#isPollUnderWay = false;
    };
  }

  /**
   * Records that the incarnation itself has answered a poll: what was sent
   * before that poll has not reached a successor.
   *
   * @param sentAtMs - Steady time at which the poll was sent (ms).
   */
  recordReport(sentAtMs: number): void {
    this.#answeredAtMs = this.#options.clock.steadyMs();
    for (const [key, { endedAtMs }] of this.#starts) {
      if (endedAtMs <= sentAtMs) {
        this.#starts.delete(key);
      }
    }
  }

  /** Records that a start, with a lease, is sent to the runner. */
  recordSent(run: RunningTask): void {
    this.#recordLease();
    const key = formatRun(nameRun(run));
    const known = this.#starts.get(key);
    const isSeen = this.#isPollUnderWay || this.#hasJustAnswered;
    if (known !== undefined || !isSeen) {
      const { mayHaveArrived = false } = known ?? {};
      this.#starts.set(key, { endedAtMs: Infinity, mayHaveArrived });
    }
  }

  /** Records that the incarnation itself has carried out a start. */
  recordConfirmed(run: RunningTask): void {
    this.#answeredAtMs = this.#options.clock.steadyMs();
    this.#starts.delete(formatRun(nameRun(run)));
  }

  /** Records that a start got no answer, or a successor's. */
  recordUnanswered(run: RunningTask): void {
    const key = formatRun(nameRun(run));
    if (this.#starts.has(key)) {
      const endedAtMs = this.#options.clock.steadyMs();
      this.#starts.set(key, { endedAtMs, mayHaveArrived: true });
    }
  }

  /** Records that a start was refused, which says nothing of earlier requests. */
  recordRefused(run: RunningTask): void {
    const key = formatRun(nameRun(run));
    if (this.#starts.get(key)?.mayHaveArrived) {
      this.recordUnanswered(run);
    } else {
      this.#starts.delete(key);
    }
  }

  /**
   * Tells whether a successor may have carried out a start.
   *
   * @param run - A run that is placed on the runner.
   */
  mayRunAtSuccessor(run: RunningTask): boolean {
    return this.#options.clock.steadyMs() < this.#untilMs &&
      this.#starts.has(formatRun(nameRun(run)));
  }

  get #untilMs(): number {
    return this.#leaseSentAtMs + SUCCESSOR_LEASE_MS;
  }

  get #hasJustAnswered(): boolean {
    const passedMs = this.#options.clock.steadyMs() - this.#answeredAtMs;
    return passedMs <= MIN_RESTART_MS;
  }

  #recordLease(): void {
    this.#leaseSentAtMs = this.#options.clock.steadyMs();
  }
}

function nameRun({ id: task, runNumber }: RunningTask) {
  return { task, runNumber };
}
