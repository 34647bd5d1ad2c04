import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  LeastCostOrderPolicy,
  RunDelays,
  UsefulResultPolicy,
} from "../../decisions/index.ts";
import {
  type JobQueue,
  type JobSpec,
  jobSpecSchema,
  type Runner,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLeaderMetrics, FakeLogger } from "../../testing/fake_ports.ts";
import { JobAdmission } from "./job_admission.ts";
import { RoomWatch } from "./room_watch.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { ROOM_CHECK_MS } from "./timing.ts";

const POOL = "bay";
const MAX_MS = 1_000;
const QUEUE: JobQueue = {
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
};
const RUNNER: Runner = {
  runnerId: "r1",
  bornAtMs: 1,
  address: "127.0.0.1:1",
  pool: POOL,
  zone: "zone-a",
  capacity: { cpuMillicores: 10_000, memoryMb: 100_000, gpuCount: 0 },
  rack: "k1",
  labels: [],
  isDraining: false,
};

function createSpec(number: number): JobSpec {
  return v.parse(jobSpecSchema, {
    jobId: number.toString(16).padStart(16, "0"),
    text: "",
    steps: [{
      taskCount: 1,
      needs: { cpuMillicores: 1_000 },
      estimateMs: 1_000,
    }],
  });
}

/** One runner of ten cores and two teams, `hot` and `calm`, of equal weight. */
async function setUp() {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  const log = new SchedulingLog({ agreement, clock });
  const limit = { cpuMillicores: 0, memoryMb: 0, gpuCount: 0 };
  const teams = ["hot", "calm"].map((name) => ({
    name,
    keys: [name],
    priority: 0,
    weight: 1,
    limit,
  }));
  const pools = [{ name: POOL, isStandby: false, guardsCapacity: false }];
  await clock.runUntil(
    log.propose([
      {
        type: "catalog",
        catalog: { version: 1, queues: [QUEUE], pools, teams, source: "" },
      },
      { type: "runner", runner: RUNNER },
    ]),
    MAX_MS,
  );
  let jobCount = 0;
  const submit = (team: string, count: number) => {
    const specs = Array.from(
      { length: count },
      () => createSpec(jobCount += 1),
    );
    return clock.runUntil(
      log.propose(specs.map((spec) => ({
        type: "accept",
        spec,
        queue: QUEUE.name,
        pool: POOL,
        team,
        maxAttempts: 2,
      }))),
      MAX_MS,
    );
  };
  const shares = new Map([["free", 10_000]] as const);
  const lead = () => {
    const logger = new FakeLogger();
    const metrics = new FakeLeaderMetrics();
    const delays = new RunDelays();
    const options = { log, clock, logger, metrics, delays };
    const room = new RoomWatch({
      ...options,
      order: new LeastCostOrderPolicy(delays),
      mayPlaceOn: () => true,
      accounts: { sum: () => new Map([[POOL, shares]]) },
      canMoveVms: false,
    });
    const policy = new UsefulResultPolicy();
    const admission = new JobAdmission({ ...options, policy, room });
    const check = (team: string) =>
      admission.findRejection({
        spec: createSpec(0xffff),
        queue: QUEUE,
        team,
        waitedMs: 0,
      });
    return { check, logger, metrics, room };
  };
  const cancelAll = () =>
    clock.runUntil(
      log.propose([...log.state.jobs.open].map(({ spec: { jobId } }) => ({
        type: "cancel",
        jobId,
      }))),
      MAX_MS,
    );
  return { agreement, cancelAll, clock, lead, submit };
}

describe("rejections for want of room", () => {
  describe("one team that sends many times its usual beside others", () => {
    it("reject its jobs only, with the inputs in the log", async () => {
      const { lead, submit } = await setUp();
      await submit("hot", 200);
      await submit("calm", 5);
      const { check, logger, metrics } = lead();
      const failure = check("hot");
      assert.is(failure?.kind, "overloaded");
      assert.ok((failure?.retryAfterMs ?? 0) > 10_000);
      assert.is(check("calm"), undefined);
      assert.equal(metrics.rejections, ["q hot teamBacklog"]);
      const [line] = logger.lines;
      assert.is(line?.message, "rejected a job for want of room");
      assert.is(line?.fields["capacityMillicores"], 5_000);
      assert.is(line?.fields["usefulBacklogCoreMs"], 200_000);
      assert.is(line?.fields["sampleAgeMs"], 0);
    });

    it("reject nothing while the pool has room", async () => {
      const { lead, submit } = await setUp();
      await submit("hot", 10);
      assert.is(lead().check("hot"), undefined);
    });
  });

  describe("a change of the leader", () => {
    it("lets the next one decide alike", async () => {
      const { lead, submit } = await setUp();
      await submit("hot", 200);
      await submit("calm", 5);
      const before = lead().check("hot");
      const after = lead();
      assert.equal(after.check("hot"), before);
      assert.is(after.check("calm"), undefined);
    });

    it("lets a leader without its lease reject nothing", async () => {
      const { agreement, lead, submit } = await setUp();
      await submit("hot", 200);
      agreement.holdsLease = false;
      assert.is(lead().check("hot"), undefined);
    });
  });
});

describe("watch of the room", () => {
  it("logs once when a pool becomes full, and once when it has room", async () => {
    const { cancelAll, clock, lead, submit } = await setUp();
    await submit("hot", 200);
    await submit("calm", 5);
    const { logger, room } = lead();
    const stop = new AbortController();
    const watching = room.run(stop.signal);
    await clock.advance(1);
    assert.ok((room.countDelayedSteps().get("leastCost") ?? 0) > 100);
    await clock.advance(3 * ROOM_CHECK_MS);
    assert.is(logger.lines.length, 1);
    const { fields, message } = logger.lines[0] ?? {};
    assert.is(message, "a pool became full");
    assert.equal(fields?.["teamsBeyondShare"], ["hot"]);
    await cancelAll();
    await clock.advance(2 * ROOM_CHECK_MS);
    assert.equal(logger.lines.map((line) => line.message), [
      "a pool became full",
      "a pool has room again",
    ]);
    stop.abort();
    await clock.runUntil(watching, MAX_MS);
  });

  it("explains why a step comes behind others", async () => {
    const { lead, submit } = await setUp();
    await submit("hot", 200);
    await submit("calm", 5);
    const { room } = lead();
    const describeDelay = (number: number) =>
      room.describeDelay({
        jobId: createSpec(number).jobId,
        occurrence: 0,
        step: 0,
      });
    assert.match(describeDelay(200) ?? "", /costs callers least/);
    assert.is(describeDelay(201), undefined);
  });
});
