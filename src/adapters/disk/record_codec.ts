/** Records in files: a checked header, then a checked CBOR payload. */
import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { Encoder } from "cbor-x";

/** Bytes of a record before its payload: length, payload check, header check. */
export const HEADER_BYTES = 12;

// Plain maps, without shared structures: a record must be readable by itself.
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/** A record found in a file. */
export interface ScannedRecord {
  readonly value: unknown;
  readonly offset: number;
  readonly endOffset: number;
}

/** What a file holds. */
export interface ScannedFile {
  readonly records: readonly ScannedRecord[];
  /** Bytes up to the end of the last whole record. */
  readonly validBytes: number;
  /** Offset of damage that whole records follow, or undefined. */
  readonly damagedOffset: number | undefined;
}

/**
 * Encodes a value as a record.
 *
 * @param value - Plain data.
 * @returns Header and payload.
 */
export function encodeRecord(value: unknown): Uint8Array {
  const payload = encoder.encode(value);
  const record = Buffer.alloc(HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, 0);
  record.writeUInt32BE(crc32(payload), 4);
  record.writeUInt32BE(crc32(record.subarray(0, 8)), 8);
  record.set(payload, HEADER_BYTES);
  return record;
}

/**
 * Reads all whole records of a file.
 *
 * @param bytes - The file's content.
 * @returns The records, and where a torn tail or damage begins.
 */
export function scanRecords(bytes: Uint8Array): ScannedFile {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const records: ScannedRecord[] = [];
  let offset = 0;
  while (offset < buffer.length) {
    const record = readRecord(buffer, offset);
    if (record === undefined) {
      break;
    }
    records.push(record);
    offset = record.endOffset;
  }
  const isDamaged = offset < buffer.length &&
    hasRecordAfter(buffer, offset + 1);
  return {
    records,
    validBytes: offset,
    damagedOffset: isDamaged ? offset : undefined,
  };
}

function readRecord(buffer: Buffer, offset: number): ScannedRecord | undefined {
  if (offset + HEADER_BYTES > buffer.length) {
    return undefined;
  }
  const header = buffer.subarray(offset, offset + HEADER_BYTES);
  if (crc32(header.subarray(0, 8)) !== header.readUInt32BE(8)) {
    return undefined;
  }
  const endOffset = offset + HEADER_BYTES + header.readUInt32BE(0);
  const payload = buffer.subarray(offset + HEADER_BYTES, endOffset);
  if (endOffset > buffer.length || crc32(payload) !== header.readUInt32BE(4)) {
    return undefined;
  }
  return { value: encoder.decode(payload), offset, endOffset };
}

// A torn write leaves no whole record behind it, since writes are sequential.
function hasRecordAfter(buffer: Buffer, start: number): boolean {
  for (
    let offset = start;
    offset + HEADER_BYTES <= buffer.length;
    offset += 1
  ) {
    if (readRecord(buffer, offset) !== undefined) {
      return true;
    }
  }
  return false;
}
