/** Starts on a runner incarnation that a successor may have carried out. */
import type { RunnerLoad, RunningTask } from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link UncertainStarts}. */
export interface UncertainStartsOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly status: RunnerStatus;
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
 * An unanswered start of this leader does not count if it went over a connection
 * to the process that had answered. Neither a recent answer nor a poll under way
 * shows as much: a start may wait for a new connection until the VM has its power
 * back, and the connection of a poll stays open meanwhile.
 */
export class UncertainStarts {
  readonly #options: UncertainStartsOptions;
  readonly #starts = new Map<string, UncertainStart>();

  /** @param options - The log when the leader begins to serve the runner. */
  constructor(options: UncertainStartsOptions) {
    this.#options = options;
    const { clock, findLoad, log } = options;
    const { unconfirmed } = log.state.jobs;
    const nowMs = clock.steadyMs();
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
    const { successorLeaseEndMs } = this.#options.status;
    return isAnyLeft ? Math.max(0, successorLeaseEndMs - clock.steadyMs()) : 0;
  }

  /**
   * Records that the incarnation itself has answered a poll: what was sent
   * before that poll has not reached a successor.
   *
   * @param sentAtMs - Steady time at which the poll was sent (ms).
   */
  recordReport(sentAtMs: number): void {
    for (const [key, { endedAtMs }] of this.#starts) {
      if (endedAtMs <= sentAtMs) {
        this.#starts.delete(key);
      }
    }
  }

  /** Records that a start is sent to the runner. */
  recordSent(run: RunningTask): void {
    const key = formatRun(nameRun(run));
    const { mayHaveArrived = false } = this.#starts.get(key) ?? {};
    this.#starts.set(key, { endedAtMs: Infinity, mayHaveArrived });
  }

  /** Records that the incarnation itself has carried out a start. */
  recordConfirmed(run: RunningTask): void {
    this.#starts.delete(formatRun(nameRun(run)));
  }

  /**
   * Records that a start got no answer, or a successor's.
   *
   * @param run - The run.
   * @param isSameProcess - Whether only the process that had answered before can
   * have received it.
   */
  recordUnanswered(run: RunningTask, isSameProcess = false): void {
    const key = formatRun(nameRun(run));
    const known = this.#starts.get(key);
    if (known === undefined) {
      return;
    }
    if (isSameProcess && !known.mayHaveArrived) {
      this.#starts.delete(key);
      return;
    }
    const endedAtMs = this.#options.clock.steadyMs();
    this.#starts.set(key, { endedAtMs, mayHaveArrived: true });
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
    const { clock, status } = this.#options;
    return clock.steadyMs() < status.successorLeaseEndMs &&
      this.#starts.has(formatRun(nameRun(run)));
  }
}

function nameRun({ id: task, runNumber }: RunningTask) {
  return { task, runNumber };
}
