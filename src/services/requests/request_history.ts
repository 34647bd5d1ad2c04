/** The latest requests of this entry, so that each can be explained. */

const MAX_KEPT_REQUESTS = 20_000;

/** What became of a request. */
export interface RequestNote {
  readonly requestId: string;
  readonly decisionId: string;
  readonly summary: string;
}

/** Keeps notes of the latest requests in memory. */
export class RequestHistory {
  readonly #notes = new Map<string, RequestNote>();

  /**
   * Adds a note; the oldest is dropped when there are too many.
   *
   * @param note - What became of a request.
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
   * @returns The note, or undefined when it is not kept here.
   */
  find(requestId: string): RequestNote | undefined {
    return this.#notes.get(requestId);
  }
}
