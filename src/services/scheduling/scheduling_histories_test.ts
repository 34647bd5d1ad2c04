import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../adapters/random/index.ts";
import { jobStepSchema } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { RunSpan } from "../../testing/fake_runner_incarnation.ts";
import { checkNeverTwice } from "../../testing/run_span_checks.ts";
import { SchedulingFixture } from "../../testing/scheduling_fixture.ts";

const SEED = Number(process.env["SEED"] ?? 20_263);
const RUN_COUNT = Number(process.env["RUNS"] ?? 40);
const TIME_LIMIT_MS = Number(process.env["TIME_LIMIT_MS"] ?? 30_000);
const RUNNER_IDS = ["r1", "r2", "r3"];
const RUNNER_MILLICORES = 8_000;
const LIMIT_MILLICORES = 18_000;
const MAX_STEP_MS = 2_500;
const MAX_STEP_COUNT = 20;
/**
 * Delayed requests arrive up to 12 s later; their leases expire 6 s after that.
 */
const RECOVERY_MS = 40_000;
const MAX_CLOCK_DRIFT_PERCENT = 2;
/** Longest delay of a commit at full amount is 3 s. */
const MAX_COMMIT_PERCENT_MS = 30;
/** A proposal is forwarded for 1 s at full amount. */
const FORWARD_PERCENT_MS = 10;
/** Longest step of a leader's wall clock at full amount is 5 s. */
const MAX_STEP_PERCENT_MS = 50;
const LONG_WORK_MS = 5_000;
/** Time for a commit and a plan, and a little more (ms). */
const MAX_PLACING_MS = 100;
/** Time from the start of a successor to its loss at full amount is 20 ms. */
const SUCCESSOR_AMOUNT_PER_MS = 5;
/** Longest pause of a leader at full amount is 2 s. */
const MAX_PAUSE_PERCENT_MS = 20;

const runnerId = fc.constantFrom(...RUNNER_IDS);
const ACTIONS = [
  "submit",
  "submit",
  "submit",
  "changeLeader",
  "crash",
  "restart",
  "cut",
  "join",
  "loseAnswers",
  "delayRequests",
  "answerAll",
] as const;

const LEADER_ACTIONS = [
  ...ACTIONS,
  "submit",
  "submit",
  "submit",
  "slowAnswers",
  "slowCommits",
  "refuseStarts",
  "pauseLeader",
  "pauseLeader",
  "setClockAhead",
  "loseSuccessor",
] as const;

const RESTART_ACTIONS = [
  ...LEADER_ACTIONS,
  "cutAfterRestart",
  "cutAfterRestart",
  "cutAfterRestart",
  "submitLong",
  "submitLong",
] as const;
/** Time for which a VM is without power (ms). */
const POWER_LOSS_MS = 600;
/** Time from the return of power to the cut at full amount is 2.5 s. */
const CUT_AFTER_PERCENT_MS = 25;

const RELAY_IDS = ["relay-a", "relay-b"];
/** Longest pause of a relay at full amount is 5 s. */
const MAX_RELAY_PAUSE_PERCENT_MS = 50;

const RELAY_ACTIONS = [
  ...LEADER_ACTIONS,
  "submit",
  "submit",
  "pauseRelay",
  "pauseRelay",
  "cutRelay",
  "joinRelays",
] as const;

type Action =
  | typeof RELAY_ACTIONS[number]
  | typeof RESTART_ACTIONS[number];

function createStepArbitrary(actions: readonly Action[]) {
  return fc.record({
    action: fc.constantFrom(...actions),
    runnerId,
    amount: fc.nat(100),
    waitMs: fc.nat(MAX_STEP_MS),
  });
}

type Step = ReturnType<typeof createStepArbitrary> extends fc.Arbitrary<infer T>
  ? T
  : never;

function createSteps(amount: number) {
  const first = {
    taskCount: 1 + amount % 4,
    needs: { cpuMillicores: 1_000 + amount * 40 },
    estimateMs: 100 + amount * 30,
  };
  const second = { ...first, taskCount: 2, dependsOn: [0] };
  const steps = amount % 3 === 0 ? [first, second] : [first];
  return steps.map((step) => v.parse(jobStepSchema, step));
}

