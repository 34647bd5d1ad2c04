/**
 * Reads request bodies. Small bodies are buffered so that they can be sent
 * again; larger ones are streamed.
 */
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  GrowingBuffer,
} from "../../domain/index.ts";
import type { AttemptBody, Clock } from "../../ports/index.ts";

/** Largest body that is buffered whole, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1_024;
// Without a reason, `abort()` would build an error with a stack trace for each
// request.
const WAIT_OVER = "the wait is over";
const DEFAULT_MAX_TOTAL_BYTES = 16 * 1_024 * 1_024;

/** Options of {@link BodyLoader}. */
export interface BodyLoaderOptions {
  readonly clock: Clock;
  /** Upper limit for the buffered bytes of all bodies on this entry. */
  readonly maxTotalBytes?: number;
}

/** Source of a request body. */
export interface BodySource {
  readonly body: AsyncIterable<Uint8Array> | undefined;
  /** Monotonic time at which reading stops, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** The body of one request. */
export class RequestBody {
  /** The buffered first bytes; all bytes when {@link RequestBody.isBuffered}. */
  readonly start: Uint8Array;
  readonly #rest: AsyncIterator<Uint8Array> | undefined;
  readonly #isEmpty: boolean;
  #release: (() => void) | undefined;
  #isTaken = false;

  /**
   * @param start - The first bytes.
   * @param rest - The chunks that follow, or undefined when there are none.
   * @param release - Called when the buffered bytes are released.
   */
  constructor(
    start: Uint8Array,
    rest: AsyncIterator<Uint8Array> | undefined,
    release: () => void,
  ) {
    this.start = start;
    this.#rest = rest;
    this.#release = release;
    this.#isEmpty = start.length === 0 && rest === undefined;
  }

  /** Whether the whole body is buffered. */
  get isBuffered(): boolean {
    return this.#rest === undefined;
  }

  /** Whether the body can be sent with another attempt. */
  get canSend(): boolean {
    return this.isBuffered || !this.#isTaken;
  }

  /**
   * Takes the body for an attempt. A body that is not buffered whole can be
   * taken once only.
   *
   * @returns The body, or undefined when the request has none.
   */
  take(): AttemptBody {
    this.#isTaken = true;
    if (this.#isEmpty) {
      return undefined;
    }
    return this.#rest === undefined ? this.start : this.#stream(this.#rest);
  }

  /** Releases the buffered bytes after the last attempt. */
  close(): void {
    this.#release?.();
    this.#release = undefined;
  }

  async *#stream(rest: AsyncIterator<Uint8Array>) {
    yield this.start;
    for (
      let next = await rest.next();
      next.done !== true;
      next = await rest.next()
    ) {
      yield next.value;
    }
  }
}

/** Buffers the beginning of request bodies, up to a total number of bytes. */
export class BodyLoader {
  readonly #clock: Clock;
  readonly #maxTotalBytes: number;
  #bufferedBytes = 0;

  constructor(options: BodyLoaderOptions) {
    this.#clock = options.clock;
    this.#maxTotalBytes = options.maxTotalBytes ?? DEFAULT_MAX_TOTAL_BYTES;
  }

  /** Number of bytes buffered for all bodies. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Reads a body up to {@link MAX_BUFFERED_BODY_BYTES}. This happens before a
   * permit is acquired, so that a slow caller with a small body occupies none.
   *
   * @param source - The body and the deadline for reading it.
   * @returns The body, `expired` at the deadline, or `cancelled` when reading
   * fails because the caller disconnects.
   */
  async load(source: BodySource): Promise<Result<RequestBody, Failure>> {
    if (source.body === undefined) {
      return Result.ok(
        new RequestBody(new Uint8Array(0), undefined, () => undefined),
      );
    }
    const stop = new AbortController();
    const leftMs = source.deadlineAtMs - this.#clock.monotonicMs();
    const expired = this.#clock.sleep(Math.max(0, leftMs), stop.signal).then(
      () => undefined,
    );
    try {
      return await this.#read(source.body[Symbol.asyncIterator](), expired);
    } catch (error) {
      return Result.err(
        createFailure(
          "cancelled",
          `failed to read the request body: ${String(error)}`,
        ),
      );
    } finally {
      stop.abort(WAIT_OVER);
    }
  }

  async #read(
    source: AsyncIterator<Uint8Array>,
    expired: Promise<undefined>,
  ): Promise<Result<RequestBody, Failure>> {
    const buffer = new GrowingBuffer();
    const release = () => {
      this.#bufferedBytes -= buffer.sizeBytes;
    };
    try {
      for (;;) {
        const next = await Promise.race([source.next(), expired]);
        if (next === undefined) {
          release();
          return Result.err(
            createFailure(
              "expired",
              "the request body did not arrive before the deadline",
            ),
          );
        }
        if (next.done === true) {
          return Result.ok(
            new RequestBody(buffer.view(), undefined, release),
          );
        }
        buffer.append(next.value);
        this.#bufferedBytes += next.value.length;
        const isFull = buffer.sizeBytes > MAX_BUFFERED_BODY_BYTES ||
          this.#bufferedBytes > this.#maxTotalBytes;
        if (isFull) {
          return Result.ok(
            new RequestBody(buffer.view(), source, release),
          );
        }
      }
    } catch (error) {
      release();
      throw error;
    }
  }
}
