import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";
import { RunnerStatus } from "./runner_status.ts";
import { FIRST_LOOK_MS, MAX_SILENCE_MS, RUN_LEASE_MS } from "./timing.ts";

const SEED = 20_332;
const JOB_ID = "0000000000000001";
/** Each task fills one runner. */
const NEEDS = { cpuMillicores: 8_000 };
const RUN_MS = 20_000;
const LOST_ID = "r0";
/** Time for a refused poll, its repetition and the start elsewhere (ms). */
const REFUSED_MS = 400;
/** The same where two polls get no answer, in milliseconds. */
const UNANSWERED_MS = 2_000;
const MANY_COUNT = 300;
/** Most polls of runners without runs in a tenth of a second. */
const MAX_POLLS_PER_TENTH = 15;
const TENTH_MS = 100;

function createFixture(
  runnerCount: number,
  hasVms = false,
): SchedulingFixture {
  return new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(SEED),
    hasVms,
    runnerIds: Array.from({ length: runnerCount }, (_, at) => `r${at}`),
  });
}

function submit(
  fixture: SchedulingFixture,
  taskCount: number,
): Promise<boolean> {
  return fixture.submit(JOB_ID, [
    v.parse(jobStepSchema, { taskCount, needs: NEEDS, estimateMs: RUN_MS }),
  ]);
}

/** Lets a new leader place three tasks on four runners of which r0 is lost. */
async function placeBesideLost(
  lose: (fixture: SchedulingFixture) => void,
  withinMs: number,
): Promise<SchedulingFixture> {
  const fixture = createFixture(4);
  const { clock } = fixture;
  fixture.changeLeader();
  await clock.advance(2_000);
  lose(fixture);
  fixture.changeLeader();
  await clock.runUntil(submit(fixture, 3), 1_000);
  await clock.advance(withinMs);
  return fixture;
}

function wasPlacedOn({ logger }: SchedulingFixture, runnerId: string): boolean {
  return logger.lines.some(({ fields, message }) =>
    message === "placed tasks" &&
    JSON.stringify(fields["tasks"]).includes(`@${runnerId}"`)
  );
}

describe("a runner that had no runs when the term began", () => {
  describe("and is lost when it gets work", () => {
    // Guards against work that waits for the end of a lease that nobody granted.
    it("loses the work at once when its port is closed", async () => {
      const fixture = await placeBesideLost(
        (lossy) => lossy.crash(LOST_ID),
        REFUSED_MS,
      );
      const { spans } = fixture.runners;
      await fixture.stop();
      assert.is(spans.length, 3);
      assert.ok(wasPlacedOn(fixture, LOST_ID), "it got work");
    });

    // Guards against the same where requests get no answer at all.
    it("loses the work after two unanswered polls, before a lease ends", async () => {
      const fixture = await placeBesideLost(
        ({ runners }) => runners.cutIds.add(LOST_ID),
        UNANSWERED_MS,
      );
      const { spans } = fixture.runners;
      await fixture.stop();
      assert.is(spans.length, 3);
      assert.ok(wasPlacedOn(fixture, LOST_ID), "it got work");
      checkNeverTwice(spans);
    });

    // Guards against the loss of sound runners when one relay of the leader's
    // requests is lost with the previous leader.
    it("keeps the work when one poll is lost", async () => {
      const fixture = await placeBesideLost(
        ({ clock, runners }) => {
          runners.cutIds.add(LOST_ID);
          void clock.sleep(800).then(() => runners.cutIds.delete(LOST_ID));
        },
        UNANSWERED_MS,
      );
      const { spans } = fixture.runners;
      await fixture.stop();
      assert.is(spans.length, 3);
      assert.ok(spans.some(({ runnerId }) => runnerId === LOST_ID));
    });
  });

  // Guards against a run that goes on although its task was given up: the next
  // leader polls no runner at once that the log shows to be free.
  it("stops a run that the log has ended before its lease ends", async () => {
    const fixture = createFixture(1);
    const { clock, runners } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    void submit(fixture, 1);
    await clock.advance(2_000);
    const [orphan] = runners.spans;
    assert.ok(orphan);
    fixture.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [
        { type: "zone", zone: "zone-a", isOut: true },
        {
          type: "end",
          task: { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 },
          runNumber: 1,
          how: "lost",
          saved: "",
          maxAttempts: 3,
        },
      ],
    });
    fixture.changeLeader();
    const changedAtMs = clock.monotonicMs();
    await clock.advance(RUN_LEASE_MS);
    await fixture.stop();
    assert.is(orphan.how, "stopped");
    assert.ok(orphan.toMs < changedAtMs + FIRST_LOOK_MS + TENTH_MS);
  });

  // Guards against a poll that holds up the maintenance of a VM, and against a
  // runner that stays in the log as nothing serves it.
  it("is removed unasked when its VM is taken away", async () => {
    const fixture = createFixture(2, true);
    const { clock, runners } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    const polledIds = new Set<string>();
    const poll = runners.poll.bind(runners);
    runners.poll = (runner, request) => {
      polledIds.add(runner.runnerId);
      return poll(runner, request);
    };
    fixture.apply({
      type: "scheduling",
      atMs: clock.nowMs(),
      operations: [{
        type: "wave",
        waveId: 1,
        vms: [LOST_ID],
        maxAwayCount: 1,
        completeByMs: clock.nowMs() + 10_000,
      }],
    });
    fixture.changeLeader();
    await clock.advance(FIRST_LOOK_MS / 2);
    const { scheduling } = fixture.state;
    const listedIds = [...scheduling.runners.keys()];
    await fixture.stop();
    assert.equal(listedIds, ["r1"]);
    assert.is(polledIds.size, 0);
  });

  // Guards against a look at the whole fleet in one stretch, and against runners
  // that are never looked at.
  it("is polled at a bounded pace, and in the time of a lease", async () => {
    const fixture = createFixture(MANY_COUNT);
    const { clock, runners } = fixture;
    fixture.changeLeader();
    await clock.advance(2_000);
    fixture.changeLeader();
    const polledIds = new Set<string>();
    const poll = runners.poll.bind(runners);
    let count = 0;
    runners.poll = (runner, request) => {
      count += 1;
      polledIds.add(runner.runnerId);
      return poll(runner, request);
    };
    await clock.advance(FIRST_LOOK_MS - 1);
    assert.is(count, 0);
    while (clock.monotonicMs() < 2_000 + RUN_LEASE_MS) {
      count = 0;
      await clock.advance(TENTH_MS);
      assert.ok(count <= MAX_POLLS_PER_TENTH, `${count} polls`);
    }
    await fixture.stop();
    assert.is(polledIds.size, MANY_COUNT);
  });

  // Guards against a leader that takes its whole fleet for silent until it has
  // polled it, and moves VMs that nobody needs.
  it("counts as capacity until it is silent", async () => {
    const clock = new FakeClock();
    const status = new RunnerStatus(clock, true);
    assert.ok(status.isOperational);
    await clock.advance(MAX_SILENCE_MS);
    assert.not(status.isOperational);
    status.recordContact();
    assert.ok(status.isOperational);
    status.recordNoAnswer();
    assert.not(status.isOperational);
  });
});
