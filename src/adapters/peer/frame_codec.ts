/** Frames of the peer protocol: a payload length of four bytes, then CBOR. */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { decodeMessage, encodeMessage } from "./message_encoder.ts";

const LENGTH_BYTES = 4;

/**
 * Encodes a message as a frame.
 *
 * @param message - Plain data.
 * @returns The length and the payload.
 */
export function encodeFrame(message: unknown): Buffer {
  const parts = encodeMessage(message);
  const payloadBytes = parts.reduce((sum, { length }) => sum + length, 0);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payloadBytes);
  let offset = frame.writeUInt32BE(payloadBytes, 0);
  for (const part of parts) {
    frame.set(part, offset);
    offset += part.length;
  }
  return frame;
}

/** Reads frames from a connection, and limits their size to bound memory. */
export class FrameReader {
  readonly #chunks: AsyncIterator<Buffer>;
  /** Largest accepted payload, in bytes; raised after authentication. */
  maxFrameBytes: number;
  #buffered: Buffer = Buffer.alloc(0);

  /**
   * @param socket - The connection.
   * @param maxFrameBytes - Largest accepted payload, in bytes.
   */
  constructor(socket: Socket, maxFrameBytes: number) {
    this.#chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Reads the next message.
   *
   * @returns The message, or undefined when the connection has ended.
   * @throws RangeError when the frame is too large, or the decoder's error when
   * the payload is not valid CBOR.
   */
  async read(): Promise<unknown> {
    if (!await this.#bufferAtLeast(LENGTH_BYTES)) {
      return undefined;
    }
    const payloadBytes = this.#buffered.readUInt32BE(0);
    if (payloadBytes > this.maxFrameBytes) {
      throw new RangeError(
        `a frame of ${payloadBytes} bytes exceeds the limit of ${this.maxFrameBytes}`,
      );
    }
    if (!await this.#bufferAtLeast(LENGTH_BYTES + payloadBytes)) {
      return undefined;
    }
    const payload = this.#buffered.subarray(
      LENGTH_BYTES,
      LENGTH_BYTES + payloadBytes,
    );
    const message = decodeMessage(payload);
    this.#buffered = this.#buffered.subarray(LENGTH_BYTES + payloadBytes);
    return message;
  }

  async #bufferAtLeast(neededBytes: number): Promise<boolean> {
    const chunks: Buffer[] = [this.#buffered];
    let bufferedBytes = this.#buffered.length;
    while (bufferedBytes < neededBytes) {
      const next = await this.#chunks.next();
      if (next.done) {
        return false;
      }
      chunks.push(next.value);
      bufferedBytes += next.value.length;
    }
    if (chunks.length > 1) {
      this.#buffered = Buffer.concat(chunks, bufferedBytes);
    }
    return true;
  }
}