async function act(
  fixture: SchedulingFixture,
  step: Step,
  jobIds: string[],
): Promise<void> {
  const { runners } = fixture;
  switch (step.action) {
    case "submit": {
      const jobId = String(jobIds.length).padStart(16, "0");
      jobIds.push(jobId);
      void fixture.submit(jobId, createSteps(step.amount));
      break;
    }
    case "changeLeader":
      fixture.changeLeader();
      break;
    case "crash":
      fixture.crash(step.runnerId);
      break;
    case "restart":
      fixture.startRunner(step.runnerId);
      break;
    case "loseSuccessor":
      await loseSuccessor(fixture, step, jobIds);
      break;
    case "cutAfterRestart":
      await cutAfterRestart(fixture, step);
      break;
    case "submitLong": {
      const jobId = String(jobIds.length).padStart(16, "0");
      jobIds.push(jobId);
      const [first] = createSteps(step.amount);
      const long = { taskCount: 1, estimateMs: LONG_WORK_MS };
      void fixture.submit(jobId, first ? [{ ...first, ...long }] : []);
      break;
    }
    case "cut":
      runners.cutIds.add(step.runnerId);
      break;
    case "join":
      runners.cutIds.delete(step.runnerId);
      break;
    case "loseAnswers":
      runners.lostPercent = step.amount % 50;
      break;
    case "delayRequests":
      runners.latePercent = step.amount % 50;
      break;
    case "slowAnswers":
      runners.slowPercent = step.amount;
      break;
    case "slowCommits":
      fixture.maxCommitDelayMs = step.amount * MAX_COMMIT_PERCENT_MS;
      fixture.forwardMs = step.amount * FORWARD_PERCENT_MS;
      break;
    case "refuseStarts":
      runners.unhealthyIds.add(step.runnerId);
      break;
    case "setClockAhead":
      fixture.setLeaderClockAhead(step.amount * MAX_STEP_PERCENT_MS);
      break;
    case "pauseLeader":
      fixture.pauseLeader(step.amount * MAX_PAUSE_PERCENT_MS);
      break;
    case "pauseRelay":
      pauseRelay(fixture, step.amount);
      break;
    case "cutRelay":
      fixture.network.isolate(chooseRelay(step.amount));
      break;
    case "joinRelays":
      fixture.network.heal();
      break;
    case "answerAll":
      answerAll(fixture);
      break;
  }
  await fixture.clock.advance(step.waitMs);
}

/** Lets a runner restart as it gets a task, and cuts it off a little later. */
async function loseSuccessor(
  fixture: SchedulingFixture,
  { amount, runnerId }: Step,
  jobIds: string[],
): Promise<void> {
  const { clock, runners, state: { scheduling } } = fixture;
  const countRuns = () => {
    const runner = scheduling.runners.get(runnerId);
    return runner ? scheduling.jobs.findLoad(runner).running.size : 0;
  };
  const runCount = countRuns();
  const jobId = String(jobIds.length).padStart(16, "0");
  jobIds.push(jobId);
  void fixture.submit(jobId, createSteps(amount));
  for (let at = 0; at < MAX_PLACING_MS && countRuns() <= runCount; at += 1) {
    await clock.advance(1);
  }
  fixture.startRunner(runnerId);
  await clock.advance(Math.ceil(amount / SUCCESSOR_AMOUNT_PER_MS));
  runners.cutIds.add(runnerId);
  fixture.changeLeader();
}

/**
 * Takes a runner's power away, and cuts the runner off soon after it has started
 * again under its id.
 */
async function cutAfterRestart(
  fixture: SchedulingFixture,
  { amount, runnerId }: Step,
): Promise<void> {
  const { clock, runners } = fixture;
  runners.darkIds.add(runnerId);
  fixture.crash(runnerId);
  await clock.advance(POWER_LOSS_MS);
  fixture.startRunner(runnerId);
  runners.darkIds.delete(runnerId);
  await clock.advance(amount * CUT_AFTER_PERCENT_MS);
  runners.cutIds.add(runnerId);
  if (amount % 3 === 0) {
    fixture.changeLeader();
  }
}

