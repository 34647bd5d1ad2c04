/** Routes for callers: `/q/QUEUE/PATH`, forwarded with any HTTP method. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HTTPMethod } from "find-my-way";
import {
  type CallerAnswer,
  type CallerRequest,
  DEADLINE_MS_HEADER,
} from "../../domain/index.ts";
import type { Clock, Logger, Random } from "../../ports/index.ts";
import {
  MAX_BUFFERED_BODY_BYTES,
  type RequestService,
} from "../../services/index.ts";
import { BodyChunks } from "./body_chunks.ts";
import {
  DECISION_ID_HEADER,
  type Exchange,
  OUTCOME_HEADER,
  readBearerToken,
  REQUEST_ID_HEADER,
  sendFailure,
} from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

/** Header with which a caller declares that its request may run twice. */
export const IDEMPOTENT_HEADER = "cardamomsill-idempotent";
/** Header that identifies a request, so that a resend finds the first one. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const DEFAULT_DEADLINE_MS = 60_000;
const MAX_DEADLINE_MS = 3_600_000;
const CALLER_METHODS: readonly HTTPMethod[] = [
  "GET",
  "HEAD",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
];
const NON_IDEMPOTENT_METHODS = new Set(["POST", "PATCH"]);
// The entry does not forward credentials, nor headers that apply to its
// connection with the caller.
const CONSUMED_HEADERS = new Set([
  "authorization",
  "host",
  "content-length",
  "expect",
]);

/** Options of {@link addCallerRoutes}. */
export interface CallerRoutesOptions {
  readonly requests: RequestService;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/**
 * Adds the routes for callers.
 *
 * @param server - The entry's HTTP server.
 * @param options - The request service, and the ports that the routes use.
 */
export function addCallerRoutes(
  server: HttpServer,
  options: CallerRoutesOptions,
): void {
  const handle = (exchange: Exchange) => serveCaller(exchange, options);
  server.route(CALLER_METHODS, "/q/:queue", handle);
  server.route(CALLER_METHODS, "/q/:queue/*", handle);
}

async function serveCaller(
  exchange: Exchange,
  options: CallerRoutesOptions,
): Promise<void> {
  const request = readCallerRequest(exchange, options);
  const result = await options.requests.run(request);
  if (result.isErr) {
    const { failure, requestId } = result.error;
    sendFailure(exchange.response, failure, { [REQUEST_ID_HEADER]: requestId });
    return;
  }
  try {
    await sendResponse(exchange.response, result.value);
  } catch (error) {
    options.logger.warn(
      { requestId: request.requestId, err: error },
      "sending a response to a caller failed",
    );
    // Closes the connection without the final chunk, so that the caller does
    // not take a truncated response for a complete one.
    exchange.response.destroy();
  }
}

function readCallerRequest(
  exchange: Exchange,
  options: CallerRoutesOptions,
): CallerRequest {
  const { account, request, params, signal } = exchange;
  const method = request.method ?? "GET";
  const isDeclaredIdempotent = request.headers[IDEMPOTENT_HEADER] === "true";
  const idempotencyKey = request.headers[IDEMPOTENCY_KEY_HEADER];
  return {
    requestId: options.random.nextId(),
    queueName: params["queue"] ?? "",
    secret: readBearerToken(request),
    method,
    path: readForwardedPath(request),
    headers: readHeaders(request),
    body: hasBody(request)
      ? new BodyChunks(request, account, MAX_BUFFERED_BODY_BYTES)
      : undefined,
    bodySizeBytes: readContentLength(request),
    deadlineAtMs: options.clock.monotonicMs() + readDeadlineMs(request),
    idempotencyKey: typeof idempotencyKey === "string"
      ? idempotencyKey
      : undefined,
    idempotent: isDeclaredIdempotent || !NON_IDEMPOTENT_METHODS.has(method),
    signal,
  };
}

// Uses the raw text, because decoding and re-encoding could change the path.
function readForwardedPath(request: IncomingMessage): string {
  const rest = (request.url ?? "").replace(/^\/q\/[^/?]*/, "");
  return rest.startsWith("/") ? rest : `/${rest}`;
}

function readHeaders(request: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined && !CONSUMED_HEADERS.has(name)) {
      headers[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return headers;
}

function readDeadlineMs(request: IncomingMessage): number {
  const declared = Number(request.headers[DEADLINE_MS_HEADER]);
  const isUsable = Number.isFinite(declared) && declared > 0;
  return isUsable ? Math.min(declared, MAX_DEADLINE_MS) : DEFAULT_DEADLINE_MS;
}

function readContentLength(request: IncomingMessage): number | undefined {
  const declared = request.headers["content-length"];
  return declared === undefined ? undefined : Number(declared);
}

function hasBody(request: IncomingMessage): boolean {
  const length = Number(request.headers["content-length"] ?? 0);
  return length > 0 || request.headers["transfer-encoding"] !== undefined;
}

async function sendResponse(
  response: ServerResponse,
  answer: CallerAnswer,
): Promise<void> {
  response.writeHead(answer.status, {
    ...answer.headers,
    [REQUEST_ID_HEADER]: answer.requestId,
    [DECISION_ID_HEADER]: answer.decisionId,
    [OUTCOME_HEADER]: "ran",
  });
  for await (const chunk of answer.body) {
    if (response.destroyed) {
      return;
    }
    if (!response.write(chunk)) {
      await waitForDrain(response);
    }
  }
  response.end();
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      response.off("drain", finish).off("close", finish);
      resolve();
    };
    response.on("drain", finish).on("close", finish);
  });
}
