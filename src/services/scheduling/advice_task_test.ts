import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  listReadySteps,
  type ReadyStep,
  SlackOrderPolicy,
} from "../../decisions/index.ts";
import {
  type JobStep,
  jobStepSchema,
  type Runner,
} from "../../domain/index.ts";
import { Notifier } from "../../tasks/index.ts";
import { afterEach, describe, it } from "../../testing/describe.ts";
import { FakeAdvice } from "../../testing/fake_advice.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { AdviceTask } from "./advice_task.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { ADVICE_RUNNER_COUNT } from "./timing.ts";

const RUNNER_COUNT = 50;
const VALID_MS = 4_000;
const TERMS = { decisionMs: 100, perRunnerMs: 2, validMs: VALID_MS };
const STEP = { jobId: "00000000000000ac", occurrence: 0, step: 0 };
const POOL = "bay";
const JOB_COUNT = 20;

function createRunner(at: number, bornAtMs = 1): Runner {
  return {
    runnerId: `r${at}`,
    bornAtMs,
    address: "127.0.0.1:1",
    pool: POOL,
    zone: "zone-a",
    capacity: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
    rack: "rack-1",
    labels: [],
    isDraining: false,
  };
}

/** Counts the passes over the ready steps. */
class CountingOrder extends SlackOrderPolicy {
  passCount = 0;

  override sort(steps: readonly ReadyStep[], nowMs: number) {
    this.passCount += 1;
    return super.sort(steps, nowMs);
  }
}

