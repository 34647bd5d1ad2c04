/** Port for sending attempts of requests to backend servers. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** Body of an attempt: all bytes, a stream that can be read once, or none. */
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
  /** Time that the caller will still wait (ms); it is sent with the attempt. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Answer of a backend server that returned the attempt's id. */
export interface AttemptAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Body of the answer; iterating it throws when the answer is truncated. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Failure of an attempt that got no answer. */
export interface AttemptFailure {
  readonly failure: Failure;
  /** True only when the work certainly did not start on the backend server. */
  readonly notStarted: boolean;
}

/** Sends attempts to backend servers. */
export interface BackendClient {
  /**
   * Sends an attempt, without any retry.
   *
   * @param attempt - The attempt.
   * @returns The answer, or a failure that tells whether the work certainly did
   * not start.
   */
  send(attempt: Attempt): Promise<Result<AttemptAnswer, AttemptFailure>>;
  /** Closes all connections. */
  close(): Promise<void>;
}
