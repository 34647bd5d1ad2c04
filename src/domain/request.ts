/** Requests of callers, their attempts and outcomes. */
import type { Failure } from "./errors.ts";

/**
 * How a request ended; each request counts once under one of these. A resend
 * that only learns what became of the first request counts as `replayed`.
 */
export type RequestOutcome =
  | "succeeded"
  | "failed"
  | "notRun"
  | "unknown"
  | "replayed";

/** A caller's request, free of any wire format. */
export interface CallerRequest {
  readonly requestId: string;
  readonly queueName: string;
  /** The secret that came with the request, if any. */
  readonly secret: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array> | undefined;
  /** Size of the body as the caller declared it; undefined when it did not. */
  readonly bodySizeBytes: number | undefined;
  /** Time on the monotonic clock after which the caller no longer waits. */
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  /** Whether a second run would do no harm. */
  readonly idempotent: boolean;
  readonly signal: AbortSignal;
}

/** The answer that a caller gets, free of any wire format. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Throws a failure-carrying error when the answer is cut short. */
  readonly body: AsyncIterable<Uint8Array>;
  readonly requestId: string;
  readonly decisionId: string;
}

/** A request that was refused or whose outcome is in doubt. */
export interface RequestFailure {
  readonly failure: Failure;
  readonly requestId: string;
}