function chooseRelay(amount: number): string {
  return RELAY_IDS[amount % RELAY_IDS.length] ?? "";
}

// Requests and answers that arrive meanwhile are handled after the pause.
function pauseRelay(fixture: SchedulingFixture, amount: number): void {
  const relayId = chooseRelay(amount);
  fixture.network.pause(relayId);
  void fixture.clock.sleep(amount * MAX_RELAY_PAUSE_PERCENT_MS).then(() =>
    fixture.network.resume(relayId)
  );
}

function answerAll(fixture: SchedulingFixture): void {
  const { runners } = fixture;
  runners.lostPercent = 0;
  runners.latePercent = 0;
  runners.slowPercent = 0;
  runners.unhealthyIds.clear();
  fixture.maxCommitDelayMs = 0;
  fixture.forwardMs = 0;
}

async function heal(fixture: SchedulingFixture): Promise<void> {
  fixture.runners.cutIds.clear();
  fixture.network.heal();
  answerAll(fixture);
  await fixture.clock.advance(RECOVERY_MS);
  RUNNER_IDS.forEach((id) => fixture.startRunner(id));
  await fixture.clock.advance(RECOVERY_MS);
}

function checkLoad(
  spans: readonly RunSpan[],
  limitMillicores: number,
  what: string,
): void {
  const events = spans.flatMap(({ fromMs, toMs, millicores }) => [
    { atMs: fromMs, change: millicores },
    { atMs: toMs, change: -millicores },
  ]).toSorted((left, right) =>
    left.atMs - right.atMs || left.change - right.change
  );
  let load = 0;
  for (const { atMs, change } of events) {
    load += change;
    assert.ok(load <= limitMillicores, `${what}: ${load} at ${atMs} ms`);
  }
}

async function checkHistory(
  steps: readonly Step[],
  seed: number,
  maxClockDriftPercent = 0,
  relayIds: readonly string[] = [],
): Promise<void> {
  const fixture = new SchedulingFixture({
    clock: new FakeClock(),
    random: new SeededRandom(seed),
    runnerIds: RUNNER_IDS,
    limitMillicores: LIMIT_MILLICORES,
    maxClockDriftPercent,
    relayIds,
  });
  fixture.changeLeader();
  await fixture.clock.advance(50);
  const jobIds: string[] = [];
  for (const step of steps) {
    await act(fixture, step, jobIds);
  }
  await heal(fixture);
  fixture.runners.advanceAll();
  const { spans } = fixture.runners;
  checkNeverTwice(spans);
  for (const id of RUNNER_IDS) {
    const own = spans.filter((span) => span.runnerId === id);
    checkLoad(own, RUNNER_MILLICORES, `runner ${id}`);
  }
  checkLoad(spans, LIMIT_MILLICORES, "the team");
  const { jobs } = fixture.state.scheduling;
  const open = jobIds.filter((id) => {
    const state = jobs.find(id)?.state;
    return state === "queued" || state === "running";
  });
  assert.equal(open, [], "all accepted jobs have ended");
  await fixture.stop();
}

function createHistory(
  ...steps: readonly [Step["action"], string, number, number][]
): Step[] {
  return steps.map(([action, runnerId, amount, waitMs]) => ({
    action,
    runnerId,
    amount,
    waitMs,
  }));
}

