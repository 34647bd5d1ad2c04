/** Attempts of requests at backend servers, as the request service sees them. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** The body of an attempt: all of it, a stream that can be read once, or none. */
export type AttemptBody = Uint8Array | AsyncIterable<Uint8Array> | undefined;

/** One attempt to run a request at one backend server. */
export interface Attempt {
  readonly attemptId: string;
  readonly host: string;
  readonly port: number;
  /** Connections that this entry may have open to the backend server. */
  readonly connectionCount: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AttemptBody;
  /** How long the attempt may run at the backend server, in milliseconds. */
  readonly leaseMs: number;
  /** How long the caller still waits, in milliseconds; it travels along. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** The answer of a backend server that echoed the attempt's id. */
export interface AttemptAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Throws when the answer is cut short. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** An attempt that brought no answer. */
export interface AttemptFailure {
  readonly failure: Failure;
  /** True only when the request certainly did not start at the server. */
  readonly notStarted: boolean;
}

/** Sends attempts to backend servers. */
export interface BackendClient {
  /**
   * Sends one attempt; never sends it a second time.
   *
   * @param attempt - The attempt.
   * @returns The answer, or the failure with whether the work did not start.
   */
  send(attempt: Attempt): Promise<Result<AttemptAnswer, AttemptFailure>>;
  /** Closes all connections. */
  close(): Promise<void>;
}
