import * as assert from "uvu/assert";
import * as v from "valibot";
import { FailureTrustPolicy } from "../../decisions/index.ts";
import {
  jobStepSchema,
  type Runner,
  type SchedulingOperation,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLeaderMetrics, FakeLogger } from "../../testing/fake_ports.ts";
import { RunnerTrust } from "./runner_trust.ts";
import { ScheduleExplainer } from "./schedule_explainer.ts";
import { SchedulingLog } from "./scheduling_log.ts";

const POOL = "bay";
const JOB_IDS = ["000000000000000a", "000000000000000b"];
const RUNNERS = ["r1", "r2", "r3"].map((runnerId): Runner => ({
  runnerId,
  bornAtMs: 1,
  address: "127.0.0.1:1",
  pool: POOL,
  zone: "zone-a",
  capacity: { cpuMillicores: 1_000, memoryMb: 100, gpuCount: 0 },
  rack: "k1",
  labels: [],
  isDraining: false,
}));

function setUp() {
  const clock = new FakeClock();
  const logger = new FakeLogger();
  const metrics = new FakeLeaderMetrics();
  const agreement = new FakeAgreement(clock);
  const log = new SchedulingLog({ agreement, clock });
  const trust = new RunnerTrust({
    log,
    clock,
    logger,
    metrics,
    policy: new FailureTrustPolicy(),
  });
  const explainer = new ScheduleExplainer({
    log,
    clock,
    findStatus: () => undefined,
    mayPlaceOn: () => true,
    describeSuspicion: (runner) => trust.describe(runner),
  });
  const apply = (operations: SchedulingOperation[]) =>
    agreement.state.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations,
    });
  const open = new Map([[POOL, RUNNERS]]);
  apply(RUNNERS.map((runner) => ({ type: "runner", runner })));
  const steps = [v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 100 },
  })];
  for (const jobId of JOB_IDS) {
    const task = { jobId, occurrence: 0, step: 0, index: 0 };
    const run = { task, runNumber: 1 };
    const spec = { jobId, text: "", steps };
    apply([
      { type: "accept", spec, queue: "q", pool: POOL, maxAttempts: 3 },
      { type: "start", ...run, runnerId: "r1", bornAtMs: 1 },
      { type: "end", ...run, how: "failed", saved: "", maxAttempts: 3 },
    ]);
  }
  trust.refresh(open);
  const explain = (kind: string, name: string) => {
    const explained = explainer.explain({ kind, name });
    return explained.isOk ? explained.value.present.lines.join("\n") : "";
  };
  const start = (runNumber: number) =>
    apply([{
      type: "start",
      task: { jobId: JOB_IDS[0] ?? "", occurrence: 0, step: 0, index: 0 },
      runNumber,
      runnerId: "r1",
      bornAtMs: 1,
    }]);
  return { clock, explain, logger, metrics, open, start, trust };
}

describe("RunnerTrust", () => {
  it("logs and counts a suspect runner once, with what it relied on", () => {
    const { logger, metrics, open, trust } = setUp();
    trust.refresh(open);
    assert.equal(metrics.runFaults, ["suspect"]);
    const [line, ...others] = logger.lines;
    assert.equal(others, []);
    assert.is(line?.fields["runnerId"], "r1");
    assert.equal(
      line?.fields["failedTasks"],
      JOB_IDS.map((jobId) => `${jobId}.0.0.0`),
    );
    assert.is(line?.fields["suspectCount"], 1);
    assert.is(line?.fields["runnerCount"], 3);
    assert.equal([...trust.countByPool()], [[POOL, 1]]);
  });

  it("lets a probe go there after a pause, and no second one beside it", async () => {
    const { clock, start, trust } = setUp();
    const [runner, other] = RUNNERS;
    assert.ok(runner && other);
    assert.is(trust.findProbe(other), undefined);
    assert.is(trust.findProbe(runner), "waits");
    await clock.advance(500);
    assert.is(trust.findProbe(runner), "due");
    await clock.advance(5_000);
    assert.is(trust.findProbe(runner), "overdue");
    start(2);
    assert.is(trust.findProbe(runner), "waits");
  });

  it("tells operators why a runner or a task is treated so", () => {
    const { explain } = setUp();
    assert.match(
      explain("runner", "r1"),
      /suspect for 0 ms: tasks 0+a\.0\.0\.0/,
    );
    assert.not.match(explain("runner", "r2"), /suspect/);
    const lines = explain("task", `${JOB_IDS[0]}.0.0.0`);
    assert.match(lines, /avoids r1, where it failed/);
    assert.match(lines, /1 runners of bay are suspect/);
  });

  it("logs that a runner is trusted again once it is gone from the pool", () => {
    const { logger, open, trust } = setUp();
    trust.refresh(new Map([[POOL, RUNNERS.slice(0, 1)]]));
    assert.is(logger.lines.at(-1)?.message, "a runner is no longer suspect");
    assert.is(logger.lines.at(-1)?.fields["cause"], "pool limit");
    trust.refresh(open);
    assert.is(trust.countByPool().get(POOL), 1);
  });
});
