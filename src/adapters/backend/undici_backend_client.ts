/** Attempts over HTTP by undici; each attempt is sent once at the most. */
import type { Readable } from "node:stream";
import type { Result } from "true-myth";
import { Agent } from "undici";
import {
  ATTEMPT_ID_HEADER,
  DEADLINE_MS_HEADER,
  LEASE_MS_HEADER,
} from "../../domain/index.ts";
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
  BackendClient,
} from "../../ports/index.ts";
import { AttemptExchange } from "./attempt_exchange.ts";
import { omitHopHeaders } from "./headers.ts";

const CONNECT_TIMEOUT_MS = 500;
// Shorter than what servers keep idle connections for, so that few requests
// meet a connection that is being closed.
const KEEP_ALIVE_MS = 4_000;

/** Options of {@link UndiciBackendClient}. */
export interface UndiciBackendClientOptions {
  /** Connections that one process may open to one backend server. */
  readonly connectionCount: number;
}

/** Sends attempts with one connection for each running attempt. */
export class UndiciBackendClient implements BackendClient {
  readonly #agent: Agent;
  readonly #runningCounts = new Map<string, number>();

  constructor(options: UndiciBackendClientOptions) {
    this.#agent = new Agent({
      connections: options.connectionCount,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
    });
  }

  send(attempt: Attempt): Promise<Result<AttemptAnswer, AttemptFailure>> {
    const origin = `http://${attempt.host}:${attempt.port}`;
    const runningCount = this.#addRunning(origin, 1);
    const exchange = new AttemptExchange(
      attempt,
      () => this.#addRunning(origin, -1),
    );
    if (attempt.signal.aborted) {
      return exchange.result;
    }
    const { idleConnectionCount = Infinity } = attempt;
    this.#agent.dispatch({
      origin,
      path: attempt.path,
      method: attempt.method as "GET",
      headers: {
        ...omitHopHeaders(attempt.headers),
        [ATTEMPT_ID_HEADER]: attempt.attemptId,
        [LEASE_MS_HEADER]: String(Math.floor(attempt.leaseMs)),
        [DEADLINE_MS_HEADER]: String(Math.floor(attempt.deadlineMs)),
      },
      // undici takes any iterable; its types name only streams.
      body: (attempt.body ?? null) as Readable | Uint8Array | null,
      // undici fills its connections in order, so that only the first ones are
      // ever left idle.
      reset: runningCount > idleConnectionCount,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, exchange);
    return exchange.result;
  }

  #addRunning(origin: string, delta: number): number {
    const count = (this.#runningCounts.get(origin) ?? 0) + delta;
    if (count === 0) {
      this.#runningCounts.delete(origin);
    } else {
      this.#runningCounts.set(origin, count);
    }
    return count;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
