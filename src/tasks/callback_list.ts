/** Functions that wait to be called, in the order in which they were added. */

interface Link {
  callback: (() => void) | undefined;
  previous: Link | undefined;
  next: Link | undefined;
}

/**
 * List of functions that each are called once or removed before. A link that has
 * left the list refers to nothing: the links of a `Set` or of an `EventTarget`
 * refer to later ones, which then live until the next full garbage collection.
 */
export class CallbackList {
  #first: Link | undefined;
  #last: Link | undefined;

  /**
   * Adds a function.
   *
   * @param callback - Called at most once.
   * @returns A function that removes it; it has no effect after the call.
   */
  add(callback: () => void): () => void {
    const previous = this.#last;
    const link: Link = { callback, previous, next: undefined };
    if (previous === undefined) {
      this.#first = link;
    } else {
      previous.next = link;
    }
    this.#last = link;
    return () => this.#remove(link);
  }

  /** Removes and calls the functions that the list holds now. */
  callAll(): void {
    const callbacks: (() => void)[] = [];
    while (this.#first !== undefined) {
      if (this.#first.callback !== undefined) {
        callbacks.push(this.#first.callback);
      }
      this.#remove(this.#first);
    }
    for (const callback of callbacks) {
      callback();
    }
  }

  #remove(link: Link): void {
    if (link.callback === undefined) {
      return;
    }
    const { previous, next } = link;
    if (previous === undefined) {
      this.#first = next;
    } else {
      previous.next = next;
    }
    if (next === undefined) {
      this.#last = previous;
    } else {
      next.previous = previous;
    }
    link.callback = undefined;
    link.previous = undefined;
    link.next = undefined;
  }
}
