/** Tells work that fails everywhere from backend servers that fail everything. */

const MAX_KEPT_FINGERPRINTS = 1_000;

interface WorkHistory {
  readonly failedAt: Set<string>;
  succeededAt: string | undefined;
}

/** What a failure says about the backend server. */
export type FailureCause = "backendServer" | "unclear" | "work";

/** Remembers where equal work succeeded and failed. */
export class WorkEvidence {
  readonly #histories = new Map<string, WorkHistory>();

  /**
   * Notes a success.
   *
   * @param fingerprint - Queue, path and content.
   * @param backendServerId - Where it succeeded.
   */
  recordSuccess(fingerprint: string, backendServerId: string): void {
    const history = this.#touch(fingerprint);
    history.succeededAt = backendServerId;
    history.failedAt.clear();
  }

  /**
   * Notes a failure and judges it.
   *
   * @param fingerprint - Queue, path and content.
   * @param backendServerId - Where it failed.
   * @returns `backendServer` when equal work succeeds elsewhere, `work` when it
   * has failed elsewhere and never succeeded since, otherwise `unclear`.
   */
  recordFailure(fingerprint: string, backendServerId: string): FailureCause {
    const history = this.#touch(fingerprint);
    const failedElsewhere = [...history.failedAt]
      .some((other) => other !== backendServerId);
    history.failedAt.add(backendServerId);
    if (
      history.succeededAt !== undefined &&
      history.succeededAt !== backendServerId
    ) {
      return "backendServer";
    }
    return failedElsewhere ? "work" : "unclear";
  }

  #touch(fingerprint: string): WorkHistory {
    const known = this.#histories.get(fingerprint) ??
      { failedAt: new Set<string>(), succeededAt: undefined };
    this.#histories.delete(fingerprint);
    this.#histories.set(fingerprint, known);
    if (this.#histories.size > MAX_KEPT_FINGERPRINTS) {
      const oldest = this.#histories.keys().next();
      this.#histories.delete(oldest.value ?? "");
    }
    return known;
  }
}
