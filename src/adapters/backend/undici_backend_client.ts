/** Attempts over HTTP by undici; each attempt is sent once at the most. */
import type { Readable } from "node:stream";
import { Result } from "true-myth";
import { Agent, errors, request } from "undici";
import {
  ATTEMPT_ID_HEADER,
  createFailure,
  type Failure,
  LEASE_MS_HEADER,
  NOT_STARTED_HEADER,
} from "../../domain/index.ts";
import type {
  Attempt,
  AttemptAnswer,
  AttemptFailure,
  BackendClient,
} from "../../ports/index.ts";

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 4_000;

// Errors that undici reports only before it has written a byte of the request.
const NEVER_SENT_CODES = new Set([
  "UND_ERR_CONNECT_TIMEOUT",
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "te",
  "upgrade",
]);

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

  async send(attempt: Attempt): Promise<Result<AttemptAnswer, AttemptFailure>> {
    const lease = AbortSignal.timeout(Math.max(1, Math.ceil(attempt.leaseMs)));
    try {
      const answer = await request(
        `http://${attempt.host}:${attempt.port}${attempt.path}`,
        {
          dispatcher: this.#agent,
          method: attempt.method as "GET",
          headers: {
            ...withoutHopHeaders(attempt.headers),
            [ATTEMPT_ID_HEADER]: attempt.attemptId,
            [LEASE_MS_HEADER]: String(Math.floor(attempt.leaseMs)),
          },
          body: (attempt.body ?? null) as Readable | null,
          signal: AbortSignal.any([attempt.signal, lease]),
          headersTimeout: 0,
          bodyTimeout: 0,
        },
      );
      return await checkAnswer(
        attempt,
        answer.statusCode,
        flatten(answer.headers),
        answer.body,
      );
    } catch (error) {
      return Result.err(describeError(attempt, error, lease.aborted));
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

async function checkAnswer(
  attempt: Attempt,
  status: number,
  headers: Record<string, string>,
  body: Readable,
): Promise<Result<AttemptAnswer, AttemptFailure>> {
  const where = `${attempt.host}:${attempt.port}`;
  if (headers[ATTEMPT_ID_HEADER] !== attempt.attemptId) {
    body.on("error", () => undefined).destroy();
    return Result.err({
      failure: createFailure(
        "outcomeUnknown",
        `${where} answered another attempt`,
      ),
      notStarted: false,
    });
  }
  if (headers[NOT_STARTED_HEADER] === "true") {
    await drain(body);
    return Result.err({
      failure: createFailure(
        "noBackendServer",
        `${where} refused the attempt before it started`,
      ),
      notStarted: true,
    });
  }
  return Result.ok({ status, headers: withoutHopHeaders(headers), body });
}

async function drain(body: Readable): Promise<void> {
  body.resume();
  await new Promise<void>((resolve) => {
    body.once("end", resolve).once("error", () => resolve()).once(
      "close",
      resolve,
    );
  });
}

function describeError(
  attempt: Attempt,
  error: unknown,
  leaseEnded: boolean,
): AttemptFailure {
  const code = findErrorCode(error);
  const where = `${attempt.host}:${attempt.port}`;
  if (code !== undefined && NEVER_SENT_CODES.has(code)) {
    return {
      failure: createFailure(
        "noBackendServer",
        `${where} cannot be reached: ${code}`,
      ),
      notStarted: true,
    };
  }
  return { failure: createDoubt(where, leaseEnded, error), notStarted: false };
}

function createDoubt(
  where: string,
  leaseEnded: boolean,
  error: unknown,
): Failure {
  const why = leaseEnded
    ? "did not answer within the attempt's lease"
    : String(error);
  return createFailure("outcomeUnknown", `${where}: ${why}`, {
    remedy: "look the work up before sending it again; it may have run",
  });
}

function findErrorCode(error: unknown): string | undefined {
  if (error instanceof errors.UndiciError) {
    return error.code;
  }
  return error instanceof Error && "code" in error
    ? String(error.code)
    : undefined;
}

function flatten(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return flat;
}

function withoutHopHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) =>
      !HOP_HEADERS.has(name.toLowerCase())
    ),
  );
}
