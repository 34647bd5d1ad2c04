/** Estimates the size of values of the replicated log. */
import type { LogEntry } from "../ports/index.ts";

/** Rough size of a number, a boolean or the end of a string or list (bytes). */
const SCALAR_BYTES = 4;

const entrySizesBytes = new WeakMap<LogEntry, number>();

/**
 * Estimates the encoded size of a value. In memory, it takes a small multiple
 * of this.
 *
 * @param value - Plain data.
 * @returns The size in bytes.
 */
export function estimateValueBytes(value: unknown): number {
  if (typeof value === "string") {
    return SCALAR_BYTES + value.length;
  }
  if (typeof value !== "object" || value === null) {
    return SCALAR_BYTES;
  }
  let sizeBytes = SCALAR_BYTES;
  if (Array.isArray(value)) {
    for (const item of value) {
      sizeBytes += estimateValueBytes(item);
    }
    return sizeBytes;
  }
  for (const [name, item] of Object.entries(value)) {
    sizeBytes += name.length + estimateValueBytes(item);
  }
  return sizeBytes;
}

/**
 * Estimates the encoded size of a log entry, once for each entry.
 *
 * @param entry - The log entry.
 * @returns The size in bytes.
 */
export function estimateEntryBytes(entry: LogEntry): number {
  const sizeBytes = entrySizesBytes.get(entry) ??
    estimateValueBytes(entry.command);
  entrySizesBytes.set(entry, sizeBytes);
  return sizeBytes;
}