describe("advice task", () => {
  const stop: AbortController[] = [];

  afterEach(() => stop.splice(0).forEach((controller) => controller.abort()));

  async function setUp(
    isApproved: (runnerId: string) => boolean,
    jobCount = 1,
    firstStep: Partial<JobStep> = {},
    failingJobIds: readonly string[] = [],
  ) {
    const clock = new FakeClock();
    const agreement = new FakeAgreement(clock);
    const log = new SchedulingLog({ agreement, clock });
    const client = new FakeAdvice({ clock, ...TERMS, isApproved });
    failingJobIds.forEach((jobId) => client.failingJobIds.add(jobId));
    const order = new CountingOrder();
    const changed = new Notifier();
    const checks = { count: 0 };
    const task = new AdviceTask({
      log,
      client,
      order,
      clock,
      logger: new FakeLogger(),
      changed,
      mayPlaceOn: () => {
        checks.count += 1;
        return true;
      },
    });
    void log.propose([
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
            stretch: 1.6,
            targetLatencyMs: 600,
            advice: TERMS,
          }],
          pools: [{ name: POOL, isStandby: false, guardsCapacity: false }],
          teams: [],
          source: "",
        },
      },
      ...Array.from({ length: RUNNER_COUNT }, (_, at) => ({
        type: "runner" as const,
        runner: createRunner(at),
      })),
      ...Array.from({ length: jobCount }, (_, at) => ({
        type: "accept" as const,
        spec: {
          jobId: at === 0 ? STEP.jobId : String(at).padStart(16, "0"),
          text: "",
          steps: [v.parse(jobStepSchema, {
            taskCount: 3,
            needs: { cpuMillicores: 1_000 },
            ...(at === 0 ? firstStep : {}),
          })],
        },
        queue: "q",
        pool: POOL,
        maxAttempts: 2,
      })),
    ]);
    await clock.advance(50);
    const controller = new AbortController();
    stop.push(controller);
    void task.run(controller.signal);
    const findApproved = () => {
      const [ready] = listReadySteps(
        log.state.jobs,
        log.state.catalog,
        clock.nowMs(),
      );
      return ready && [...task.findApproved(ready) ?? []].toSorted();
    };
    const countOnePass = async () => {
      order.passCount = 0;
      checks.count = 0;
      while (order.passCount === 0) {
        changed.notify();
        await clock.advance(1);
      }
      return checks.count / order.passCount;
    };
    const restart = async (at: number) => {
      await clock.runUntil(
        log.propose([{ type: "runner", runner: createRunner(at, 2) }]),
        1_000,
      );
      changed.notify();
    };
    return { clock, client, task, findApproved, countOnePass, restart };
  }

  it("approves only what the service approved, with its ticket", async () => {
    const { clock, task, findApproved } = await setUp((id) =>
      ["r1", "r2", "r3"].includes(id)
    );
    await clock.advance(1_000);
    assert.equal(findApproved(), ["r1", "r2", "r3"]);
    assert.match(task.findTicket(STEP, createRunner(1)) ?? "", /^r1\//);
    assert.is(task.findTicket(STEP, createRunner(9)), undefined);
    assert.is(
      task.findTicket(STEP, createRunner(1, 2)),
      undefined,
      "a ticket is for one incarnation of the runner",
    );
  });

  it("sends one request at a time, for a limited number of runners", async () => {
    const { clock, client } = await setUp(() => false);
    await clock.advance(3_000);
    assert.is(client.maxOpenCount, 1);
    assert.equal(client.requests.map(({ length }) => length), [
      ADVICE_RUNNER_COUNT,
      RUNNER_COUNT - ADVICE_RUNNER_COUNT,
    ]);
  });

  it("sends no more requests once enough runners are approved", async () => {
    const { clock, client } = await setUp(() => true);
    await clock.advance(2_000);
    assert.is(client.requests.length, 1);
  });

  // Guards against a leader that spends its processor time on checks of all
  // runners for each waiting step, at each change.
  it("checks no runner once each step has enough", async () => {
    const { clock, client, countOnePass } = await setUp(() => true, JOB_COUNT);
    await clock.advance(VALID_MS - 500);
    assert.is(client.requests.length, JOB_COUNT);
    assert.is(await countOnePass(), 0);
  });

  // Guards against the same where too few runners are approved.
  it("checks each runner once for all steps of its pool", async () => {
    const { clock, client, countOnePass } = await setUp(() => false, JOB_COUNT);
    await clock.advance(20_000);
    assert.is(client.requests.length, 2 * JOB_COUNT);
    assert.is(await countOnePass(), RUNNER_COUNT);
  });

  it("does not use a ticket that may have expired, and requests another", async () => {
    const { clock, client, findApproved } = await setUp((id) => id === "r1");
    await clock.advance(1_000);
    const requestCount = client.requests.length;
    client.isUnavailable = true;
    await clock.advance(VALID_MS);
    assert.equal(findApproved(), []);
    client.isUnavailable = false;
    await clock.advance(2_000);
    assert.equal(findApproved(), ["r1"]);
    assert.ok(client.requests.length > requestCount);
  });

  describe("beside a step that can't start", () => {
    const OTHER_COUNT = 4;

    const countSteps = (client: FakeAdvice, jobId: string) =>
      client.steps.filter((step) => step.jobId === jobId).length;

    // Guards against steps that get no tickets: the service was asked again and
    // again about a task that fits on no runner.
    it("requests nothing for a task that no runner can hold", async () => {
      const { clock, client } = await setUp(() => true, 1 + OTHER_COUNT, {
        needs: { cpuMillicores: 8_001, memoryMb: 0, gpuCount: 0 },
        isEndless: true,
      });
      await clock.advance(2_000);
      assert.is(countSteps(client, STEP.jobId), 0);
      assert.is(client.requests.length, OTHER_COUNT);
    });

    // Guards against the same where each request for one step fails.
    it("requests tickets of the others while its own requests fail", async () => {
      const { clock, task } = await setUp(
        () => true,
        1 + OTHER_COUNT,
        { isEndless: true },
        [STEP.jobId],
      );
      await clock.advance(8_000);
      for (let at = 1; at <= OTHER_COUNT; at += 1) {
        const jobId = String(at).padStart(16, "0");
        assert.ok(task.findTicket({ ...STEP, jobId }, createRunner(1)), jobId);
      }
    });

    // Guards against the same where the tickets of long-running steps expire
    // before the service has decided about the other steps.
    it("requests tickets of all while those of others expire", async () => {
      const stepCount = 60;
      const { clock, client } = await setUp((id) => id === "r1", stepCount);
      await clock.advance(10 * VALID_MS);
      const asked = new Set(client.steps.map(({ jobId }) => jobId));
      assert.is(asked.size, stepCount);
    });
  });

  describe("after an approved runner has started again", () => {
    const setUpRestart = async () => {
      const fixture = await setUp((id) => ["r1", "r2", "r3"].includes(id));
      await fixture.clock.advance(1_000);
      assert.equal(fixture.findApproved(), ["r1", "r2", "r3"]);
      await fixture.restart(1);
      return fixture;
    };

    // Guards against starts without a ticket, which the runner refuses: the
    // ticket of the previous incarnation counted as approval of the new one.
    it("approves it only with a ticket of its own", async () => {
      const { findApproved } = await setUpRestart();
      assert.equal(findApproved(), ["r2", "r3"]);
    });

    // Guards against a step that waits until the old ticket has expired, because
    // it seems to have enough runners.
    it("requests advice on its new incarnation", async () => {
      const { clock, findApproved, task } = await setUpRestart();
      await clock.advance(1_000);
      assert.equal(findApproved(), ["r1", "r2", "r3"]);
      assert.match(task.findTicket(STEP, createRunner(1, 2)) ?? "", /^r1\//);
    });
  });
});
