/** Distinguishes work that fails everywhere from failing backend servers. */

const MAX_KEPT_FINGERPRINTS = 1_000;

interface WorkHistory {
  readonly failedAt: Set<string>;
  succeededAt: string | undefined;
}

/** What caused a failure: the backend server, the work itself, or unclear. */
export type FailureCause = "backendServer" | "unclear" | "work";

/** Records on which backend servers equal work succeeded and failed. */
export class WorkEvidence {
  readonly #histories = new Map<string, WorkHistory>();

  /**
   * Records a success.
   *
   * @param fingerprint - Fingerprint of the work.
   * @param backendServerId - The backend server on which it succeeded.
   */
  recordSuccess(fingerprint: string, backendServerId: string): void {
    const history = this.#touch(fingerprint);
    history.succeededAt = backendServerId;
    history.failedAt.clear();
  }

  /**
   * Records a failure and determines its cause.
   *
   * @param fingerprint - Fingerprint of the work.
   * @param backendServerId - The backend server on which it failed.
   * @returns `backendServer` when equal work last succeeded elsewhere, `work`
   * when it failed elsewhere and has not succeeded since, otherwise `unclear`.
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
