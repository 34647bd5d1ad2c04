import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  EMPTY_CATALOG,
  JobRecord,
  type JobStep,
  jobStepSchema,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { countApartVms } from "./apart_demand.ts";

const POOL = "bay";

function createJob(fields: Partial<JobStep>, jobId = "0"): JobRecord {
  const step = v.parse(jobStepSchema, {
    taskCount: 6,
    needs: { cpuMillicores: 500 },
    isEndless: true,
    maxPerRunner: 1,
    maxAwayCount: 2,
    ...fields,
  });
  return new JobRecord({
    spec: { jobId: jobId.padStart(16, "0"), text: "", steps: [step] },
    queue: "q",
    pool: POOL,
    team: undefined,
    maxAttempts: 1,
    acceptedAtMs: 0,
  });
}

function count(
  jobs: readonly JobRecord[],
  awaitingCount = 0,
  cordonedIds: readonly string[] = [],
): number | undefined {
  return countApartVms({
    jobs,
    catalog: EMPTY_CATALOG,
    awaitingByPool: new Map([[POOL, awaitingCount]]),
    canRun: ({ requiredLabel }) => requiredLabel === undefined,
    isCordoned: ({ runnerId }) => cordonedIds.includes(runnerId),
  }).get(POOL);
}

describe("VMs of tasks that stand apart", () => {
  it("are as many as the widest step needs", () => {
    assert.is(count([createJob({}), createJob({ taskCount: 4 }, "1")]), 6);
    assert.is(count([createJob({ maxPerRunner: 4 })]), 2);
  });

  it("are none of steps whose tasks share VMs, or end", () => {
    assert.is(count([createJob({ maxPerRunner: 0 })]), undefined);
    assert.is(count([createJob({ isEndless: false })]), undefined);
  });

  // Guards against a pool that keeps VMs, which others need, for tasks that no
  // VM can run.
  it("are none of steps that no VM can run", () => {
    assert.is(count([createJob({ requiredLabel: "none" })]), undefined);
  });

  // The pattern: a wave maintains the VMs on which the tasks run.
  describe("beside a wave", () => {
    it("are more by those that may move at once", () => {
      assert.is(count([createJob({})], 5), 8);
      assert.is(count([createJob({})], 1), 7);
    });

    it("leave out tasks on cordoned VMs, which leave by themselves", () => {
      const job = createJob({});
      const [first] = job.occurrences[0]?.[0]?.tasks ?? [];
      assert.ok(first);
      first.life = { runnerId: "r1", bornAtMs: 1 };
      assert.is(count([job], 0, ["r1"]), 5);
    });
  });
});
