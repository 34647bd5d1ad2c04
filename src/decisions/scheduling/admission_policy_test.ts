import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  type JobQueue,
  type JobSpec,
  jobSpecSchema,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import {
  AcceptAllPolicy,
  type AdmissionInput,
  UsefulResultPolicy,
} from "./admission_policy.ts";
import type { FullPool } from "./room_order.ts";

const QUEUE: JobQueue = {
  name: "q",
  host: "h",
  pathPrefix: "/q/",
  pool: "bay",
  isPublic: false,
  priority: 0,
  maxAttempts: 2,
  timeoutMs: 3_000,
  stretch: 1.5,
  targetLatencyMs: 500,
};
/** Its target is 2 s, its result is of use for 6 s, and its slack is 1 s. */
const JOB = createJob({});
const CAPACITY_MILLICORES = 100_000;

function createJob(changes: Readonly<Record<string, unknown>>): JobSpec {
  return v.parse(jobSpecSchema, {
    jobId: "0123456789abcdef",
    text: "",
    steps: [{ taskCount: 1, needs: { cpuMillicores: 100 }, estimateMs: 1_000 }],
    ...changes,
  });
}

/** Creates a full pool whose work in time and in all takes these times. */
function createFull(inTimeMs: number, usefulMs: number): FullPool {
  return {
    capacityMillicores: CAPACITY_MILLICORES,
    freeMillicores: 0,
    waitingMillicores: CAPACITY_MILLICORES,
    backlog: {
      inTime: inTimeMs * CAPACITY_MILLICORES,
      useful: usefulMs * CAPACITY_MILLICORES,
    },
    backlogByTeam: new Map(),
    shareByTeam: new Map(),
    stepCounts: new Map(),
  };
}

function decide(changes: Partial<AdmissionInput>) {
  return new UsefulResultPolicy().decide({
    spec: JOB,
    queue: QUEUE,
    team: "calm",
    full: createFull(4_000, 20_000),
    reachableMillicores: CAPACITY_MILLICORES,
    delayMs: 0,
    waitedMs: 0,
    ...changes,
  });
}

describe("acceptance of new jobs", () => {
  describe("an overload in which a result would come too late to be of use", () => {
    it("rejects the job, and says when the work before it has been done", () => {
      const rejection = decide({});
      assert.is(rejection?.reason, "poolBacklog");
      assert.is(rejection?.expectedWaitMs, 20_000);
      assert.is(rejection?.retryAfterMs, 19_000);
      assert.is(rejection?.usefulMs, 6_000);
    });

    it("bounds the time after which the caller may return", () => {
      const full = createFull(4_000, 500_000);
      assert.is(decide({ full })?.retryAfterMs, 30_000);
    });

    it("is accepted by the baseline", () => {
      assert.is(new AcceptAllPolicy().decide(), undefined);
    });

    it("counts the delays of recent runs, also in the target", () => {
      const full = createFull(1_200, 20_000);
      assert.is(decide({ full }), undefined);
      const rejection = decide({ full, delayMs: 500 });
      assert.is(rejection?.usefulMs, 8_250);
    });

    // Guards against a job that counts as new after it has waited for a leader.
    it("counts the time for which the request has waited", () => {
      const full = createFull(1_400, 20_000);
      assert.is(decide({ full }), undefined);
      const rejection = decide({ full, waitedMs: 500 });
      assert.is(rejection?.usefulMs, 5_500);
    });
  });

  describe("in doubt the job is accepted", () => {
    const cases: Record<string, Partial<AdmissionInput>> = {
      "with enough room": { full: undefined },
      "while its work may begin in time": { full: createFull(1_400, 20_000) },
      "while a late result is of use": { full: createFull(4_000, 7_000) },
      "in a pool that has no runner now": {
        full: { ...createFull(4_000, 20_000), capacityMillicores: 0 },
      },
      "before VMs that the pool may get have come": {
        reachableMillicores: 5 * CAPACITY_MILLICORES,
      },
      "if it is long-running": {
        spec: createJob({ steps: [{ ...JOB.steps[0], isEndless: true }] }),
      },
      "if it is scheduled": {
        spec: createJob({
          schedule: { occurrenceCount: 1, firstAtMs: 0, intervalMs: 0 },
        }),
      },
    };
    for (const [title, changes] of Object.entries(cases)) {
      it(title, () => {
        assert.is(decide(changes), undefined);
      });
    }
  });

  describe("one team that sends many times its usual beside others", () => {
    const share = CAPACITY_MILLICORES / 10;
    const full: FullPool = {
      ...createFull(900, 3_000),
      shareByTeam: new Map([["hot", share]]),
      backlogByTeam: new Map([
        ["hot", { inTime: 5_000 * share, useful: 25_000 * share }],
        ["calm", { inTime: 5_000 * share, useful: 25_000 * share }],
      ]),
    };

    it("rejects its jobs by its own backlog and share", () => {
      const rejection = decide({ full, team: "hot" });
      assert.is(rejection?.reason, "teamBacklog");
      assert.is(rejection?.expectedWaitMs, 25_000);
    });

    it("accepts the jobs of others, and of no team", () => {
      assert.is(decide({ full, team: "calm" }), undefined);
      assert.is(decide({ full, team: undefined }), undefined);
    });
  });
});
