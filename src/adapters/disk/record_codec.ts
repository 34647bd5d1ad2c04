/** Encodes records for files: a header and a CBOR payload, each with a CRC. */
import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { Encoder } from "cbor-x";

/**
 * Size of a record header, in bytes: the payload length, the CRC-32 of the
 * payload and the CRC-32 of the header, with four bytes each.
 */
export const HEADER_BYTES = 12;

// Record structures are not shared, so that each record decodes on its own.
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/** A decoded record and its position in the file. */
export interface ScannedRecord {
  readonly value: unknown;
  /** Offset of the first byte of the header. */
  readonly offset: number;
  /** Offset of the first byte after the payload. */
  readonly endOffset: number;
}

/** The records of a file, and where its valid content ends. */
export interface ScannedFile {
  readonly records: readonly ScannedRecord[];
  /** Size of the file up to the end of the last complete record, in bytes. */
  readonly validBytes: number;
  /**
   * Offset of an invalid record that is followed by a valid one, or undefined.
   * An invalid record at the end of the file is a torn write, not damage.
   */
  readonly damagedOffset: number | undefined;
}

/**
 * Encodes a value as a record.
 *
 * @param value - Plain data.
 * @returns The header and the payload.
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
 * Reads the records of a file up to the first invalid one.
 *
 * @param bytes - The content of the file.
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

// Writes are sequential, so no valid record can follow a torn write. A valid
// record after an invalid one therefore means that the file is damaged.
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
