/** Requests of callers, with their answers and outcomes. */
import type { Failure } from "./errors.ts";

/**
 * Outcome of a request; each request is counted under exactly one. `replayed`
 * is the outcome of a resend that only gets the outcome of the first request.
 */
export type RequestOutcome =
  | "succeeded"
  | "failed"
  | "notRun"
  | "unknown"
  | "replayed";

/** A caller's request, independent of any wire format. */
export interface CallerRequest {
  readonly requestId: string;
  readonly queueName: string;
  /** Secret that the caller sent, if any. */
  readonly secret: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array> | undefined;
  /** Size of the body that the caller declared; undefined when it declared none. */
  readonly bodySizeBytes: number | undefined;
  /** Monotonic time in milliseconds after which the caller no longer waits. */
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  /** Whether the work may safely run a second time. */
  readonly idempotent: boolean;
  readonly signal: AbortSignal;
}

/** Answer to a caller, independent of any wire format. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /**
   * Body of the answer. Iterating it throws an error that carries a failure
   * when the answer is truncated.
   */
  readonly body: AsyncIterable<Uint8Array>;
  readonly requestId: string;
  readonly decisionId: string;
}

/** Failure of a request that was refused or whose outcome is unknown. */
export interface RequestFailure {
  readonly failure: Failure;
  readonly requestId: string;
}
