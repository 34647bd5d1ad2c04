import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  type Catalog,
  jobStepSchema,
  type SchedulingOperation,
} from "../../domain/index.ts";
import { beforeEach, describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = 20_371;
const JOB_ID = "0000000000000001";
const WORK_MS = 400;
/** Shorter than the lease of a run. */
const SILENCE_MS = 2_000;
/** Time in which a start is planned, logged and sent, in milliseconds. */
const SEND_MS = 100;
/** Time in which a stop is confirmed and the task placed again (ms). */
const SETTLE_MS = 6_000;
const COMMIT_MS = 100;
/** What the only task needs; the team's limit may fall below it. */
const MILLICORES = 500;

/** A change after which no start may be sent to r1. */
interface Change {
  readonly name: string;
  readonly apply: (fixture: SchedulingFixture) => void;
}

function propose(
  fixture: SchedulingFixture,
  operation: SchedulingOperation,
): void {
  fixture.apply({
    type: "scheduling",
    atMs: fixture.clock.nowMs(),
    operations: [operation],
  });
}

function changeCatalog(
  fixture: SchedulingFixture,
  change: (catalog: Catalog) => Partial<Catalog>,
): void {
  const { catalog } = fixture.state.scheduling;
  const version = catalog.version + 1;
  propose(fixture, {
    type: "catalog",
    catalog: { ...catalog, ...change(catalog), version },
  });
}

const CHANGES: readonly Change[] = [
  {
    name: "its zone is taken out of service",
    apply: (fixture) =>
      propose(fixture, { type: "zone", zone: "zone-a", isOut: true }),
  },
  {
    name: "it announces that it drains",
    apply: (fixture) => {
      const runner = fixture.state.scheduling.runners.get("r1");
      assert.ok(runner);
      propose(fixture, {
        type: "runner",
        runner: { ...runner, isDraining: true },
      });
    },
  },
  {
    name: "the queue goes to another pool",
    apply: (fixture) =>
      changeCatalog(fixture, ({ pools, queues }) => ({
        pools: [...pools, { ...pools[0]!, name: "desk" }],
        queues: queues.map((queue) => ({ ...queue, pool: "desk" })),
      })),
  },
  {
    name: "the limit of the team is lowered",
    apply: (fixture) =>
      changeCatalog(fixture, ({ teams }) => ({
        teams: teams.map((team) => ({
          ...team,
          limit: { ...team.limit, cpuMillicores: MILLICORES - 1 },
        })),
      })),
  },
  {
    name: "the job is cancelled",
    apply: (fixture) => propose(fixture, { type: "cancel", jobId: JOB_ID }),
  },
];

// Guards against EVAC and DRAIN: starts were checked when they were planned, and
// sent again, or by the next leader, after the check had become wrong.
describe("a start on a runner that does not answer", () => {
  let fixture: SchedulingFixture;
  /** Monotonic times at which starts were sent to r1 (ms). */
  let sentAtMs: number[];

  beforeEach(() => {
    fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(SEED),
      runnerIds: ["r1"],
    });
    const { clock, runners } = fixture;
    sentAtMs = [];
    const start = runners.start.bind(runners);
    runners.start = (runner, request) => {
      if (runner.runnerId === "r1") {
        sentAtMs.push(clock.monotonicMs());
      }
      return start(runner, request);
    };
    fixture.changeLeader();
  });

  async function submit(isEndless = false): Promise<void> {
    const step = v.parse(jobStepSchema, {
      taskCount: 1,
      needs: { cpuMillicores: MILLICORES },
      ...(isEndless ? { isEndless } : { estimateMs: WORK_MS }),
    });
    const submitted = fixture.submit(JOB_ID, [step]);
    assert.ok(await fixture.clock.runUntil(submitted, 1_000));
  }

  /** Cuts r1 off, and lets the leader send a start to it. */
  async function sendIntoSilence(): Promise<void> {
    await fixture.clock.advance(2_000);
    fixture.runners.cutIds.add("r1");
    await submit();
    await fixture.clock.advance(SEND_MS);
    assert.is(sentAtMs.length, 1, "the start was sent once");
  }

  async function heal(): Promise<void> {
    fixture.runners.cutIds.delete("r1");
    await fixture.clock.advance(SETTLE_MS);
  }

  function listStartsOn(runnerId: string) {
    fixture.runners.advanceAll();
    return fixture.runners.spans.filter((span) => span.runnerId === runnerId);
  }

  for (const { name, apply } of CHANGES) {
    describe(`when ${name}`, () => {
      it("is not sent again", async () => {
        await sendIntoSilence();
        apply(fixture);
        await fixture.clock.advance(SILENCE_MS);
        await heal();
        await fixture.stop();
        assert.is(sentAtMs.length, 1);
        assert.equal(listStartsOn("r1"), []);
      });

      it("is not sent by the next leader", async () => {
        await sendIntoSilence();
        apply(fixture);
        fixture.changeLeader();
        await fixture.clock.advance(COMMIT_MS);
        await heal();
        await fixture.stop();
        assert.is(sentAtMs.length, 1);
        assert.equal(listStartsOn("r1"), []);
      });

      it("is not sent at all if it was planned before and logged after", async () => {
        const { clock, commits } = fixture;
        await clock.advance(2_000);
        await submit();
        commits.pause();
        await clock.advance(SEND_MS);
        apply(fixture);
        commits.resume();
        await clock.advance(SETTLE_MS);
        await fixture.stop();
        assert.equal(listStartsOn("r1"), []);
      });
    });
  }

  describe("that has carried it out", () => {
    it("stays at work when the runner then drains", async () => {
      const { clock, runners } = fixture;
      await clock.advance(2_000);
      const start = runners.start.bind(runners);
      let isAnswerLost = false;
      runners.start = async (...request) => {
        const started = await start(...request);
        if (!isAnswerLost) {
          isAnswerLost = true;
          runners.cutIds.add("r1");
          await clock.sleep(SILENCE_MS);
        }
        return started;
      };
      await submit(true);
      await clock.advance(SEND_MS);
      assert.ok(isAnswerLost);
      await clock.runUntil(fixture.drain("r1"), 1_000);
      await clock.advance(1_500);
      await heal();
      const [span] = listStartsOn("r1");
      assert.is(span?.how, "runs");
      await fixture.stop();
    });
  });

  describe("that a confirmed stop closes", () => {
    it("lets the task start elsewhere, and never twice", async () => {
      fixture.startRunner("r2");
      fixture.runners.cutIds.add("r2");
      await sendIntoSilence();
      fixture.runners.cutIds.delete("r2");
      await fixture.clock.runUntil(fixture.drain("r1"), 1_000);
      await fixture.clock.advance(1_500);
      assert.equal(listStartsOn("r2"), []);
      await heal();
      assert.equal(listStartsOn("r1"), []);
      assert.equal(listStartsOn("r2").map(({ how }) => how), ["done"]);
      checkNeverTwice(fixture.runners.spans);
      await fixture.stop();
    });
  });
});
