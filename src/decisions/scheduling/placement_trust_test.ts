import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  type JobStep,
  jobStepSchema,
  SchedulingState,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { SlackOrderPolicy } from "./order_policy.ts";
import {
  type Candidate,
  type ProbeState,
  ScoredPlacementPolicy,
} from "./placement_policy.ts";
import { MAX_AVOIDANCE_MS } from "./placement_trust.ts";
import { type PlannedStart, StartPlanner } from "./start_planner.ts";

const SEED = Number(process.env["SEED"] ?? 20_517);
const RUNNER_IDS = ["r1", "r2", "r3", "r4"];
const POOL = "bay";
const ACCEPTED_AT_MS = 1_000;
const MILLICORES = 2_000;
const JOB_ID = "0123456789abcdef";

interface Setting {
  readonly failedOn: readonly string[];
  readonly full?: readonly string[];
  readonly probes?: Readonly<Record<string, ProbeState>>;
  readonly step?: Partial<JobStep>;
  readonly maxAttempts?: number;
  /** Time since the newest failure (ms). */
  readonly waitedMs?: number;
}

/** Plans the start of one task that has failed on some runners. */
function plan(setting: Setting): PlannedStart[] {
  const { failedOn, full = [], probes = {}, step, waitedMs = 0 } = setting;
  const state = new SchedulingState();
  const task = { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 };
  const steps = [{
    ...v.parse(jobStepSchema, {
      taskCount: 1,
      needs: { cpuMillicores: MILLICORES },
      estimateMs: 400,
    }),
    ...step,
  }];
  const capacity = { cpuMillicores: MILLICORES, memoryMb: 0, gpuCount: 0 };
  const runner = {
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: POOL,
    zone: "zone-a",
    capacity,
    rack: "r1",
    labels: [],
    isDraining: false,
  };
  const maxAttempts = setting.maxAttempts ?? 9;
  state.apply({
    type: "scheduling",
    atMs: ACCEPTED_AT_MS,
    operations: [
      ...RUNNER_IDS.map((runnerId) => ({
        type: "runner" as const,
        runner: { ...runner, runnerId },
      })),
      {
        type: "accept",
        spec: { jobId: JOB_ID, text: "", steps },
        queue: "q",
        pool: POOL,
        maxAttempts,
      },
      ...failedOn.flatMap((runnerId, at) => {
        const run = { task, runNumber: at + 1 };
        return [
          { type: "start" as const, ...run, runnerId, bornAtMs: 1 },
          {
            type: "end" as const,
            ...run,
            how: "failed" as const,
            saved: "",
            maxAttempts,
          },
        ];
      }),
    ],
  });
  const candidates = RUNNER_IDS.map((runnerId): Candidate => ({
    ...runner,
    runnerId,
    free: {
      ...capacity,
      cpuMillicores: full.includes(runnerId) ? 0 : MILLICORES,
    },
    attainable: capacity,
    latencyTargetCount: 0,
    bestEffortCount: 0,
    awaitsMaintenance: false,
    isReserved: false,
    probe: probes[runnerId],
  }));
  const planner = new StartPlanner({
    order: new SlackOrderPolicy(),
    placement: new ScoredPlacementPolicy(),
  });
  return planner.plan({
    state,
    candidates: new Map([[POOL, candidates]]),
    findApproved: () => undefined,
    nowMs: ACCEPTED_AT_MS + waitedMs,
  });
}

function findRunner(setting: Setting): string | undefined {
  return plan(setting)[0]?.runnerId;
}

describe("placement of a task that has failed", () => {
  it("goes where it has not failed, or waits, while another could run it", () => {
    const ids = fc.subarray(RUNNER_IDS);
    fc.assert(
      fc.property(
        ids,
        ids,
        fc.nat(3 * MAX_AVOIDANCE_MS),
        (failedOn, full, waitedMs) => {
          const chosen = findRunner({ failedOn, full, waitedMs });
          const others = RUNNER_IDS.filter((id) => !failedOn.includes(id));
          const open = others.filter((id) => !full.includes(id));
          if (open.length > 0) {
            assert.ok(open.includes(chosen ?? ""), `${chosen}`);
          } else if (others.length > 0 || waitedMs < MAX_AVOIDANCE_MS) {
            assert.is(chosen, undefined);
          } else {
            assert.is(chosen !== undefined, full.length < RUNNER_IDS.length);
          }
        },
      ),
      { seed: SEED },
    );
  });
});

describe("placement on a suspect runner", () => {
  const full = ["r2", "r3", "r4"];

  for (const [probe, isTaken] of [["waits", false], ["due", true]] as const) {
    it(`${isTaken ? "takes" : "avoids"} a runner whose probe is ${probe}`, () => {
      const chosen = findRunner({ failedOn: [], full, probes: { r1: probe } });
      assert.is(chosen, isTaken ? "r1" : undefined);
    });
  }

  it("prefers a probe that is due, so that its outcome is known soon", () => {
    assert.is(findRunner({ failedOn: [], probes: { r3: "due" } }), "r3");
  });

  it("is not for a task that cannot afford to fail, until it is overdue", () => {
    const setting = { failedOn: [], full, maxAttempts: 1 };
    assert.is(findRunner({ ...setting, probes: { r1: "due" } }), undefined);
    assert.is(findRunner({ ...setting, probes: { r1: "overdue" } }), "r1");
  });

  for (const step of [{ isEndless: true }, { isGang: true }]) {
    it(`is not for a step with ${Object.keys(step)}`, () => {
      const probes = { r1: "overdue" as const };
      assert.is(findRunner({ failedOn: [], full, probes, step }), undefined);
    });
  }

  it("gets one task of a step", () => {
    const probes = { r1: "due" as const };
    const small = { cpuMillicores: 100, memoryMb: 0, gpuCount: 0 };
    const step = { taskCount: 5, needs: small };
    assert.is(plan({ failedOn: [], full, probes, step }).length, 1);
  });

  // A job that fits must not wait without a bound.
  for (const step of [{ isEndless: true }, { isGang: true }, {}]) {
    it(`takes a task after a wait that no other could run ${Object.keys(step)}`, () => {
      const probes = Object.fromEntries(
        RUNNER_IDS.map((id) => [id, "waits" as const]),
      );
      const setting = { failedOn: [], probes, step };
      const shortMs = MAX_AVOIDANCE_MS - 1;
      assert.is(findRunner({ ...setting, waitedMs: shortMs }), undefined);
      assert.ok(findRunner({ ...setting, waitedMs: MAX_AVOIDANCE_MS }));
    });
  }
});
