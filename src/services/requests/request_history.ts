/** Keeps the latest requests of this entry so that they can be explained. */

const MAX_KEPT_REQUESTS = 20_000;

/** The outcome of a request and the decision behind it. */
export interface RequestNote {
  readonly requestId: string;
  readonly decisionId: string;
  readonly summary: string;
}

/** Keeps the outcomes of the latest requests in memory. */
export class RequestHistory {
  readonly #notes = new Map<string, RequestNote>();

  /**
   * Adds a note and drops the oldest one above the limit.
   *
   * @param note - The outcome of a request.
   */
  add(note: RequestNote): void {
    this.#notes.set(note.requestId, note);
    if (this.#notes.size > MAX_KEPT_REQUESTS) {
      const oldest = this.#notes.keys().next();
      if (!oldest.done) {
        this.#notes.delete(oldest.value);
      }
    }
  }

  /**
   * Finds the note of a request.
   *
   * @param requestId - Id of the request.
   * @returns The note, or undefined when this entry does not keep one.
   */
  find(requestId: string): RequestNote | undefined {
    return this.#notes.get(requestId);
  }
}
