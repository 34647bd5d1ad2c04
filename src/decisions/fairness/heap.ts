/** A binary heap, which finds the next claimant in logarithmic time. */

/** A priority queue whose order is given by a comparison. */
export class Heap<T> {
  readonly #items: T[] = [];
  readonly #isBefore: (left: T, right: T) => boolean;

  /** @param isBefore - Tells whether the left item comes out first. */
  constructor(isBefore: (left: T, right: T) => boolean) {
    this.#isBefore = isBefore;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /**
   * Adds an item.
   *
   * @param item - The item.
   */
  push(item: T): void {
    const items = this.#items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = items[parentIndex] as T;
      if (!this.#isBefore(item, parent)) {
        break;
      }
      items[index] = parent;
      index = parentIndex;
    }
    items[index] = item;
  }

  /**
   * Removes the first item.
   *
   * @returns The item, or undefined when the heap is empty.
   */
  pop(): T | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (last !== undefined && items.length > 0) {
      this.#sink(last);
    }
    return first;
  }

  #sink(item: T): void {
    const items = this.#items;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= items.length) {
        break;
      }
      const isRightFirst = childIndex + 1 < items.length &&
        this.#isBefore(items[childIndex + 1] as T, items[childIndex] as T);
      childIndex += isRightFirst ? 1 : 0;
      const child = items[childIndex] as T;
      if (!this.#isBefore(child, item)) {
        break;
      }
      items[index] = child;
      index = childIndex;
    }
    items[index] = item;
  }
}
