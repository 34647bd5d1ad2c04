import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  formatTaskId,
  type JobQueue,
  jobStepSchema,
  type SchedulingOperation,
} from "../../domain/index.ts";
import type { RunnerEndpoint, StartRequest } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = Number(process.env["SEED"] ?? 20_374);
const RUN_COUNT = Number(process.env["RUNS"] ?? 60);
const TIME_LIMIT_MS = Number(process.env["TIME_LIMIT_MS"] ?? 30_000);
const RUNNER_IDS = ["r1", "r2", "r3", "r4"];
const ZONES = ["zone-a", "zone-b"];
const POOLS = ["bay", "desk"];
const MAX_STEP_MS = 2_000;
const MIN_STEP_COUNT = 10;
const MAX_STEP_COUNT = 40;
const MAX_CLOCK_DRIFT_PERCENT = 2;
/** Longest delay of a commit at full amount is 1 s. */
const MAX_COMMIT_PERCENT_MS = 10;
/**
 * Delayed requests arrive up to 12 s later; the leases that they get at a
 * successor last 6 s.
 */
const RECOVERY_MS = 40_000;

const ACTIONS = [
  "submit",
  "submit",
  "submitLasting",
  "submitLasting",
  "cancel",
  // Planned changes.
  "takeZoneOut",
  "returnZone",
  "drain",
  "reorderQueues",
  "removeQueue",
  "restoreQueues",
  // Disturbances.
  "cut",
  "cut",
  "join",
  "join",
  "crash",
  "restart",
  "loseAnswers",
  "delayRequests",
  "slowCommits",
  "answerAll",
  "changeLeader",
] as const;

