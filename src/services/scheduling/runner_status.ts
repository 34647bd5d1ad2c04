/** What the leader has observed of one runner incarnation. */
import {
  DEFAULT_RUNNER_BOUNDS,
  formatTaskId,
  type RunnerBounds,
} from "../../domain/index.ts";
import type { Clock, RunnerReport } from "../../ports/index.ts";
import { toLongestMs } from "./lease_tracker.ts";
import { RELAY_CONFIRM_MS } from "./relay/relay_timing.ts";
import {
  MAX_SILENCE_INTERVALS,
  OVERDUE_MS,
  POLL_TIMEOUT_MS,
  POLL_WAIT_MS,
} from "./timing.ts";

/**
 * Time after a request was sent in which it may arrive at a runner, in
 * milliseconds: a relay may take it so late, and sends it until it times out.
 */
const ARRIVAL_LIMIT_MS = RELAY_CONFIRM_MS + POLL_WAIT_MS + POLL_TIMEOUT_MS;

/**
 * Last contact, failures and progress of a runner; discarded with the
 * leadership.
 */
export class RunnerStatus {
  readonly #clock: Clock;
  readonly #bounds: RunnerBounds;
  #lastContactMs: number;
  #leaseSentAtMs: number;
  #answeredAtMs: number;
  #isAnswering = true;
  #isClosed = false;
  /** Steady time at which the runner was recorded as replaced (ms). */
  #replacedAtMs: number | undefined;
  /** Steady time of the newest answer that seems to be a successor's (ms). */
  #successorAnswerAtMs = -Infinity;
  /**
   * Unanswered requests, with the steady time (ms) at which each is overdue.
   */
  readonly #pendingRequests = new Set<{ readonly atMs: number }>();
  /** Whether its list of runs has been received in this term. */
  isSynced = false;
  /**
   * Whether it has announced its shutdown, or was replaced by a new
   * incarnation.
   */
  isLeaving = false;
  /** Whether it has announced its shutdown. */
  hasGivenNotice = false;
  /** Progress in percent by formatted task id. */
  progress: ReadonlyMap<string, number> = new Map();
  /**
   * Load by formatted task id: tail latency (ms) of a task with a target for
   * it, else millicores.
   */
  loads: ReadonlyMap<string, number> = new Map();
  /** Names of the placed runs whose start this incarnation has confirmed. */
  readonly confirmedRuns = new Set<string>();
  /**
   * Names of the placed runs that it refused to start, as it was overloaded or
   * out of service, until the log has their ends. It gets no new work meanwhile.
   */
  readonly refusedRuns = new Set<string>();

  /**
   * @param clock - The leader's clock.
   * @param bounds - What the platform guarantees about runners.
   */
  constructor(clock: Clock, bounds: RunnerBounds = DEFAULT_RUNNER_BOUNDS) {
    this.#clock = clock;
    this.#bounds = bounds;
    this.#lastContactMs = clock.steadyMs();
    this.#leaseSentAtMs = clock.steadyMs();
    this.#answeredAtMs = clock.monotonicMs();
  }

  /** Time since the last announcement or answer, in milliseconds. */
  get silenceMs(): number {
    return this.#clock.steadyMs() - this.#lastContactMs;
  }

  /**
   * Monotonic time of the last answer (ms); before the first, the time since
   * when the runner is served.
   */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  /**
   * Steady time at which the last lease was sent to the runner (ms). An earlier
   * leader may have sent one until this one began to serve it.
   */
  get leaseSentAtMs(): number {
    return this.#leaseSentAtMs;
  }

  /** Whether the newest request was answered. */
  get isAnswering(): boolean {
    return this.#isAnswering;
  }

  /**
   * Whether its runs may get a lease. A runner that does not respond gets none,
   * so that its leases expire.
   */
  get mayGetLease(): boolean {
    return this.#isAnswering && !this.#isClosed;
  }

  /**
   * Whether runs that were started in its place at a successor may still be
   * there.
   */
  get mayRunAtSuccessor(): boolean {
    const noticedAtMs = Math.max(
      this.#replacedAtMs ?? -Infinity,
      this.#successorAnswerAtMs,
    );
    return this.#clock.steadyMs() - noticedAtMs <= this.#successorLeaseMs;
  }

