/** Limits retries to a share of the requests, so that they add little load. */
import { WindowCounter } from "../counting/index.ts";

const DEFAULT_WINDOW_MS = 10_000;
const DEFAULT_FRACTION = 0.1;
const DEFAULT_MIN_RETRY_COUNT = 3;

/** Limits the number of retries. */
export interface RetryBudget {
  /**
   * Counts a request.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRequest(nowMs: number): void;
  /**
   * Takes one retry out of the budget.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns False when the budget is used up.
   */
  takeRetry(nowMs: number): boolean;
}

/** Options of {@link FractionRetryBudget}. */
export interface FractionRetryBudgetOptions {
  /** Allowed retries as a fraction of the requests in the window. */
  readonly fraction?: number;
  /** Retries that are allowed in a window with few requests. */
  readonly minRetryCount?: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs?: number;
}

/** Allows retries up to a fraction of the requests in the latest window. */
export class FractionRetryBudget implements RetryBudget {
  readonly #fraction: number;
  readonly #minRetryCount: number;
  readonly #requests: WindowCounter;
  readonly #retries: WindowCounter;

  constructor(options: FractionRetryBudgetOptions = {}) {
    const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
    this.#fraction = options.fraction ?? DEFAULT_FRACTION;
    this.#minRetryCount = options.minRetryCount ?? DEFAULT_MIN_RETRY_COUNT;
    this.#requests = new WindowCounter(windowMs);
    this.#retries = new WindowCounter(windowMs);
  }

  recordRequest(nowMs: number): void {
    this.#requests.add(nowMs);
  }

  takeRetry(nowMs: number): boolean {
    const allowedCount = Math.max(
      this.#minRetryCount,
      Math.floor(this.#requests.count(nowMs) * this.#fraction),
    );
    if (this.#retries.count(nowMs) >= allowedCount) {
      return false;
    }
    this.#retries.add(nowMs);
    return true;
  }
}

/** Baseline: allows every retry. */
export class UnlimitedRetryBudget implements RetryBudget {
  recordRequest(): void {}

  takeRetry(): boolean {
    return true;
  }
}

/** Baseline: allows no retry. */
export class NoRetryBudget implements RetryBudget {
  recordRequest(): void {}

  takeRetry(): boolean {
    return false;
  }
}
