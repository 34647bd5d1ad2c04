import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import {
  LEASE_SLACK_MS,
  MAX_CLOCK_DRIFT,
  MAX_READING_AGE_MS,
  POLL_TIMEOUT_MS,
  REQUEST_RETRY_MS,
  RUN_LEASE_MS,
} from "./timing.ts";

const SEED = 20_270;
const ARRIVAL_MS = 60;
const WORK_MS = 600;
const WARM_UP_COUNT = 30;
const MAX_ARRIVAL_COUNT = 100;
/**
 * The lease granted before the runner stopped responding, and one retry pause.
 */
const MAX_REPLACEMENT_MS = RUN_LEASE_MS / (1 - MAX_CLOCK_DRIFT) +
  LEASE_SLACK_MS +
  REQUEST_RETRY_MS;
/** Time until an unanswered request shows that a runner does not respond. */
const MAX_PLACING_MS = 300;

function createSteps() {
  return [v.parse(jobStepSchema, {
    taskCount: 1,
    needs: { cpuMillicores: 500 },
    estimateMs: WORK_MS,
  })];
}

/** Submits short jobs at a steady rate. */
class SteadyArrivals {
  readonly #fixture: SchedulingFixture;
  #count = 0;

  constructor(fixture: SchedulingFixture) {
    this.#fixture = fixture;
  }

  async submitJobs(count: number): Promise<void> {
    for (let at = 0; at < count; at += 1) {
      this.#count += 1;
      const jobId = String(this.#count).padStart(16, "0");
      void this.#fixture.submit(jobId, createSteps());
      await this.#fixture.clock.advance(ARRIVAL_MS);
    }
  }
}

describe("steady arrivals while a runner stops responding", () => {
  async function setUp(): Promise<
    { fixture: SchedulingFixture; arrivals: SteadyArrivals }
  > {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1", "r2"],
    });
    fixture.changeLeader();
    await fixture.clock.advance(2_000);
    const arrivals = new SteadyArrivals(fixture);
    await arrivals.submitJobs(WARM_UP_COUNT);
    return { fixture, arrivals };
  }

  function listRunsOn(fixture: SchedulingFixture, runnerId: string) {
    const { runners, jobs } = fixture.state.scheduling;
    return [...runners.values()].filter((runner) =>
      runner.runnerId === runnerId
    ).flatMap((runner) => [...jobs.findLoad(runner).running.values()]);
  }

  // Guards against a leader that spends its processor time on connections to a
  // runner that is gone: each of its runs was stopped anew every 200 ms.
  it("sends few stops for the cancelled jobs of a runner that is gone", async () => {
    const { fixture } = await setUp();
    const runCount = listRunsOn(fixture, "r1").length;
    assert.ok(runCount > 1, "r1 is busy");
    let stopCount = 0;
    const stop = fixture.runners.stop.bind(fixture.runners);
    fixture.runners.stop = (...request) => {
      stopCount += 1;
      return stop(...request);
    };
    fixture.crash("r1");
    for (const { job } of listRunsOn(fixture, "r1")) {
      fixture.apply({
        type: "scheduling",
        atMs: fixture.clock.nowMs(),
        operations: [{ type: "cancel", jobId: job.spec.jobId }],
      });
    }
    await fixture.clock.advance(RUN_LEASE_MS);
    assert.ok(stopCount <= runCount, `${stopCount} stops for ${runCount} runs`);
    await fixture.stop();
  });

  it("places its work elsewhere as soon as its leases expire", async () => {
    const { fixture, arrivals } = await setUp();
    assert.ok(listRunsOn(fixture, "r1").length > 0, "r1 is busy");
    fixture.runners.cutIds.add("r1");
    const cutAtMs = fixture.clock.monotonicMs();
    let replacedMs: number | undefined;
    for (
      let at = 0;
      at < MAX_ARRIVAL_COUNT && replacedMs === undefined;
      at += 1
    ) {
      await arrivals.submitJobs(1);
      if (listRunsOn(fixture, "r1").length === 0) {
        replacedMs = fixture.clock.monotonicMs() - cutAtMs;
      }
    }
    await fixture.stop();
    assert.ok(
      replacedMs !== undefined && replacedMs <= MAX_REPLACEMENT_MS + ARRIVAL_MS,
      `replaced after ${replacedMs} ms`,
    );
  });

