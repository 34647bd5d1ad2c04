/** A binary heap, so that the next claimant is found in logarithmic time. */

/** Keeps items in the order of a comparison. */
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
    let at = items.length;
    items.push(item);
    while (at > 0) {
      const parentAt = (at - 1) >> 1;
      const parent = items[parentAt] as T;
      if (!this.#isBefore(item, parent)) {
        break;
      }
      items[at] = parent;
      at = parentAt;
    }
    items[at] = item;
  }

  /**
   * Takes the first item out.
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
    let at = 0;
    for (;;) {
      let childAt = 2 * at + 1;
      if (childAt >= items.length) {
        break;
      }
      const isRightFirst = childAt + 1 < items.length &&
        this.#isBefore(items[childAt + 1] as T, items[childAt] as T);
      childAt += isRightFirst ? 1 : 0;
      const child = items[childAt] as T;
      if (!this.#isBefore(child, item)) {
        break;
      }
      items[at] = child;
      at = childAt;
    }
    items[at] = item;
  }
}
