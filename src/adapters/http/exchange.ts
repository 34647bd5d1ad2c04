/** One HTTP request and its response, and helpers to read and write them. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  findAnswer,
  GrowingBuffer,
} from "../../domain/index.ts";
import { BodyChunks, NoRoomError } from "./body_chunks.ts";
import type { BodyAccount } from "./connection_guard.ts";

const MS_PER_SECOND = 1_000;
/** When a client may try again whose request exceeded a limit (ms). */
const RETRY_AFTER_MS = 1_000;
/** Header that tells the outcome of the request. */
export const OUTCOME_HEADER = "cardamomsill-outcome";
/** Header that carries the id of the decision behind a response. */
export const DECISION_ID_HEADER = "cardamomsill-decision-id";
/** Header that carries the id of a request. */
export const REQUEST_ID_HEADER = "cardamomsill-request-id";

/** One HTTP request with its route parameters, and the response to write. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Parameters of the matched route. */
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly query: URLSearchParams;
  /** Account of the request's body. */
  readonly account: BodyAccount;
  /** Aborts when the client disconnects or the time for a stop runs out. */
  readonly signal: AbortSignal;
  /** Aborts when a planned stop begins; streaming responses must then end. */
  readonly stopping: AbortSignal;
}

/**
 * Reads the bearer token of a request, which is the secret of a key.
 *
 * @param request - The request.
 * @returns The token, or undefined when there is none.
 */
export function readBearerToken(request: IncomingMessage): string | undefined {
  const header = request.headers.authorization ?? "";
  const match = /^Bearer +(\S+)$/i.exec(header);
  return match?.[1];
}

/**
 * Reads a JSON body of limited size.
 *
 * @param exchange - The exchange of the request.
 * @param maxBytes - Largest accepted body, in bytes.
 * @returns The parsed body, `invalidInput`, or a failure of {@link readText}.
 */
export async function readJson(
  exchange: Exchange,
  maxBytes: number,
): Promise<Result<unknown, Failure>> {
  const text = await readText(exchange, maxBytes);
  return text.andThen((value) => parseJson(value));
}

/**
 * Reads a body of limited size as text.
 *
 * @param exchange - The exchange of the request.
 * @param maxBytes - Largest accepted body, in bytes.
 * @returns The text, `bodyTooLarge`, `overloaded` when all bodies together take
 * too much, or `cancelled` when the connection closes before the end.
 */
export async function readText(
  exchange: Exchange,
  maxBytes: number,
): Promise<Result<string, Failure>> {
  const { account, request, response } = exchange;
  const buffer = new GrowingBuffer();
  try {
    for await (const chunk of new BodyChunks(request, account, maxBytes)) {
      if (buffer.sizeBytes + chunk.length > maxBytes) {
        // Otherwise the rest of the body would be read after the answer.
        closeAfterResponse(response);
        return Result.err(createTooLarge(maxBytes));
      }
      buffer.append(chunk);
    }
  } catch (error) {
    closeAfterResponse(response);
    return Result.err(
      error instanceof NoRoomError
        ? createOverloaded(error.message)
        : createFailure("cancelled", String(error)),
    );
  }
  const bytes = buffer.view();
  const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return Result.ok(text.toString("utf8"));
}

function createTooLarge(maxBytes: number): Failure {
  return createFailure(
    "bodyTooLarge",
    `the body is larger than ${maxBytes} bytes`,
    { remedy: "split the change into smaller ones" },
  );
}

/**
 * Creates the failure of a request that was refused before anything was done.
 *
 * @param message - Which limit is exceeded.
 */
export function createOverloaded(message: string): Failure {
  return createFailure("overloaded", message, { retryAfterMs: RETRY_AFTER_MS });
}

/**
 * Checks the headers that HTTP demands of each request.
 *
 * @param request - The request.
 * @returns `invalidInput`, or undefined when nothing is missing.
 */
export function findHeadFailure(request: IncomingMessage): Failure | undefined {
  const { headers, httpVersion } = request;
  return httpVersion === "1.1" && headers.host === undefined
    ? createFailure("invalidInput", "the request has no host header")
    : undefined;
}

/**
 * Closes the connection once the response has been sent.
 *
 * @param response - The response.
 */
export function closeAfterResponse(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader("connection", "close");
  }
}

/**
 * Parses a body that may be absent.
 *
 * @param text - The body as text.
 * @returns The parsed body, undefined if it is empty, or `invalidInput`.
 */
export function parseOptionalJson(text: string): Result<unknown, Failure> {
  return text === "" ? Result.ok(undefined) : parseJson(text);
}

function parseJson(text: string): Result<unknown, Failure> {
  try {
    return Result.ok(JSON.parse(text));
  } catch (error) {
    return Result.err(
      createFailure(
        "invalidInput",
        `the body is not valid JSON: ${String(error)}`,
      ),
    );
  }
}

/**
 * Writes a JSON response.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param value - The body, before serialization.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = `${JSON.stringify(value)}\n`;
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/**
 * Writes a failure, with the status that the error table gives for its kind. If
 * the response has already begun, closes the connection instead.
 *
 * @param response - The response.
 * @param failure - The failure.
 * @param headers - Additional headers.
 */
export function sendFailure(
  response: ServerResponse,
  failure: Failure,
  headers: Readonly<Record<string, string>> = {},
): void {
  const answer = findAnswer(failure);
  if (response.headersSent) {
    response.destroy();
    return;
  }
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, value);
  }
  response.setHeader(OUTCOME_HEADER, answer.notRun ? "not-run" : "unknown");
  if (failure.decisionId !== undefined) {
    response.setHeader(DECISION_ID_HEADER, failure.decisionId);
  }
  if (failure.retryAfterMs !== undefined) {
    response.setHeader(
      "retry-after",
      Math.ceil(failure.retryAfterMs / MS_PER_SECOND),
    );
  }
  sendJson(response, answer.httpStatus, {
    error: { ...failure, notRun: answer.notRun },
  });
}

/**
 * Writes the value of a result as JSON, or its failure.
 *
 * @param response - The response.
 * @param result - The result.
 * @param status - HTTP status of a success.
 */
export function sendResult(
  response: ServerResponse,
  result: Result<unknown, Failure>,
  status = 200,
): void {
  if (result.isOk) {
    sendJson(response, status, result.value);
  } else {
    sendFailure(response, result.error);
  }
}
