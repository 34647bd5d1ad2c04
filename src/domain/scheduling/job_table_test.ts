import * as assert from "uvu/assert";
import * as v from "valibot";
import { describe, it } from "../../testing/describe.ts";
import { jobStepSchema } from "./job.ts";
import { JOB_KEEP_MS, JobTable } from "./job_table.ts";

const KEPT_JOB_COUNT = 2_000;
const PRUNE_COUNT = 50;
const RUNNER = { runnerId: "r1", bornAtMs: 1 };

function formatJobId(index: number): string {
  return index.toString(16).padStart(16, "0");
}

function acceptJob(
  jobs: JobTable,
  jobId: string,
  atMs: number,
  waitedMs?: number,
): void {
  jobs.accept({
    type: "accept",
    spec: {
      jobId,
      text: "",
      steps: [v.parse(jobStepSchema, {
        taskCount: 1,
        needs: { cpuMillicores: 1_000 },
      })],
    },
    queue: "q",
    pool: "bay",
    maxAttempts: 2,
    waitedMs,
  }, atMs);
}

/** Counts how often the end of a job is read. */
function countReads(jobs: JobTable): () => number {
  let count = 0;
  for (const job of jobs.list()) {
    const { endedAtMs } = job;
    Object.defineProperty(job, "endedAtMs", {
      get: () => {
        count += 1;
        return endedAtMs;
      },
    });
  }
  return () => count;
}

describe("JobTable", () => {
  describe("the time from which a job is due", () => {
    const jobId = formatJobId(1);

    it("is that of its request, also after a snapshot", () => {
      const jobs = new JobTable();
      acceptJob(jobs, jobId, 5_000, 1_200);
      const stored = jobs.find(jobId)?.toStored();
      assert.ok(stored);
      const restored = new JobTable();
      restored.restore(stored);
      assert.is(jobs.find(jobId)?.findDueMs(0), 3_800);
      assert.is(restored.find(jobId)?.findDueMs(0), 3_800);
    });

    it("is its acceptance in entries and snapshots of earlier releases", () => {
      const jobs = new JobTable();
      acceptJob(jobs, jobId, 5_000);
      const stored = jobs.find(jobId)?.toStored();
      assert.ok(stored);
      const { requestedAtMs: _unknown, ...earlier } = stored;
      const restored = new JobTable();
      restored.restore(earlier);
      assert.is(jobs.find(jobId)?.findDueMs(0), 5_000);
      assert.is(restored.find(jobId)?.findDueMs(0), 5_000);
    });
  });

  describe("prune", () => {
    it("removes a job once it ended longer ago than it is kept", () => {
      const jobs = new JobTable();
      acceptJob(jobs, formatJobId(1), 0);
      jobs.cancel(formatJobId(1), 1_000);
      jobs.prune(1_000 + JOB_KEEP_MS);
      assert.ok(jobs.find(formatJobId(1)));
      jobs.prune(1_001 + JOB_KEEP_MS);
      assert.is(jobs.find(formatJobId(1)), undefined);
    });

    it("keeps an old job while one of its runs has not ended", () => {
      const jobs = new JobTable();
      const task = { jobId: formatJobId(1), occurrence: 0, step: 0, index: 0 };
      acceptJob(jobs, task.jobId, 0);
      jobs.start({ type: "start", task, runNumber: 1, ...RUNNER }, 0);
      jobs.cancel(task.jobId, 1_000);
      jobs.prune(1_001 + JOB_KEEP_MS);
      assert.ok(jobs.find(task.jobId));
      jobs.endIncarnation(RUNNER, 1_002 + JOB_KEEP_MS);
      jobs.prune(1_002 + JOB_KEEP_MS);
      assert.is(jobs.find(task.jobId), undefined);
    });

    it("removes jobs by their end when the wall clock went back", () => {
      const jobs = new JobTable();
      for (const [index, endedAtMs] of [9_000, 2_000, 5_000].entries()) {
        acceptJob(jobs, formatJobId(index), 0);
        jobs.cancel(formatJobId(index), endedAtMs);
      }
      jobs.prune(5_001 + JOB_KEEP_MS);
      assert.equal(jobs.list().map(({ spec }) => spec.jobId), [formatJobId(0)]);
    });

    it("removes old jobs that were restored from a snapshot", () => {
      const jobs = new JobTable();
      acceptJob(jobs, formatJobId(1), 0);
      jobs.cancel(formatJobId(1), 1_000);
      const restored = new JobTable();
      jobs.list().forEach((job) => restored.restore(job.toStored()));
      restored.prune(1_001 + JOB_KEEP_MS);
      assert.equal(restored.list(), []);
    });

    // Guards against a commit whose cost grows with the number of kept jobs.
    // Guards against voters whose states differ: a job was too old under one
    // leader and not under the next, whose wall clock was behind, and only the
    // voter that had begun from a snapshot kept it.
    it("removes the same jobs before and after a snapshot", () => {
      const jobs = new JobTable();
      const jobId = formatJobId(1);
      const task = { jobId, occurrence: 0, step: 0, index: 0 };
      acceptJob(jobs, jobId, 0);
      jobs.start({ type: "start", task, runNumber: 1, ...RUNNER }, 1);
      jobs.cancel(jobId, 1_000);
      jobs.prune(1_001 + JOB_KEEP_MS);
      const restored = new JobTable();
      jobs.list().forEach((job) => restored.restore(job.toStored()));
      for (const table of [jobs, restored]) {
        table.endIncarnation(RUNNER, 1_000 + JOB_KEEP_MS);
        table.prune(1_000 + JOB_KEEP_MS);
        assert.ok(table.find(jobId));
        table.prune(1_001 + JOB_KEEP_MS);
        assert.is(table.find(jobId), undefined);
      }
    });

    it("reads no job that is still kept", () => {
      const jobs = new JobTable();
      for (let index = 0; index < KEPT_JOB_COUNT; index += 1) {
        acceptJob(jobs, formatJobId(index), 0);
        jobs.cancel(formatJobId(index), index);
      }
      const countEndReads = countReads(jobs);
      for (let index = 0; index < PRUNE_COUNT; index += 1) {
        jobs.prune(KEPT_JOB_COUNT);
      }
      assert.is(countEndReads(), 0);
      assert.is(jobs.list().length, KEPT_JOB_COUNT);
    });
  });
});
