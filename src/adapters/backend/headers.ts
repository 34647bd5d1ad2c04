/** Helpers for the HTTP headers between an entry and a backend server. */
import type { IncomingHttpHeaders } from "node:http";

// Headers that apply to a single connection; a proxy must not forward them.
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
 * Joins the values of repeated headers.
 *
 * @param headers - Headers as received.
 * @returns The headers with one value for each name.
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
 * Removes the headers that apply to a single connection.
 *
 * @param headers - Headers as received.
 * @returns The headers to forward.
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
 * Tells whether a truncated response can be detected.
 *
 * @param method - HTTP method of the request.
 * @param status - HTTP status of the response.
 * @param headers - Headers of the response, including hop-by-hop headers.
 * @returns False when only the end of the connection marks the end of the body.
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
