import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  jobStepSchema,
  type RunEnd,
  type Runner,
  type SchedulingOperation,
  SchedulingState,
} from "../../domain/index.ts";
import type { JobPunctuality, SchedulingMetrics } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { RecordingOperationMeter } from "./operation_meter.ts";

const JOB_ID = "0123456789abcdef";
/** Time from its request in which the job should end (ms). */
const ALLOWED_MS = 500;
const INCARNATION = { runnerId: "r1", bornAtMs: 1 };
const RUNNER: Runner = {
  ...INCARNATION,
  address: "127.0.0.1:1",
  pool: "bay",
  zone: "zone-a",
  capacity: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
  rack: "r1",
  labels: [],
  isDraining: false,
};

function setUp({ waitedMs }: { readonly waitedMs?: number } = {}) {
  const seen: string[] = [];
  const punctualities: JobPunctuality[] = [];
  const metrics: SchedulingMetrics = {
    recordCall: () => undefined,
    recordWait: ({ team, queue }, waitMs) =>
      seen.push(`wait ${team}/${queue} ${waitMs}`),
    recordRun: (_labels, how, runMs) => seen.push(`run ${how} ${runMs}`),
    recordJob: (_labels, outcome, totalMs) =>
      seen.push(`job ${outcome} ${totalMs}`),
    countPunctuality: (_labels, punctuality) => punctualities.push(punctuality),
  };
  const logger = new FakeLogger();
  const meter = new RecordingOperationMeter({ metrics, logger });
  const state = new SchedulingState();
  const apply = (atMs: number, ...operations: SchedulingOperation[]) => {
    const record = meter.begin(operations, state, atMs);
    state.apply({ type: "scheduling", atMs, operations });
    record();
  };
  apply(900, { type: "runner", runner: RUNNER });
  apply(1_000, {
    type: "accept",
    spec: {
      jobId: JOB_ID,
      text: "",
      steps: [v.parse(jobStepSchema, {
        taskCount: 2,
        needs: { cpuMillicores: 100 },
        estimateMs: ALLOWED_MS,
      })],
    },
    queue: "q",
    pool: "bay",
    team: "team",
    maxAttempts: 2,
    waitedMs,
  });
  return { apply, logger, meter, punctualities, seen, state };
}

function start(index: number, runNumber = 1): SchedulingOperation {
  const task = { jobId: JOB_ID, occurrence: 0, step: 0, index };
  return { type: "start", task, runNumber, ...INCARNATION };
}

function end(index: number, how: RunEnd, runNumber = 1): SchedulingOperation {
  const task = { jobId: JOB_ID, occurrence: 0, step: 0, index };
  return { type: "end", task, runNumber, how, saved: "", maxAttempts: 2 };
}

describe("operation meter", () => {
  it("records one wait, each run and the end of a job", () => {
    const { seen, apply } = setUp();
    apply(1_200, start(0), start(1));
    apply(1_500, end(0, "done"));
    apply(1_700, end(1, "failed"), start(1, 2));
    apply(2_000, end(1, "done", 2));
    assert.equal(seen, [
      "wait team/q 200",
      "run done 300",
      "run failed 500",
      "run done 300",
      "job completed 1000",
    ]);
  });

  it("records an end once when the runner reports it again", () => {
    const { seen, apply } = setUp();
    apply(1_200, start(0), start(1));
    apply(1_500, end(0, "done"));
    apply(1_600, end(0, "done"));
    assert.equal(seen.slice(1), ["run done 300"]);
  });

  it("records the runs of a removed runner as lost", () => {
    const { seen, apply } = setUp();
    apply(1_200, start(0), start(1));
    apply(1_900, { type: "runnerGone", ...INCARNATION });
    assert.equal(seen.slice(1), ["run lost 700", "run lost 700"]);
  });

  it("records a cancelled job", () => {
    const { seen, apply } = setUp();
    apply(1_400, { type: "cancel", jobId: JOB_ID });
    assert.equal(seen, ["job cancelled 400"]);
  });

  it("records nothing for a batch that was not accepted", () => {
    const { meter, state, seen } = setUp();
    meter.begin([start(0)], state, 1_200);
    assert.equal(seen, []);
  });

  it("records the end of a job once when batches overlap", () => {
    const { meter, state, seen, apply } = setUp();
    apply(1_200, start(0), start(1));
    seen.length = 0;
    const first = meter.begin([end(0, "done")], state, 1_500);
    const second = meter.begin([end(1, "done")], state, 1_500);
    const operations = [end(0, "done"), end(1, "done")];
    state.apply({ type: "scheduling", atMs: 1_500, operations });
    first();
    second();
    assert.equal(seen, ["run done 300", "job completed 500", "run done 300"]);
  });

  describe("counts a completed job", () => {
    function complete(totalMs: number, waitedMs?: number) {
      const site = setUp(waitedMs === undefined ? {} : { waitedMs });
      site.apply(1_100, start(0), start(1));
      site.apply(1_000 + totalMs, end(0, "done"), end(1, "done"));
      return site;
    }

    it("as in time up to its target", () => {
      assert.equal(complete(ALLOWED_MS).punctualities, ["inTime"]);
      assert.equal(complete(ALLOWED_MS - 200, 200).punctualities, ["inTime"]);
    });

    it("as late by its wait if only that made it late", () => {
      assert.equal(complete(ALLOWED_MS, 1).punctualities, ["lateByWait"]);
    });

    it("as late if it is, counted from its acceptance", () => {
      assert.equal(complete(ALLOWED_MS + 1).punctualities, ["late"]);
    });

    it("with a line that tells where its time went", () => {
      const { logger } = complete(ALLOWED_MS, 300);
      assert.equal(logger.lines.map(({ fields }) => fields), [{
        jobId: JOB_ID,
        team: "team",
        queue: "q",
        punctuality: "lateByWait",
        waitedMs: 300,
        totalMs: ALLOWED_MS,
        allowedMs: ALLOWED_MS,
        startWaitMs: 100,
      }]);
    });
  });

  it("counts no cancelled job as in time or late", () => {
    const { apply, punctualities } = setUp();
    apply(1_400, { type: "cancel", jobId: JOB_ID });
    assert.equal(punctualities, []);
  });
});