/** Histories that once violated an invariant, titled with the cause. */
const REGRESSIONS = [
  {
    title: "a request to a previous incarnation runs on the new one",
    seed: 0,
    steps: createHistory(["submit", "r1", 0, 1_467], ["restart", "r1", 0, 0]),
  },
  {
    title:
      "a task is placed on a previous incarnation while its runs are stopped",
    seed: 7,
    steps: createHistory(
      ["submit", "r1", 0, 553],
      ["submit", "r1", 0, 218],
      ["submit", "r1", 0, 1_297],
      ["loseAnswers", "r1", 35, 849],
      ["restart", "r1", 0, 0],
      ["submit", "r1", 5, 145],
      ["changeLeader", "r3", 82, 2_482],
    ),
  },
  {
    title: "a plan names an incarnation that has ended meanwhile",
    seed: 187,
    steps: createHistory(
      ["submit", "r1", 0, 2_065],
      ["submit", "r1", 0, 795],
      ["crash", "r1", 0, 1_031],
      ["crash", "r3", 0, 919],
      ["submit", "r1", 0, 1_645],
      ["submit", "r2", 85, 714],
      ["submit", "r3", 91, 515],
      ["restart", "r1", 11, 600],
      ["submit", "r1", 74, 1_275],
    ),
  },
  {
    title:
      "a run at a successor ends after the previous incarnation is removed",
    seed: 0,
    maxClockDriftPercent: MAX_CLOCK_DRIFT_PERCENT,
    steps: createHistory(
      ["submit", "r1", 46, 1798],
      ["restart", "r2", 0, 1404],
      ["submit", "r1", 0, 4],
      ["submit", "r1", 31, 3],
      ["submit", "r1", 11, 0],
      ["submit", "r1", 93, 2029],
      ["refuseStarts", "r3", 0, 2182],
      ["changeLeader", "r1", 76, 1927],
      ["submit", "r1", 54, 896],
      ["refuseStarts", "r1", 48, 730],
      ["submit", "r2", 1, 5],
      ["join", "r1", 69, 1797],
      ["setClockAhead", "r2", 55, 2491],
      ["loseAnswers", "r1", 96, 0],
      ["pauseLeader", "r1", 100, 1056],
      ["slowCommits", "r2", 3, 904],
      ["restart", "r2", 19, 2495],
      ["delayRequests", "r2", 30, 2495],
      ["refuseStarts", "r3", 42, 2315],
      ["submit", "r3", 79, 892],
      ["submit", "r3", 16, 2495],
      ["submit", "r1", 98, 7],
      ["submit", "r1", 11, 1728],
      ["changeLeader", "r1", 15, 11],
      ["setClockAhead", "r3", 100, 1960],
    ),
  },
  {
    title: "a successor deletes the ends that its predecessor was to delete",
    seed: 831,
    maxClockDriftPercent: MAX_CLOCK_DRIFT_PERCENT,
    steps: createHistory(
      ["delayRequests", "r1", 38, 2210],
      ["restart", "r3", 0, 3],
      ["submit", "r1", 59, 22],
      ["submit", "r1", 4, 183],
      ["answerAll", "r1", 0, 107],
      ["loseAnswers", "r1", 72, 512],
      ["restart", "r3", 0, 1425],
      ["slowCommits", "r1", 40, 212],
      ["submit", "r1", 37, 903],
      ["pauseLeader", "r1", 50, 222],
      ["submit", "r1", 72, 305],
      ["submit", "r1", 74, 1777],
      ["join", "r1", 0, 765],
      ["submit", "r1", 33, 335],
      ["submit", "r1", 32, 1405],
      ["join", "r1", 0, 643],
      ["slowAnswers", "r1", 35, 851],
      ["slowCommits", "r1", 68, 1335],
      ["submit", "r1", 4, 1779],
      ["submit", "r1", 83, 1613],
      ["changeLeader", "r3", 46, 108],
      ["changeLeader", "r3", 33, 863],
      ["restart", "r1", 98, 2215],
      ["pauseLeader", "r3", 96, 1713],
      ["join", "r3", 54, 1833],
      ["crash", "r1", 29, 512],
      ["pauseLeader", "r2", 6, 859],
      ["pauseLeader", "r3", 70, 1157],
      ["changeLeader", "r3", 7, 396],
      ["restart", "r2", 76, 2424],
      ["submit", "r2", 54, 159],
      ["pauseLeader", "r3", 18, 1754],
    ),
  },
  {
    title:
      "a relay delivers a start after its run has ended and the runner restarted",
    seed: 0,
    maxClockDriftPercent: MAX_CLOCK_DRIFT_PERCENT,
    relayIds: RELAY_IDS,
    steps: createHistory(
      ["submit", "r1", 0, 0],
      ["submit", "r1", 0, 0],
      ["submit", "r1", 0, 728],
      ["submit", "r1", 0, 743],
      ["pauseRelay", "r1", 63, 0],
      ["submit", "r1", 0, 0],
      ["submit", "r1", 0, 0],
      ["submit", "r1", 34, 998],
      ["restart", "r1", 0, 0],
      ["submit", "r1", 0, 0],
    ),
  },
];

