/** Tracks submits that may be accepted although no one knows it yet. */

interface PendingSubmit {
  /** Number of proposals without an outcome. */
  openCount: number;
  /** Number of proposals that had begun when one ended unknown. */
  uncertainAt: number | undefined;
}

/** One proposal of a job. */
export interface SubmitProposal {
  /** Ends it: the job is in the log, certainly is not, or may be. */
  end(outcome: "applied" | "absent" | "unknown"): void;
}

/**
 * Jobs in proposals of this process whose outcome is open or unknown. An unknown
 * outcome is settled by a proposal that began later and was applied: by then the
 * job is stored, or never will be.
 */
export class PendingSubmits {
  readonly #byJob = new Map<string, PendingSubmit>();
  readonly #uncertainIds = new Set<string>();
  #begunCount = 0;

  /** Returns whether a job may be accepted by a proposal. */
  has(jobId: string): boolean {
    return this.#byJob.has(jobId);
  }

  /**
   * Begins a proposal of a job.
   *
   * @param jobId - Id of the job.
   */
  begin(jobId: string): SubmitProposal {
    this.#begunCount += 1;
    const number = this.#begunCount;
    const submit = this.#byJob.get(jobId) ??
      { openCount: 0, uncertainAt: undefined };
    this.#byJob.set(jobId, submit);
    submit.openCount += 1;
    return {
      end: (outcome) => {
        submit.openCount -= 1;
        if (outcome === "unknown") {
          submit.uncertainAt = this.#begunCount;
          this.#uncertainIds.add(jobId);
        } else if (outcome === "applied") {
          this.#settleBefore(number);
        }
        this.#dropIfSettled(jobId, submit);
      },
    };
  }

  #settleBefore(number: number): void {
    for (const jobId of this.#uncertainIds) {
      const submit = this.#byJob.get(jobId);
      if (submit?.uncertainAt !== undefined && submit.uncertainAt < number) {
        submit.uncertainAt = undefined;
        this.#uncertainIds.delete(jobId);
        this.#dropIfSettled(jobId, submit);
      }
    }
  }

  #dropIfSettled(jobId: string, submit: PendingSubmit): void {
    if (submit.openCount === 0 && submit.uncertainAt === undefined) {
      this.#byJob.delete(jobId);
    }
  }
}
