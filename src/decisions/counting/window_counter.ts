/** Counts events of the latest time window in constant memory. */

const BUCKET_COUNT = 10;

/** Counts events in a window that slides by a tenth of its length. */
export class WindowCounter {
  readonly #bucketMs: number;
  readonly #counts = new Array<number>(BUCKET_COUNT).fill(0);
  #latestBucket = 0;
  #total = 0;

  /** @param windowMs - Length of the window, in milliseconds. */
  constructor(windowMs: number) {
    this.#bucketMs = windowMs / BUCKET_COUNT;
  }

  /**
   * Counts one event.
   *
   * @param nowMs - Monotonic time of the event.
   */
  add(nowMs: number): void {
    this.#slide(nowMs);
    const at = this.#latestBucket % BUCKET_COUNT;
    this.#counts[at] = (this.#counts[at] ?? 0) + 1;
    this.#total += 1;
  }

  /**
   * Counts the events of the window.
   *
   * @param nowMs - Monotonic time now.
   * @returns How many events fell into the window that ends now.
   */
  count(nowMs: number): number {
    this.#slide(nowMs);
    return this.#total;
  }

  #slide(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const passed = Math.min(bucket - this.#latestBucket, BUCKET_COUNT);
    for (let step = 1; step <= passed; step += 1) {
      const at = (bucket - passed + step) % BUCKET_COUNT;
      this.#total -= this.#counts[at] ?? 0;
      this.#counts[at] = 0;
    }
    this.#latestBucket = Math.max(this.#latestBucket, bucket);
  }
}
