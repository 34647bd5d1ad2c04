/** A stream for log lines that never makes its writer wait. */
import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";
import { Writable } from "node:stream";
import type { Clock } from "../../ports/index.ts";

/**
 * Lines that wait for a slow reader, in bytes: some seconds of a busy process,
 * and small against the memory of the smallest VM.
 */
const MAX_QUEUED_BYTES = 262_144;
/** Pause after a write that a full pipe refused, in milliseconds. */
const RETRY_DELAY_MS = 20;

type WriteCallback = (
  error: { readonly code?: string | undefined } | null,
  writtenBytes: number,
) => void;

/** Options of {@link QueuedStream}. */
export interface QueuedStreamOptions {
  readonly clock: Clock;
  /** Number of the open file that lines go to. */
  readonly fileDescriptor: number;
  /** Most bytes that wait; more lines are dropped and counted. */
  readonly maxQueuedBytes?: number;
  /** Writes to the file without blocking the event loop. */
  readonly write?: (
    fileDescriptor: number,
    bytes: Uint8Array,
    callback: WriteCallback,
  ) => void;
}

/** Queues lines, writes them in batches, and drops what does not fit. */
export class QueuedStream {
  readonly #options: QueuedStreamOptions;
  #queued: string[] = [];
  #queuedBytes = 0;
  #writing: Promise<void> | undefined;
  #droppedCount = 0;

  constructor(options: QueuedStreamOptions) {
    this.#options = options;
  }

  /** Number of lines that were dropped since the start. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Takes a line; it never waits.
   *
   * @param line - The line with its end.
   */
  write(line: string): void {
    const sizeBytes = Buffer.byteLength(line);
    const { maxQueuedBytes = MAX_QUEUED_BYTES } = this.#options;
    if (this.#queuedBytes + sizeBytes > maxQueuedBytes) {
      this.#droppedCount += 1;
      return;
    }
    this.#queued.push(line);
    this.#queuedBytes += sizeBytes;
    this.#writing ??= this.#writeAll();
  }

  /** Creates the form of this stream that libraries write to. */
  toWritable(): Writable {
    return new Writable({
      decodeStrings: false,
      write: (line, _encoding, done) => {
        this.write(String(line));
        done();
      },
    });
  }

  /**
   * Waits until all lines are written.
   *
   * @param timeoutMs - How long to wait at the most (ms).
   */
  async flush(timeoutMs: number): Promise<void> {
    const stop = new AbortController();
    await Promise.race([
      this.#writing ?? Promise.resolve(),
      this.#options.clock.sleep(timeoutMs, stop.signal),
    ]);
    stop.abort("flushed");
  }

  /** Writes what is queued at the end of the process, once. */
  flushAtExit(): void {
    const lines = this.#queued;
    this.#queued = [];
    if (lines.length === 0) {
      return;
    }
    try {
      writeSync(this.#options.fileDescriptor, lines.join(""));
    } catch {
      // A full pipe must not change the exit code, and nobody reads any more.
      this.#droppedCount += lines.length;
    }
  }

  async #writeAll(): Promise<void> {
    // Lines of one turn of the event loop share one write.
    await new Promise((resolve) => setImmediate(resolve));
    while (this.#queued.length > 0) {
      const bytes = Buffer.from(this.#queued.join(""));
      this.#queued = [];
      await this.#writeFully(bytes);
      this.#queuedBytes -= bytes.length;
    }
    this.#writing = undefined;
  }

  async #writeFully(bytes: Uint8Array): Promise<void> {
    let offset = 0;
    while (offset < bytes.length) {
      const { error, writtenBytes } = await this.#writeSome(
        bytes.subarray(offset),
      );
      offset += writtenBytes;
      if (error?.code === "EAGAIN") {
        await this.#options.clock.sleep(RETRY_DELAY_MS);
      } else if (error !== null) {
        // Nobody reads any more, and there is no other place to say so.
        this.#droppedCount += 1;
        return;
      }
    }
  }

  #writeSome(
    bytes: Uint8Array,
  ): Promise<
    {
      error: { readonly code?: string | undefined } | null;
      writtenBytes: number;
    }
  > {
    const { fileDescriptor, write: writeBytes = write } = this.#options;
    return new Promise((resolve) =>
      writeBytes(
        fileDescriptor,
        bytes,
        (error, writtenBytes) => resolve({ error, writtenBytes }),
      )
    );
  }
}
