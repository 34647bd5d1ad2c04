/** Reads the body of a request without an object for each of its chunks. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "../../domain/index.ts";
import type { BodyAccount } from "./connection_guard.ts";

/** Bytes that wait for the reader before the client has to wait. */
const MAX_PENDING_BYTES = 64 * 1_024;

/** There is no room for a body; nothing was done with it. */
export class NoRoomError extends Error {}

/**
 * Iterates over a body. What arrived since the last step comes in one piece,
 * since a client may send a chunk for each byte.
 */
export class BodyChunks implements AsyncIterableIterator<Uint8Array> {
  readonly #request: IncomingMessage;
  readonly #account: BodyAccount;
  readonly #keptBytes: number;
  readonly #pending = new GrowingBuffer();
  #receivedBytes = 0;
  #hasStarted = false;
  #isEnded = false;
  #isClosed = false;
  #isRefused = false;
  #wake: () => void = () => undefined;

  /**
   * @param request - The request; nothing else may read its body.
   * @param account - Where the bytes count that this object or its reader keeps.
   * @param keptBytes - How many of the first bytes the reader keeps.
   */
  constructor(
    request: IncomingMessage,
    account: BodyAccount,
    keptBytes: number,
  ) {
    this.#request = request;
    this.#account = account;
    this.#keptBytes = keptBytes;
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /**
   * Waits for the next bytes.
   *
   * @throws Error when the connection closes before the end of the body, or when
   * there is no room for it.
   */
  async next(): Promise<IteratorResult<Uint8Array>> {
    this.#start();
    while (this.#pending.sizeBytes === 0) {
      // Checked first: the rest of the body was discarded.
      if (this.#isRefused) {
        throw new NoRoomError("unanswered requests take too much memory");
      }
      if (this.#isEnded) {
        return { done: true, value: undefined };
      }
      if (this.#isClosed) {
        throw new Error("the connection was closed before the end of the body");
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
    const value = this.#pending.take();
    this.#account.setAhead(false);
    return { done: false, value };
  }

  /** Discards the rest of the body. */
  return(): Promise<IteratorResult<Uint8Array>> {
    this.#request.off("data", this.#take);
    this.#request.resume();
    this.#account.setAhead(false);
    return Promise.resolve({ done: true, value: undefined });
  }

  #start(): void {
    if (this.#hasStarted) {
      return;
    }
    this.#hasStarted = true;
    this.#isEnded = this.#request.readableEnded;
    this.#isClosed = this.#request.destroyed;
    this.#request.on("data", this.#take)
      .once("end", () => {
        this.#isEnded = true;
        this.#wake();
      })
      .once("close", () => {
        this.#isClosed = true;
        this.#wake();
      });
  }

  readonly #take = (chunk: Buffer): void => {
    this.#receivedBytes += chunk.length;
    if (this.#account.isClosed || !this.#hold(chunk.length)) {
      this.#isRefused = true;
      void this.return();
      this.#wake();
      return;
    }
    const wasEmpty = this.#pending.sizeBytes === 0;
    this.#pending.append(chunk);
    if (wasEmpty) {
      this.#wake();
    }
    if (this.#pending.sizeBytes >= MAX_PENDING_BYTES) {
      this.#account.setAhead(true);
    }
  };

  #hold(addedBytes: number): boolean {
    return this.#account.resize(
      Math.min(this.#receivedBytes, this.#keptBytes) +
        this.#pending.computeCapacity(addedBytes),
    );
  }
}
