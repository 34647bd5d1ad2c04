/** Bodies of requests: small ones are kept to be sent again, others stream. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { AttemptBody, Clock } from "../../ports/index.ts";

/** Largest body that is kept, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1_024;
// With a reason, an abort builds no error with a stack for each request.
const WAIT_OVER = "the wait is over";
const DEFAULT_MAX_TOTAL_BYTES = 16 * 1_024 * 1_024;

/** Options of {@link BodyLoader}. */
export interface BodyLoaderOptions {
  readonly clock: Clock;
  /** Bytes that all kept bodies of this entry may take together. */
  readonly maxTotalBytes?: number;
}

/** Where a body comes from and until when. */
export interface BodySource {
  readonly body: AsyncIterable<Uint8Array> | undefined;
  /** Monotonic time after which reading ends, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** The body of one request. */
export class RequestBody {
  /** The first bytes; all of them when {@link RequestBody.isBuffered}. */
  readonly start: Uint8Array;
  readonly #rest: AsyncIterator<Uint8Array> | undefined;
  readonly #isEmpty: boolean;
  #release: (() => void) | undefined;
  #isTaken = false;

  /**
   * @param start - The first bytes.
   * @param rest - What follows; undefined when there is nothing more.
   * @param release - Called when the bytes are no longer kept.
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

  /** Whether all of the body is kept. */
  get isBuffered(): boolean {
    return this.#rest === undefined;
  }

  /** Whether an attempt may still be given the body. */
  get canSend(): boolean {
    return this.isBuffered || !this.#isTaken;
  }

  /**
   * Gives the body to an attempt; a body that is not whole is given once.
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

  /** Gives up the kept bytes; no further attempt follows. */
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

/** Reads the beginning of bodies, within a bound on the bytes kept. */
export class BodyLoader {
  readonly #clock: Clock;
  readonly #maxTotalBytes: number;
  #bufferedBytes = 0;

  constructor(options: BodyLoaderOptions) {
    this.#clock = options.clock;
    this.#maxTotalBytes = options.maxTotalBytes ?? DEFAULT_MAX_TOTAL_BYTES;
  }

  /** Bytes of all bodies that are kept now. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Reads a body up to {@link MAX_BUFFERED_BODY_BYTES}, so that no permit is held
   * while a slow caller still sends a small body.
   *
   * @param source - The body, and how long it may take.
   * @returns The body, `expired`, or `cancelled` when the caller went away.
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
        createFailure("cancelled", `the body was cut short: ${String(error)}`),
      );
    } finally {
      stop.abort(WAIT_OVER);
    }
  }

  async #read(
    source: AsyncIterator<Uint8Array>,
    expired: Promise<undefined>,
  ): Promise<Result<RequestBody, Failure>> {
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    const release = () => {
      this.#bufferedBytes -= sizeBytes;
    };
    try {
      for (;;) {
        const next = await Promise.race([source.next(), expired]);
        if (next === undefined) {
          release();
          return Result.err(
            createFailure("expired", "the body did not come by the deadline"),
          );
        }
        if (next.done === true) {
          return Result.ok(
            new RequestBody(joinChunks(chunks, sizeBytes), undefined, release),
          );
        }
        chunks.push(next.value);
        sizeBytes += next.value.length;
        this.#bufferedBytes += next.value.length;
        const isFull = sizeBytes > MAX_BUFFERED_BODY_BYTES ||
          this.#bufferedBytes > this.#maxTotalBytes;
        if (isFull) {
          return Result.ok(
            new RequestBody(joinChunks(chunks, sizeBytes), source, release),
          );
        }
      }
    } catch (error) {
      release();
      throw error;
    }
  }
}

function joinChunks(
  chunks: readonly Uint8Array[],
  sizeBytes: number,
): Uint8Array {
  const first = chunks[0];
  if (chunks.length === 1 && first !== undefined) {
    return first;
  }
  const joined = new Uint8Array(sizeBytes);
  let at = 0;
  for (const chunk of chunks) {
    joined.set(chunk, at);
    at += chunk.length;
  }
  return joined;
}
