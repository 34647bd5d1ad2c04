/** Streams the body of an answer and reports its end exactly once. */

/**
 * How the body of an answer ended: `whole` when every byte arrived, `cut` when
 * the backend server or the caller broke it off.
 */
export type BodyEnd = "whole" | "cut";

/** Options of {@link AnswerBody}. */
export interface AnswerBodyOptions {
  /** Chunks from the backend server; throws when the answer is cut short. */
  readonly source: AsyncIterable<Uint8Array>;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether to read the answer to its end even after the caller disconnects. */
  readonly readToEnd: boolean;
  /** Called exactly once, when the body has ended. */
  readonly onEnd: (end: BodyEnd) => void;
}

/**
 * Passes on the chunks of an answer. The end is also reported when nobody reads
 * the body because the caller disconnects first.
 */
export class AnswerBody implements AsyncIterable<Uint8Array> {
  readonly #options: AnswerBodyOptions;
  readonly #source: AsyncIterator<Uint8Array>;
  #isRead = false;
  #hasEnded = false;

  constructor(options: AnswerBodyOptions) {
    this.#options = options;
    this.#source = options.source[Symbol.asyncIterator]();
    options.signal.addEventListener("abort", this.#onCallerGone, {
      once: true,
    });
    if (options.signal.aborted) {
      this.#onCallerGone();
    }
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    return this.#read();
  }

  async *#read(): AsyncGenerator<Uint8Array, void, undefined> {
    this.#isRead = true;
    try {
      for (
        let next = await this.#source.next();
        next.done !== true;
        next = await this.#source.next()
      ) {
        yield next.value;
      }
      this.#end("whole");
    } catch (error) {
      this.#end("cut");
      throw error;
    } finally {
      await this.#finish();
    }
  }

  readonly #onCallerGone = () => {
    if (!this.#isRead) {
      void this.#finish();
    }
  };

  // When the body has not ended yet, no reader wants the remaining chunks.
  async #finish(): Promise<void> {
    if (this.#hasEnded) {
      return;
    }
    if (!this.#options.readToEnd) {
      this.#end("cut");
      await this.#source.return?.().catch(() => undefined);
      return;
    }
    try {
      while ((await this.#source.next()).done !== true);
      this.#end("whole");
    } catch {
      this.#end("cut");
    }
  }

  #end(end: BodyEnd): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#options.signal.removeEventListener("abort", this.#onCallerGone);
      this.#options.onEnd(end);
    }
  }
}
