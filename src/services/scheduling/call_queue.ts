/** Calls of a process, which wait for a leader in the order of their arrival. */
import type { Clock, Logger } from "../../ports/index.ts";
import { LEADER_SEARCH_MS } from "./timing.ts";

/** Options of {@link CallQueue}. */
export interface CallQueueOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

interface WaitingCall {
  /** Position among all calls of the process. */
  readonly position: number;
  readonly settle: (mayBeSent: boolean) => void;
}

/**
 * Holds calls while no leader is known, and releases them in the order of their
 * arrival. A leader becomes known only by the release of the calls that wait.
 */
export class CallQueue {
  readonly #options: CallQueueOptions;
  readonly #waiting = new Map<number, WaitingCall>();
  #arrivedCount = 0;
  #leaderId: string | undefined;
  /** Steady time of the leader's first answer since the last release (ms). */
  #answeredAtMs: number | undefined;

  constructor(options: CallQueueOptions) {
    this.#options = options;
  }

  /** Controller to which calls may be sent; undefined while they wait. */
  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Number of calls that have arrived, which is the next one's position. */
  get arrivedCount(): number {
    return this.#arrivedCount;
  }

  /**
   * Takes up a call that has arrived.
   *
   * @returns The position of the call, which it keeps when it waits again.
   */
  arrive(): number {
    const position = this.#arrivedCount;
    this.#arrivedCount += 1;
    return position;
  }

  /**
   * Waits until calls may be sent.
   *
   * @param position - Position of the call.
   * @returns True once it may be sent, false when it must fail.
   */
  wait(position: number): Promise<boolean> {
    return new Promise((resolve) => {
      const settle = (mayBeSent: boolean) => {
        this.#waiting.delete(position);
        resolve(mayBeSent);
      };
      this.#waiting.set(position, { position, settle });
    });
  }

  /** Notes that the leader has answered, which the release must follow. */
  noteAnswer(): void {
    this.#answeredAtMs ??= this.#options.clock.steadyMs();
  }

  /** Makes calls wait until the next release. */
  hold(): void {
    this.#leaderId = undefined;
  }

  /**
   * Lets calls be sent, those that wait first and the oldest of them before the
   * others.
   *
   * @param leaderId - Controller to which they may be sent.
   */
  release(leaderId: string): void {
    this.#checkWait();
    this.#answeredAtMs = undefined;
    this.#leaderId = leaderId;
    // A call that waits again is at the end of the map.
    [...this.#waiting.values()]
      .toSorted((left, right) => left.position - right.position)
      .forEach(({ settle }) => settle(true));
  }

  /** Makes one call fail, if it waits. */
  fail(position: number): void {
    this.#checkWait();
    this.#waiting.get(position)?.settle(false);
  }

  /**
   * Makes the calls fail that arrived before a position.
   *
   * @param position - Position of the first call that goes on waiting.
   */
  failBefore(position: number): void {
    this.#checkWait();
    for (const waiting of [...this.#waiting.values()]) {
      if (waiting.position < position) {
        waiting.settle(false);
      }
    }
  }

  // An answer of the leader releases the calls at once, unless a call that is
  // under way elsewhere does not end.
  #checkWait(): void {
    const { clock, logger } = this.#options;
    const knownMs = clock.steadyMs() - (this.#answeredAtMs ?? Infinity);
    const waitingCount = this.#waiting.size;
    if (knownMs > LEADER_SEARCH_MS && waitingCount > 0) {
      logger.warn(
        { knownMs: Math.round(knownMs), waitingCount },
        "calls wait although the leader is known",
      );
    }
  }
}