/** A lease of 3.4 s, the drift of a slow clock, a retry pause and the commits. */
const LOST_WORK_RESTART_MS = 4_000;

describe("scheduling", () => {
  describe("a runner that stops responding", () => {
    it("loses its long-running tasks once its leases have expired", async () => {
      const fixture = new SchedulingFixture({
        clock: new FakeClock(),
        random: new SeededRandom(SEED),
        runnerIds: RUNNER_IDS,
      });
      fixture.changeLeader();
      await fixture.clock.advance(100);
      const longRunning = v.parse(jobStepSchema, {
        taskCount: 1,
        needs: { cpuMillicores: 1_000 },
        isEndless: true,
      });
      void fixture.submit("0".repeat(16), [longRunning]);
      await fixture.clock.advance(2_000);
      const { cutIds, spans } = fixture.runners;
      assert.is(spans.length, 1);
      cutIds.add(spans[0]?.runnerId ?? "");
      await fixture.clock.advance(LOST_WORK_RESTART_MS);
      assert.is(spans.length, 2);
      fixture.runners.advanceAll();
      checkNeverTwice(spans);
      await fixture.stop();
    });
  });

  describe("histories that once violated an invariant", () => {
    for (const { title, seed, steps, ...options } of REGRESSIONS) {
      const { maxClockDriftPercent, relayIds } = options;
      it(
        title,
        () => checkHistory(steps, seed, maxClockDriftPercent, relayIds),
      );
    }
  });

  async function checkRandomHistories(
    steps: fc.Arbitrary<Step[]>,
    maxClockDriftPercent: number,
    relayIds: readonly string[] = [],
  ): Promise<void> {
    const histories = fc.asyncProperty(
      steps,
      fc.nat(1_000),
      (steps, seed) =>
        checkHistory(steps, seed, maxClockDriftPercent, relayIds),
    );
    await fc.assert(histories, {
      seed: SEED,
      numRuns: RUN_COUNT,
      interruptAfterTimeLimit: TIME_LIMIT_MS,
      markInterruptAsFailure: false,
      includeErrorInReport: true,
    });
  }

  it("keeps its invariants under random faults", async () => {
    const steps = fc.array(createStepArbitrary(ACTIONS), {
      maxLength: MAX_STEP_COUNT,
    });
    await checkRandomHistories(steps, 0);
  });

  it("keeps its invariants with late commits, pauses of the leader and drifting clocks", async () => {
    const steps = fc.array(createStepArbitrary(LEADER_ACTIONS), {
      minLength: MAX_STEP_COUNT / 2,
      maxLength: 2 * MAX_STEP_COUNT,
      size: "max",
    });
    await checkRandomHistories(steps, MAX_CLOCK_DRIFT_PERCENT);
  });

  it("keeps its invariants with runners that are cut off after a restart", async () => {
    const steps = fc.array(createStepArbitrary(RESTART_ACTIONS), {
      minLength: MAX_STEP_COUNT / 2,
      maxLength: 2 * MAX_STEP_COUNT,
      size: "max",
    });
    await checkRandomHistories(steps, MAX_CLOCK_DRIFT_PERCENT);
  });

  it("keeps its invariants with relays that pause and are cut off", async () => {
    const steps = fc.array(createStepArbitrary(RELAY_ACTIONS), {
      minLength: MAX_STEP_COUNT / 2,
      maxLength: 2 * MAX_STEP_COUNT,
      size: "max",
    });
    await checkRandomHistories(steps, MAX_CLOCK_DRIFT_PERCENT, RELAY_IDS);
  });
});
