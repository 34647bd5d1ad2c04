/** Counts the requests to one runner and describes those that fail. */
import type { Result } from "true-myth";
import type {
  Clock,
  EventLoopDelays,
  LeaderMetrics,
  RunnerAnswer,
  RunnerFailure,
  RunnerRemoval,
  RunnerRequestKind,
} from "../../ports/index.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import type { RunnerStatus } from "./runner_status.ts";

/** What the leader knew of a runner; a field of log lines each. */
export interface RunnerEvidence {
  /** Time since its last answer to a poll or start (ms). */
  readonly sinceAnswerMs: number;
  /** Time since its last answer or announcement (ms). */
  readonly silenceMs: number;
  /** Longest delay of the leader's event loop in the examined time (ms). */
  readonly loopLateMs: number;
  /** Time until its leases have certainly expired (ms); below 0 afterwards. */
  readonly leaseLeftMs: number;
}

/** What the leader knew when it removed a runner. */
export interface RemovalEvidence extends RunnerEvidence {
  readonly reason: string;
}

/** The values of the log field `reason`. */
const REMOVAL_REASONS: Readonly<Record<RunnerRemoval, string>> = {
  ended: "it has ended",
  leasesExpired: "its leases have ended",
  notListening: "it refuses connections and runs nothing",
  replaced: "another incarnation answers",
};

/** What the leader knew when a request failed. */
export interface RequestEvidence extends RunnerEvidence {
  /** Time since the request was sent (ms). */
  readonly sinceSentMs: number;
}

/** Options of {@link RequestObserver}. */
export interface RequestObserverOptions {
  readonly clock: Clock;
  readonly metrics: LeaderMetrics;
  readonly eventLoop: EventLoopDelays;
  readonly status: RunnerStatus;
  readonly lease: LeaseTracker;
}

/**
 * Tells a runner that does not respond from a leader whose own event loop was
 * late.
 */
export class RequestObserver {
  readonly #options: RequestObserverOptions;

  constructor(options: RequestObserverOptions) {
    this.#options = options;
  }

  /**
   * Counts a request that has ended.
   *
   * @param kind - Kind of the request.
   * @param answer - The answer, or why there is none.
   */
  count(
    kind: RunnerRequestKind,
    answer: Result<RunnerAnswer, RunnerFailure>,
  ): void {
    this.#options.metrics.countRunnerRequest(
      kind,
      answer.match({
        Ok: () => "answered",
        Err: ({ refusal }) => refusal === undefined ? "unanswered" : "refused",
      }),
    );
  }

  /**
   * Describes the time since a request was sent.
   *
   * @param sentAtMs - Monotonic time at which it was sent (ms).
   */
  describeRequest(sentAtMs: number): RequestEvidence {
    const sinceSentMs = this.#options.clock.monotonicMs() - sentAtMs;
    return {
      sinceSentMs: Math.round(sinceSentMs),
      ...this.#describeSince(sentAtMs),
    };
  }

  /**
   * Counts the removal of the runner.
   *
   * @param removal - Why it is removed.
   * @returns A description of the time since its last answer.
   */
  recordRemoval(removal: RunnerRemoval): RemovalEvidence {
    const { metrics, status } = this.#options;
    metrics.countRemovedRunner(removal);
    return {
      reason: REMOVAL_REASONS[removal],
      ...this.#describeSince(status.answeredAtMs),
    };
  }

  #describeSince(sinceMs: number): RunnerEvidence {
    const { clock, eventLoop, lease, status } = this.#options;
    const nowMs = clock.monotonicMs();
    return {
      sinceAnswerMs: Math.round(nowMs - status.answeredAtMs),
      silenceMs: Math.round(status.silenceMs),
      loopLateMs: Math.round(eventLoop.findLongestDelayMs(sinceMs)),
      leaseLeftMs: Math.round(lease.leftMs),
    };
  }
}
