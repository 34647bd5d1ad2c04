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
  /** Connections that this entry may open to one backend server. */
  readonly connectionCount: number;
}

/** Sends attempts with one connection for each running attempt. */
export class UndiciBackendClient implements BackendClient {
  readonly #agent: Agent;

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
    const exchange = new AttemptExchange(attempt);
    if (attempt.signal.aborted) {
      return exchange.result;
    }
    this.#agent.dispatch({
      origin: `http://${attempt.host}:${attempt.port}`,
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
      headersTimeout: 0,
      bodyTimeout: 0,
    }, exchange);
    return exchange.result;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
