/** Sends attempts over HTTP with undici; sends each attempt at most once. */
import type { Readable } from "node:stream";
import type { Result } from "true-myth";
// The main module of undici also loads fetch, WebSocket and caches, which would
// cost every entry memory and startup time.
import Pool from "undici/lib/dispatcher/pool.js";
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
import { omitHopByHopHeaders } from "./headers.ts";

const CONNECT_TIMEOUT_MS = 500;
// Shorter than the keep-alive timeout of usual servers, so that requests rarely
// use a connection that the server is closing.
const KEEP_ALIVE_MS = 4_000;

/** The connections to one backend server. */
interface SizedPool {
  readonly pool: Pool;
  readonly connectionCount: number;
}

/**
 * Sends attempts over a connection pool for each backend server. A connection
 * carries one attempt at a time.
 */
export class UndiciBackendClient implements BackendClient {
  readonly #pools = new Map<string, SizedPool>();

  send(attempt: Attempt): Promise<Result<AttemptAnswer, AttemptFailure>> {
    const exchange = new AttemptExchange(attempt);
    if (attempt.signal.aborted) {
      return exchange.result;
    }
    this.#findPool(attempt).dispatch({
      path: attempt.path,
      method: attempt.method as "GET",
      headers: {
        ...omitHopByHopHeaders(attempt.headers),
        [ATTEMPT_ID_HEADER]: attempt.attemptId,
        [LEASE_MS_HEADER]: String(Math.floor(attempt.leaseMs)),
        [DEADLINE_MS_HEADER]: String(Math.floor(attempt.deadlineMs)),
      },
      // undici accepts any async iterable, but its types list only streams.
      body: (attempt.body ?? null) as Readable | Uint8Array | null,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, exchange);
    return exchange.result;
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #findPool({ host, port, connectionCount }: Attempt): Pool {
    const origin = `http://${host}:${port}`;
    const existing = this.#pools.get(origin);
    if (existing?.connectionCount === connectionCount) {
      return existing.pool;
    }
    const pool = createPool(origin, connectionCount);
    this.#pools.set(origin, { pool, connectionCount });
    // The previous pool closes after its running attempts have ended.
    void existing?.pool.close();
    return pool;
  }
}

function createPool(origin: string, connectionCount: number): Pool {
  return new Pool(origin, {
    connections: connectionCount,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
  });
}
