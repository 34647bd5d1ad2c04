/** What the leader has seen of one lifetime of a runner. */
import type { Clock } from "../../ports/index.ts";
import { MAX_SILENCE_MS, OVERDUE_MS } from "./timing.ts";

/** Signs of life, failures and progress; lost with the leadership. */
export class RunnerStatus {
  readonly #clock: Clock;
  #lastContactMs: number;
  #isAnswering = true;
  /** Monotonic times (ms) from which on orders without an answer are overdue. */
  readonly #pendingRequests = new Set<{ readonly atMs: number }>();
  /** Whether its list of runs has been seen in this term. */
  isSynced = false;
  /** Whether it has said that it ends now. */
  isLeaving = false;
  /** Progress in percent by formatted task id. */
  progress: ReadonlyMap<string, number> = new Map();
  /** Load by formatted task id: tail (ms) of a serving task, else millicores. */
  loads: ReadonlyMap<string, number> = new Map();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastContactMs = clock.monotonicMs();
  }

  /** Time since the newest sign of life, in milliseconds. */
  get silenceMs(): number {
    return this.#clock.monotonicMs() - this.#lastContactMs;
  }

  /** Whether the newest order was answered. */
  get isAnswering(): boolean {
    return this.#isAnswering;
  }

  /** Whether an order has been without an answer for longer than usual. */
  get hasOverdueRequest(): boolean {
    const nowMs = this.#clock.monotonicMs();
    return [...this.#pendingRequests].some(({ atMs }) => atMs < nowMs);
  }

  /** Whether it is known to be at work. */
  get isOperational(): boolean {
    return this.isSynced && this.#isAnswering && !this.isLeaving &&
      this.silenceMs < MAX_SILENCE_MS;
  }

  /**
   * Finds the progress of a task as far as it is known now: what a silent
   * runner last said is no sign that the task is still at work.
   *
   * @param task - Formatted task id.
   * @returns Percent; 0 when nothing is known.
   */
  findPercent(task: string): number {
    return this.isOperational ? this.progress.get(task) ?? 0 : 0;
  }

  /**
   * Takes note of an order that is sent.
   *
   * @param waitMs - How long the runner may wait before it answers (ms).
   * @returns Called once the order is answered or counts as lost.
   */
  beginRequest(waitMs: number): () => void {
    const due = { atMs: this.#clock.monotonicMs() + waitMs + OVERDUE_MS };
    this.#pendingRequests.add(due);
    return () => this.#pendingRequests.delete(due);
  }

  /** Takes note of an announcement. */
  recordContact(): void {
    this.#lastContactMs = this.#clock.monotonicMs();
  }

  /** Takes note of an answer. */
  recordAnswer(): void {
    this.#isAnswering = true;
    this.recordContact();
  }

  /** Takes note of an order without an answer. */
  recordNoAnswer(): void {
    this.#isAnswering = false;
  }
}
