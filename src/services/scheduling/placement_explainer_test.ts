import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  FailureTrustPolicy,
  LeastCostOrderPolicy,
  RunDelays,
  ScoredPlacementPolicy,
  StartConditions,
  StartPlanner,
  UsefulResultPolicy,
} from "../../decisions/index.ts";
import { jobSpecSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLeaderMetrics, FakeLogger } from "../../testing/fake_ports.ts";
import { Notifier } from "../../tasks/index.ts";
import { JobAdmission } from "./job_admission.ts";
import { PlacementExplainer } from "./placement_explainer.ts";
import { RoomWatch } from "./room_watch.ts";
import { RunnerStatus } from "./runner_status.ts";
import { RunnerTrust } from "./runner_trust.ts";
import { Scheduler } from "./scheduler.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const POOL = "bay";
const LIMIT = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };

function createWork(taskCount: number, cpuMillicores = 1_000) {
  const step = { taskCount, needs: { cpuMillicores }, estimateMs: 1_000 };
  return { text: "", steps: [step, { ...step, dependsOn: [0] }] };
}

/** One runner of four cores; `count` jobs of one core wait. */
function setUp(count = 0) {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  const log = new SchedulingLog({ agreement, clock });
  const order = new LeastCostOrderPolicy();
  const planner = new StartPlanner({
    order,
    placement: new ScoredPlacementPolicy(),
  });
  agreement.state.apply({
    type: "scheduling",
    atMs: clock.nowMs(),
    operations: [
      {
        type: "catalog",
        catalog: {
          version: 1,
          queues: [{
            name: "q",
            host: "h",
            pathPrefix: "/q/",
            pool: POOL,
            isPublic: true,
            priority: 0,
            maxAttempts: 2,
            timeoutMs: 3_000,
            stretch: 1.5,
            targetLatencyMs: 500,
          }],
          pools: [{ name: POOL, isStandby: false, guardsCapacity: false }],
          teams: ["hot", "calm"].map((name) => ({
            name,
            keys: [name],
            priority: 0,
            weight: 1,
            limit: LIMIT,
          })),
          source: "",
        },
      },
      {
        type: "runner",
        runner: {
          runnerId: "r1",
          bornAtMs: 1,
          address: "127.0.0.1:1",
          pool: POOL,
          zone: "zone-a",
          capacity: { cpuMillicores: 4_000, memoryMb: 9_000, gpuCount: 0 },
          rack: "k1",
          labels: [],
          isDraining: false,
        },
      },
      ...Array.from({ length: count }, (_, at) => ({
        type: "accept" as const,
        spec: v.parse(jobSpecSchema, {
          jobId: at.toString(16).padStart(16, "0"),
          text: "",
          steps: [{
            taskCount: 1,
            needs: { cpuMillicores: 1_000 },
            estimateMs: 1_000,
          }],
        }),
        queue: "q",
        pool: POOL,
        team: "hot",
        maxAttempts: 2,
      })),
    ],
  });
  const status = new RunnerStatus(clock);
  status.isSynced = true;
  const logger = new FakeLogger();
  const metrics = new FakeLeaderMetrics();
  const options = { log, clock, logger, metrics, planner };
  const scheduler = new Scheduler({
    ...options,
    trust: new RunnerTrust({ ...options, policy: new FailureTrustPolicy() }),
    changed: new Notifier(),
    findStatus: () => status,
    findApproved: () => undefined,
    conditions: new StartConditions({
      isCordoned: () => false,
      findTicket: () => undefined,
    }),
    awaitsMaintenance: () => false,
  });
  const room = new RoomWatch({
    ...options,
    order,
    mayPlaceOn: () => true,
    accounts: { sum: () => new Map([[POOL, new Map([["free", 4_000]])]]) },
    canMoveVms: false,
  });
  const admission = new JobAdmission({
    ...options,
    delays: new RunDelays(),
    policy: new UsefulResultPolicy(),
    room,
  });
  const explainer = new PlacementExplainer({
    ...options,
    scheduler,
    room,
    admission,
  });
  const explain = (query: Readonly<Record<string, unknown>>) => {
    const explained = explainer.explain({ queue: "q", ...query });
    return explained.isOk ? explained.value.present.lines : explained.error;
  };
  return { agreement, explain, logger, metrics };
}

describe("the explanation of a placement", () => {
  it("names the runners of each task, and changes nothing", () => {
    const { agreement, explain, logger } = setUp();
    const before = agreement.state.scheduling.jobs.list().length;
    assert.equal(explain({ work: createWork(3) }), [
      "would be accepted, pool bay",
      "step 0: 3 of 3 tasks would start now: r1 (zone-a) x 3",
      "step 1: 0 of 3 tasks would start now; others wait: it waits for step 0",
    ]);
    assert.is(agreement.state.scheduling.jobs.list().length, before);
    assert.is(logger.lines.length, 0);
  });

  it("says what no runner can hold", () => {
    const { explain } = setUp();
    const lines = explain({ work: createWork(1, 5_000) });
    assert.match(String(lines), /nor is any of them large enough/);
  });

  describe("beside one team that sends many times its usual", () => {
    it("places the job of another team before its surplus", () => {
      const { explain } = setUp(200);
      const lines = explain({ team: "calm", work: createWork(1) });
      assert.match(String(lines), /1 of 1 tasks would start now: r1/);
    });

    it("says that the team's own job would be rejected, and why", () => {
      const { explain, metrics } = setUp(200);
      const lines = String(explain({ team: "hot", work: createWork(1) }));
      assert.match(lines, /would be rejected \(teamBacklog\)/);
      assert.match(lines, /0 of 1 tasks would start now; others wait: /);
      assert.equal(metrics.rejections, []);
    });
  });

  it("fails for a queue or a team that does not exist", () => {
    const { explain } = setUp();
    const work = createWork(1);
    assert.match(JSON.stringify(explain({ queue: "none", work })), /notFound/);
    assert.match(JSON.stringify(explain({ team: "none", work })), /notFound/);
  });
});
