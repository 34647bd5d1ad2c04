/** Counts the events of the latest time window in constant memory. */

const BUCKET_COUNT = 10;

/** Counts events in a window that slides in steps of a tenth of its length. */
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
   * @param nowMs - Monotonic time of the event, in milliseconds.
   */
  add(nowMs: number): void {
    this.#slide(nowMs);
    const index = this.#latestBucket % BUCKET_COUNT;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#total += 1;
  }

  /**
   * Returns the number of events in the window that ends now.
   *
   * @param nowMs - Monotonic time now, in milliseconds.
   */
  count(nowMs: number): number {
    this.#slide(nowMs);
    return this.#total;
  }

  #slide(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const passed = Math.min(bucket - this.#latestBucket, BUCKET_COUNT);
    for (let step = 1; step <= passed; step += 1) {
      const index = (bucket - passed + step) % BUCKET_COUNT;
      this.#total -= this.#counts[index] ?? 0;
      this.#counts[index] = 0;
    }
    this.#latestBucket = Math.max(this.#latestBucket, bucket);
  }
}
