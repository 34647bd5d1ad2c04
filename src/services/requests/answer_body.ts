/** The body of an answer, which ends exactly once, whole or cut. */

/** How the body of an answer ended. */
export type BodyEnd = "whole" | "cut";

/** Options of {@link AnswerBody}. */
export interface AnswerBodyOptions {
  /** Throws when the answer is cut short. */
  readonly source: AsyncIterable<Uint8Array>;
  /** Aborts when the caller has gone away. */
  readonly signal: AbortSignal;
  /** Whether the answer is read to its end when the caller has gone away. */
  readonly readToEnd: boolean;
  /** Called once. */
  readonly onEnd: (end: BodyEnd) => void;
}

/**
 * Passes the chunks of an answer on. Whoever holds it need not read it: when
 * the caller goes away first, the end is reported all the same.
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

  // Reached with the answer unfinished only when nobody wants the rest.
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
