/** Ended jobs in the order in which they are no longer kept. */
import type { JobRecord } from "./job_record.ts";

interface EndedJob {
  readonly job: JobRecord;
  /** Wall-clock time at which the job ended, in milliseconds. */
  readonly endedAtMs: number;
}

/** Number of removed jobs after which the list of jobs is shortened. */
const MAX_REMOVED_COUNT = 1_000;

/** Queue of ended jobs, so that old ones are found without reading the others. */
export class EndedJobs {
  /** Oldest first; those before `#firstIndex` have been taken. */
  #jobs: EndedJob[] = [];
  #firstIndex = 0;

  /**
   * Adds a job.
   *
   * @param job - The job.
   * @param endedAtMs - Wall-clock time at which it ended (ms).
   */
  add(job: JobRecord, endedAtMs: number): void {
    let index = this.#jobs.length;
    // The wall clock of a later leader may be behind.
    while (
      index > this.#firstIndex &&
      (this.#jobs[index - 1]?.endedAtMs ?? 0) > endedAtMs
    ) {
      index -= 1;
    }
    this.#jobs.splice(index, 0, { job, endedAtMs });
  }

  /**
   * Removes the jobs that ended before a time.
   *
   * @param beforeMs - Wall-clock time, in milliseconds.
   * @returns The removed jobs, oldest first.
   */
  takeEndedBefore(beforeMs: number): JobRecord[] {
    const taken: JobRecord[] = [];
    for (;;) {
      const first = this.#jobs[this.#firstIndex];
      if (first === undefined || first.endedAtMs >= beforeMs) {
        break;
      }
      taken.push(first.job);
      this.#firstIndex += 1;
    }
    if (this.#firstIndex > MAX_REMOVED_COUNT) {
      this.#jobs = this.#jobs.slice(this.#firstIndex);
      this.#firstIndex = 0;
    }
    return taken;
  }
}
