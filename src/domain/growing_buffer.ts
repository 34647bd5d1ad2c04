/** Bytes that arrive in chunks and are kept in one piece of memory. */

const MIN_CAPACITY_BYTES = 1_024;

/**
 * Joins chunks as they arrive. A chunk costs no more than the bytes it carries,
 * however small it is.
 */
export class GrowingBuffer {
  #bytes = new Uint8Array(0);
  #sizeBytes = 0;

  /** Number of bytes that were appended. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Computes how much memory is allocated once a chunk is appended.
   *
   * @param addedBytes - Size of the chunk, in bytes.
   * @returns Capacity, in bytes.
   */
  computeCapacity(addedBytes: number): number {
    const neededBytes = this.#sizeBytes + addedBytes;
    if (neededBytes <= this.#bytes.length) {
      return this.#bytes.length;
    }
    return this.#sizeBytes === 0
      ? addedBytes
      : Math.max(neededBytes, 2 * this.#bytes.length, MIN_CAPACITY_BYTES);
  }

  /**
   * Appends a chunk.
   *
   * @param chunk - The bytes. Nobody may change them afterwards: the first chunk
   * isn't copied until a second one comes.
   */
  append(chunk: Uint8Array): void {
    const at = this.#sizeBytes;
    const capacityBytes = this.computeCapacity(chunk.length);
    this.#sizeBytes += chunk.length;
    if (at === 0) {
      this.#bytes = chunk as Uint8Array<ArrayBuffer>;
      return;
    }
    if (capacityBytes > this.#bytes.length) {
      const larger = new Uint8Array(capacityBytes);
      larger.set(this.#bytes.subarray(0, at));
      this.#bytes = larger;
    }
    this.#bytes.set(chunk, at);
  }

  /** Returns the bytes that were appended, without a copy. */
  view(): Uint8Array {
    return this.#bytes.subarray(0, this.#sizeBytes);
  }

  /** Returns the bytes that were appended, and forgets them. */
  take(): Uint8Array {
    const taken = this.view();
    this.#bytes = new Uint8Array(0);
    this.#sizeBytes = 0;
    return taken;
  }
}