  /**
   * Steady time at which no run can be left at a successor that nobody has
   * noticed (ms). The last request may arrive there until it times out, and the
   * lease that it grants begins then.
   */
  get successorLeaseEndMs(): number {
    return this.#leaseSentAtMs + this.#successorLeaseMs;
  }

  /** Whether a request has been unanswered for longer than usual. */
  get hasOverdueRequest(): boolean {
    const nowMs = this.#clock.steadyMs();
    return [...this.#pendingRequests].some(({ atMs }) => atMs < nowMs);
  }

  /**
   * Whether it responds, its list of runs is known, and it is not shutting
   * down.
   */
  get isOperational(): boolean {
    return this.isSynced && this.mayGetLease && !this.isLeaving &&
      !this.#isSilent;
  }

  /**
   * Whether nothing is known of it yet in this term: it has not answered, and no
   * request to it has failed.
   */
  get isUnheard(): boolean {
    return !this.isSynced && this.mayGetLease && !this.isLeaving &&
      !this.#isSilent;
  }

  /**
   * Returns the progress of a task. The last report of a runner that does not
   * respond is ignored, because it does not show that the task is still
   * running.
   *
   * @param task - Formatted task id.
   * @returns Percent; 0 when the progress is unknown.
   */
  findPercent(task: string): number {
    return this.isOperational ? this.progress.get(task) ?? 0 : 0;
  }

  /**
   * Records that a request is sent.
   *
   * @param waitMs - How long the runner may delay its answer (ms).
   * @returns A function to call once the request is answered or counts as lost.
   */
  beginRequest(waitMs: number): () => void {
    const due = { atMs: this.#clock.steadyMs() + waitMs + OVERDUE_MS };
    this.#pendingRequests.add(due);
    return () => this.#pendingRequests.delete(due);
  }

  /** Records that a request with a lease is about to be sent to the runner. */
  recordLease(): void {
    this.#leaseSentAtMs = this.#clock.steadyMs();
  }

  /** Records an announcement. */
  recordContact(): void {
    this.#lastContactMs = this.#clock.steadyMs();
  }

  /** Records an answer. */
  recordAnswer(): void {
    this.#isAnswering = true;
    this.recordContact();
    this.#answeredAtMs = this.#clock.monotonicMs();
  }

  /** Records the answer to a poll. */
  recordReport({ running }: RunnerReport): void {
    this.recordAnswer();
    this.progress = new Map(
      running.map(({ task, percent }) => [formatTaskId(task), percent]),
    );
    this.loads = new Map(
      running.map(({ task, load }) => [formatTaskId(task), load]),
    );
  }

  /**
   * Ends the use of the incarnation: its tasks are about to be placed elsewhere,
   * so nothing may start there, and no lease may be renewed. That holds for good,
   * because a proposal whose outcome is unknown may still be applied. The
   * incarnation can be used again once the log has removed it and it has
   * announced itself.
   */
  close(): void {
    this.#isClosed = true;
  }

  /** Records that it has announced its shutdown. */
  recordNotice(): void {
    this.hasGivenNotice = true;
    this.isLeaving = true;
  }

  /**
   * Records that another incarnation of the runner has taken its place. Requests
   * to this one may have reached that one.
   */
  recordReplaced(): void {
    this.close();
    this.isLeaving = true;
    this.#replacedAtMs ??= this.#clock.steadyMs();
  }

  /**
   * Records that a successor seems to have carried out a start. The next poll
   * shows whether there is one.
   */
  recordSuccessorAnswer(): void {
    this.recordNoAnswer();
    this.#successorAnswerAtMs = this.#clock.steadyMs();
  }

  /** Records that a request was not answered. */
  recordNoAnswer(): void {
    this.#isAnswering = false;
  }

  get #isSilent(): boolean {
    const { announceIntervalMs } = this.#bounds;
    return this.silenceMs >= MAX_SILENCE_INTERVALS * announceIntervalMs;
  }

  get #successorLeaseMs(): number {
    return toLongestMs(ARRIVAL_LIMIT_MS + this.#bounds.maxLeaseMs);
  }
}
