/** Headers between an entry and a backend server. */
import type { IncomingHttpHeaders } from "node:http";

// These belong to one connection and are never passed on.
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const NO_BODY_STATUSES = new Set([204, 304]);

/**
 * Joins repeated headers.
 *
 * @param headers - Headers as received.
 * @returns One value for each name.
 */
export function flattenHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return flat;
}

/**
 * Leaves out the headers that belong to one connection.
 *
 * @param headers - Headers as received.
 * @returns The headers that are passed on.
 */
export function omitHopByHopHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}

/**
 * Tells whether the end of an answer can be told from a cut connection.
 *
 * @param method - Method of the request.
 * @param status - Status of the answer.
 * @param headers - Headers of the answer, with those of the connection.
 * @returns False when only the end of the connection would end the body.
 */
export function isTruncationDetectable(
  method: string,
  status: number,
  headers: Readonly<Record<string, string>>,
): boolean {
  return method === "HEAD" || NO_BODY_STATUSES.has(status) ||
    headers["content-length"] !== undefined ||
    (headers["transfer-encoding"] ?? "").toLowerCase().endsWith("chunked");
}
