/** Output stream for log lines that never blocks the writer. */
import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";
import { Writable } from "node:stream";
import type { Clock } from "../../ports/index.ts";

/**
 * Default maximum size of the queue, in bytes. It holds several seconds of
 * output of a busy process, and is small compared to the memory of the smallest
 * VM.
 */
const MAX_QUEUED_BYTES = 262_144;
/** Delay before retrying a write to a full pipe, in milliseconds. */
const RETRY_DELAY_MS = 20;

type WriteCallback = (
  error: { readonly code?: string | undefined } | null,
  writtenBytes: number,
) => void;

/** Options of {@link QueuedStream}. */
export interface QueuedStreamOptions {
  readonly clock: Clock;
  /** Descriptor of the open file that lines are written to. */
  readonly fileDescriptor: number;
  /**
   * Maximum size of the queue, in bytes; lines that do not fit are dropped and
   * counted.
   */
  readonly maxQueuedBytes?: number;
  /** Writes to the file asynchronously; `fs.write` by default. */
  readonly write?: (
    fileDescriptor: number,
    bytes: Uint8Array,
    callback: WriteCallback,
  ) => void;
}

/** Queues lines, writes them in batches, and drops those that do not fit. */
export class QueuedStream {
  readonly #options: QueuedStreamOptions;
  #queued: string[] = [];
  #queuedBytes = 0;
  #writing: Promise<void> | undefined;
  #droppedCount = 0;

  constructor(options: QueuedStreamOptions) {
    this.#options = options;
  }

  /** Number of dropped lines since the stream was created. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Queues a line without waiting.
   *
   * @param line - The line, including its newline.
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

  /** Creates a node stream that writes to this stream, for log libraries. */
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
   * Waits until all queued lines are written.
   *
   * @param timeoutMs - How long to wait at most, in milliseconds.
   */
  async flush(timeoutMs: number): Promise<void> {
    const stop = new AbortController();
    await Promise.race([
      this.#writing ?? Promise.resolve(),
      this.#options.clock.sleep(timeoutMs, stop.signal),
    ]);
    stop.abort("flushed");
  }

  /** Tries once to write the queued lines, synchronously, as the process exits. */
  flushAtExit(): void {
    const lines = this.#queued;
    this.#queued = [];
    if (lines.length === 0) {
      return;
    }
    try {
      writeSync(this.#options.fileDescriptor, lines.join(""));
    } catch {
      // The pipe is full or its reader is gone. Neither may change the exit
      // code of the process.
      this.#droppedCount += lines.length;
    }
  }

  async #writeAll(): Promise<void> {
    // Collects the lines of one turn of the event loop into a single write.
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
        // The reader is gone, and there is no other output to report it on.
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