  // Guards against a task that runs twice at once: the leader's wall clock is
  // set ahead, and the leases of a runner seem to have expired.
  it("places no work elsewhere early when its wall clock is set ahead", async () => {
    const { fixture } = await setUp();
    const { clock, runners } = fixture;
    const endless = v.parse(jobStepSchema, {
      taskCount: 4,
      needs: {},
      isEndless: true,
    });
    void fixture.submit("f".repeat(16), [endless]);
    await clock.advance(1_000);
    runners.cutIds.add("r1");
    await clock.advance(500);
    fixture.setLeaderClockAhead(RUN_LEASE_MS);
    await clock.advance(2 * RUN_LEASE_MS);
    runners.advanceAll();
    const lost = runners.spans.filter(({ how }) => how === "lapsed");
    assert.ok(lost.length > 0, "r1 was busy");
    checkNeverTwice(runners.spans);
    await fixture.stop();
  });

  // Guards against the removal of a sound runner, because one of the polls that
  // keep the reading of an idle runner's clock new was lost.
  it("keeps an idle runner of which one poll was lost", async () => {
    const fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1", "r2"],
    });
    const { clock, runners } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    runners.lostPercent = 100;
    const { requestCounts, removals } = fixture.metrics;
    while ((requestCounts.get("poll unanswered") ?? 0) === 0) {
      await clock.advance(10);
    }
    runners.lostPercent = 0;
    await clock.advance(MAX_READING_AGE_MS / 2);
    assert.equal(removals, []);
    runners.cutIds.add("r1");
    await clock.advance(2 * MAX_READING_AGE_MS);
    assert.equal(removals, ["leasesExpired"]);
    await fixture.stop();
  });

  // Guards against a removal whose log line does not show what decided it.
  it("logs how long the runner was silent and that the loop was not late", async () => {
    const { fixture, arrivals } = await setUp();
    fixture.runners.cutIds.add("r1");
    await arrivals.submitJobs(MAX_ARRIVAL_COUNT);
    await fixture.stop();
    const { lines } = fixture.logger;
    const failed = lines.find(({ message }) =>
      message === "a look at a runner failed"
    );
    const removed = lines.find(({ message }) =>
      message === "gives up a runner"
    );
    assert.is(failed?.fields["loopLateMs"], 0);
    assert.ok(Number(failed?.fields["sinceSentMs"]) >= POLL_TIMEOUT_MS);
    assert.ok(Number(failed?.fields["leaseLeftMs"]) > 0);
    assert.is(removed?.fields["loopLateMs"], 0);
    assert.ok(Number(removed?.fields["sinceAnswerMs"]) >= RUN_LEASE_MS);
    assert.ok(Number(removed?.fields["leaseLeftMs"]) <= 0);
    const { metrics } = fixture;
    assert.equal(metrics.removals, ["leasesExpired"]);
    assert.ok((metrics.requestCounts.get("poll unanswered") ?? 0) > 0);
    assert.ok((metrics.requestCounts.get("start answered") ?? 0) > 0);
    assert.ok(metrics.planStartCounts.some((count) => count > 0));
  });

  it("places nothing there once a request is overdue", async () => {
    const { fixture, arrivals } = await setUp();
    fixture.runners.cutIds.add("r1");
    await arrivals.submitJobs(Math.ceil(MAX_PLACING_MS / ARRIVAL_MS));
    const before = listRunsOn(fixture, "r1").length;
    await arrivals.submitJobs(10);
    assert.is(listRunsOn(fixture, "r1").length, before);
    await fixture.stop();
  });
});