const stepArbitrary = fc.record({
  action: fc.constantFrom(...ACTIONS),
  runnerId: fc.constantFrom(...RUNNER_IDS),
  amount: fc.nat(100),
  waitMs: fc.nat(MAX_STEP_MS),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** A deployment whose two queues share a name, and its expected behaviour. */
class PlannedChangeHistory {
  readonly #fixture: SchedulingFixture;
  readonly #queues: readonly JobQueue[];
  /** Pools of the queues by job. */
  readonly #poolByJob = new Map<string, string>();
  readonly #faults: string[] = [];

  constructor(seed: number) {
    this.#fixture = new SchedulingFixture({
      clock: new FakeClock(),
      random: new SeededRandom(seed),
      runnerIds: RUNNER_IDS,
      maxClockDriftPercent: MAX_CLOCK_DRIFT_PERCENT,
      describeRunner: (runnerId) => {
        const at = RUNNER_IDS.indexOf(runnerId);
        return {
          pool: POOLS[at % POOLS.length] ?? "",
          zone: ZONES[Math.floor(at / POOLS.length)] ?? "",
        };
      },
    });
    const { runners, state: { scheduling } } = this.#fixture;
    const [queue] = scheduling.catalog.queues;
    assert.ok(queue);
    this.#queues = POOLS.map((pool) => ({
      ...queue,
      pool,
      pathPrefix: `/${pool}/`,
    }));
    this.#putQueues(this.#queues);
    const start = runners.start.bind(runners);
    runners.start = (runner, request) => {
      this.#checkStart(runner, request);
      return start(runner, request);
    };
    this.#fixture.changeLeader();
  }

  /** Carries out the steps, ends all disturbances, and checks the result. */
  async check(steps: readonly Step[]): Promise<void> {
    const { clock, runners, state: { scheduling } } = this.#fixture;
    await clock.advance(50);
    for (const step of steps) {
      this.#act(step);
      await clock.advance(step.waitMs);
    }
    this.#answerAll();
    runners.cutIds.clear();
    this.#putQueues(this.#queues);
    ZONES.forEach((zone) => this.#setZone(zone, false));
    await clock.advance(RECOVERY_MS);
    RUNNER_IDS.forEach((id) => this.#fixture.startRunner(id));
    await clock.advance(RECOVERY_MS);
    runners.advanceAll();
    assert.equal(this.#faults, []);
    checkNeverTwice(runners.spans);
    const waiting = [...scheduling.jobs.open].filter(({ spec }) => {
      const isRunning = runners.spans.some(({ task, how }) =>
        how === "runs" && task.startsWith(spec.jobId)
      );
      return !isRunning;
    });
    assert.equal(waiting.map(({ spec }) => spec.jobId), []);
    await this.#fixture.stop();
  }

  // What the log shows when a start is sent decides, whoever planned it.
  #checkStart({ runnerId }: RunnerEndpoint, { task }: StartRequest): void {
    const { zonesOut, runners } = this.#fixture.state.scheduling;
    const runner = runners.get(runnerId);
    const name = `${formatTaskId(task)} at ${runnerId}`;
    if (runner === undefined) {
      this.#faults.push(`${name}, which was removed`);
      return;
    }
    if (zonesOut.has(runner.zone)) {
      this.#faults.push(`${name} in ${runner.zone}, which is out of service`);
    }
    if (runner.isDraining) {
      this.#faults.push(`${name}, which drains`);
    }
    const pool = this.#poolByJob.get(task.jobId);
    if (runner.pool !== pool) {
      this.#faults.push(`${name} of ${runner.pool}, its queue uses ${pool}`);
    }
  }

  #act({ action, amount, runnerId }: Step): void {
    const fixture = this.#fixture;
    const { runners } = fixture;
    switch (action) {
      case "submit":
        this.#submit(amount, { estimateMs: 100 + amount * 20 });
        break;
      case "submitLasting":
        this.#submit(amount, { isEndless: true });
        break;
      case "cancel":
        this.#cancel(amount);
        break;
      case "takeZoneOut":
        this.#setZone(ZONES[amount % ZONES.length] ?? "", true);
        break;
      case "returnZone":
        this.#setZone(ZONES[amount % ZONES.length] ?? "", false);
        break;
      case "drain":
        void fixture.drain(runnerId);
        break;
      case "reorderQueues":
        this.#putQueues(this.#queues.toReversed());
        break;
      case "removeQueue":
        this.#putQueues(this.#queues.slice(amount % 2, 1 + amount % 2));
        break;
      case "restoreQueues":
        this.#putQueues(this.#queues);
        break;
      case "cut":
        runners.cutIds.add(runnerId);
        break;
      case "join":
        runners.cutIds.delete(runnerId);
        break;
      case "crash":
        fixture.crash(runnerId);
        break;
      case "restart":
        fixture.startRunner(runnerId);
        break;
      case "loseAnswers":
        runners.lostPercent = amount % 50;
        break;
      case "delayRequests":
        runners.latePercent = amount % 50;
        break;
      case "slowCommits":
        fixture.maxCommitDelayMs = amount * MAX_COMMIT_PERCENT_MS;
        break;
      case "answerAll":
        this.#answerAll();
        break;
      case "changeLeader":
        fixture.changeLeader();
        break;
    }
  }

  #submit(
    amount: number,
    work: { readonly estimateMs?: number; readonly isEndless?: boolean },
  ): void {
    const jobId = String(this.#poolByJob.size).padStart(16, "0");
    const pool = POOLS[amount % POOLS.length] ?? "";
    this.#poolByJob.set(jobId, pool);
    const step = v.parse(jobStepSchema, {
      taskCount: 1 + amount % 3,
      needs: { cpuMillicores: 100 },
      ...work,
    });
    void this.#fixture.submit(jobId, [step], { pathPrefix: `/${pool}/` });
  }

  #cancel(amount: number): void {
    const jobIds = [...this.#poolByJob.keys()];
    const jobId = jobIds[amount % Math.max(1, jobIds.length)];
    if (jobId !== undefined) {
      this.#apply({ type: "cancel", jobId });
    }
  }

  #setZone(zone: string, isOut: boolean): void {
    this.#apply({ type: "zone", zone, isOut });
  }

  #putQueues(queues: readonly JobQueue[]): void {
    const { catalog } = this.#fixture.state.scheduling;
    const pools = POOLS.map((name) => ({
      name,
      isStandby: false,
      guardsCapacity: false,
    }));
    const version = catalog.version + 1;
    this.#apply({
      type: "catalog",
      catalog: { ...catalog, queues: [...queues], pools, version },
    });
  }

  #answerAll(): void {
    const { runners } = this.#fixture;
    runners.lostPercent = 0;
    runners.latePercent = 0;
    this.#fixture.maxCommitDelayMs = 0;
  }

  #apply(operation: SchedulingOperation): void {
    this.#fixture.apply({
      type: "scheduling",
      atMs: this.#fixture.clock.nowMs(),
      operations: [operation],
    });
  }
}

// Guards against ROUTE, EVAC, DRAIN and LOST at once: queues that share a name,
// and planned changes while runners do not answer, start again or are lost.
describe("planned changes beside disturbances of runners", () => {
  describe("in random order", () => {
    it("let no start be sent against them, and no task run twice or wait for good", async () => {
      const steps = fc.array(stepArbitrary, {
        minLength: MIN_STEP_COUNT,
        maxLength: MAX_STEP_COUNT,
        size: "max",
      });
      const history = fc.asyncProperty(
        steps,
        fc.nat(1_000),
        (steps, seed) => new PlannedChangeHistory(seed).check(steps),
      );
      await fc.assert(history, {
        seed: SEED,
        numRuns: RUN_COUNT,
        interruptAfterTimeLimit: TIME_LIMIT_MS,
        markInterruptAsFailure: false,
        includeErrorInReport: true,
      });
    });
  });
});
