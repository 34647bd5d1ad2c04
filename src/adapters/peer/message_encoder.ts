/** Encodes messages as CBOR, and values that several peers get only once. */
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import { isSharedValue } from "../../ports/index.ts";

/** Number of maps within each other at whose end a list is found. */
const MAX_LIST_DEPTH = 3;

/** Header of an array whose length follows in four bytes. */
const LONG_ARRAY = 0x9a;
const HEADER_BYTES = 5;

// Record structures are not shared, so that no message of a peer can change how
// the decoder reads later messages.
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

const encodedValues = new WeakMap<object, Uint8Array>();

/**
 * Encodes a message. Shared values of a list at the end of the message are
 * encoded when they are first sent; later messages copy those bytes.
 *
 * @param message - Plain data.
 * @returns The parts of the encoded message, in order.
 */
export function encodeMessage(message: unknown): readonly Uint8Array[] {
  const split = splitLastList(message, MAX_LIST_DEPTH);
  if (split === undefined || !split.list.some(isSharedValue)) {
    return [encoder.encode(message)];
  }
  const { list, rest } = split;
  // The empty list at the end is one byte, its header.
  return [
    encoder.encode(rest).subarray(0, -1),
    encodeHeader(list.length),
    ...list.map(encodeElement),
  ];
}

/**
 * Decodes a message.
 *
 * @param bytes - The encoded message.
 * @throws Error when the bytes are not valid CBOR.
 */
export function decodeMessage(bytes: Uint8Array): unknown {
  return encoder.decode(bytes);
}

interface SplitMessage {
  /** The message with an empty list at its end. */
  readonly rest: unknown;
  readonly list: readonly unknown[];
}

/** Returns undefined when the message does not end with a list. */
function splitLastList(
  value: unknown,
  depth: number,
): SplitMessage | undefined {
  if (Array.isArray(value)) {
    return { rest: [], list: value };
  }
  if (depth === 0 || typeof value !== "object" || value === null) {
    return undefined;
  }
  const lastName = Object.keys(value).at(-1) ?? "";
  const fields = value as Readonly<Record<string, unknown>>;
  const split = splitLastList(fields[lastName], depth - 1);
  return split && { ...split, rest: { ...fields, [lastName]: split.rest } };
}

function encodeElement(value: unknown): Uint8Array {
  if (!isSharedValue(value)) {
    return encoder.encode(value);
  }
  const bytes = encodedValues.get(value) ?? Buffer.from(encoder.encode(value));
  encodedValues.set(value, bytes);
  return bytes;
}

function encodeHeader(length: number): Uint8Array {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt8(LONG_ARRAY, 0);
  header.writeUInt32BE(length, 1);
  return header;
}
