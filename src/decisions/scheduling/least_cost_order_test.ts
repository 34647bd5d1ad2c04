import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  createRoom,
  createTeam,
  createWaitingStep,
  CROWDED_POOL,
  playCrowdedPool,
  type WaitingStepOptions,
} from "../../testing/crowded_pool.ts";
import { describe, it } from "../../testing/describe.ts";
import { LONG_WAIT_MS, NO_ROOM } from "./fleet_room.ts";
import { LeastCostOrderPolicy } from "./least_cost_order.ts";
import { SlackOrderPolicy } from "./order_policy.ts";
import type { ReadyStep } from "./ready_step.ts";

const NOW_MS = 10_000;
const SEED = 3;
const policy = new LeastCostOrderPolicy();
const baseline = new SlackOrderPolicy();

function createSteps(
  count: number,
  options: Omit<WaitingStepOptions, "dueMs"> = {},
  dueMs = NOW_MS,
): ReadyStep[] {
  return Array.from(
    { length: count },
    () => createWaitingStep({ dueMs, ...options }),
  );
}

function countInTime(
  ends: ReadonlyMap<ReadyStep, number>,
  team?: string,
): number {
  return [...ends].filter(([step, endMs]) =>
    endMs <= step.targetEndMs && (team === undefined || step.job.team === team)
  ).length;
}

describe("order by least cost", () => {
  describe("with enough room", () => {
    // Guards against a limit on a rate: a team may use all that others leave.
    it("is the order of slack, whatever teams use", () => {
      const teams = [createTeam("hot", 1), createTeam("calm", 9)];
      const room = createRoom({
        cores: 100,
        usedCoresByTeam: { hot: 60 },
        teams,
      });
      const steps = [
        ...createSteps(3, { team: "calm", slackMs: 900 }),
        ...createSteps(3, { team: "hot", slackMs: 100, priority: 5 }),
        ...createSteps(1, {}, NOW_MS - 20_000),
        ...createSteps(1, { isEndless: true }),
      ];
      const order = policy.rank(steps, NOW_MS, room);
      assert.equal(
        order.ranked.map(({ step }) => step),
        baseline.sort(steps, NOW_MS),
      );
      assert.is(order.fullPools.size, 0);
    });

    it("equals the baseline for any steps whose pool was not measured", () => {
      const step = fc.record({
        dueMs: fc.integer({ min: 0, max: NOW_MS }),
        taskCount: fc.integer({ min: 1, max: 9 }),
        priority: fc.integer({ min: 0, max: 3 }),
        isEndless: fc.boolean(),
      });
      fc.assert(
        fc.property(fc.array(step), (options) => {
          const steps = options.map(createWaitingStep);
          assert.equal(
            policy.sort(steps, NOW_MS, NO_ROOM).map(toId),
            baseline.sort(steps, NOW_MS).map(toId),
          );
        }),
        { seed: SEED },
      );
    });
  });

  describe("one team that sends many times its usual beside others", () => {
    const teams = [
      createTeam("hot", 1),
      createTeam("a", 1),
      createTeam("b", 1),
    ];

    it("places the others' steps first, beyond the share of the team", () => {
      const room = createRoom({
        cores: 30,
        usedCoresByTeam: { hot: 20, a: 4, b: 4 },
        teams,
      });
      const hot = createSteps(30, { team: "hot", slackMs: 500 });
      const others = [
        ...createSteps(3, { team: "a" }),
        ...createSteps(3, { team: "b" }),
      ];
      const { ranked, fullPools } = policy.rank(
        [...hot, ...others],
        NOW_MS,
        room,
      );
      assert.ok(
        ranked.slice(0, 6).every(({ step }) => step.job.team !== "hot"),
      );
      const pool = fullPools.get(CROWDED_POOL);
      assert.equal([...pool?.shareByTeam.keys() ?? []], ["hot"]);
    });

    it("gives the team its share within one plan, and no more", () => {
      const room = createRoom({ cores: 30, teams });
      const steps = [
        ...createSteps(60, { team: "hot", slackMs: 500 }),
        ...createSteps(15, { team: "a" }),
        ...createSteps(15, { team: "b" }),
      ];
      const placed = policy.sort(steps, NOW_MS, room).slice(0, 30);
      const hotCount = placed.filter(({ job }) => job.team === "hot").length;
      assert.is(hotCount, 10);
    });

    it("ends the others' steps in time for as long as it lasts", () => {
      const play = (order: LeastCostOrderPolicy | SlackOrderPolicy) => {
        const arrivals: ReadyStep[] = [];
        for (let dueMs = 0; dueMs < 8_000; dueMs += 100) {
          arrivals.push(
            ...createSteps(7, { team: "hot" }, dueMs),
            ...createSteps(1, { team: "a" }, dueMs + 20),
            ...createSteps(1, { team: "b" }, dueMs + 40),
          );
        }
        const ends = playCrowdedPool({
          policy: order,
          cores: 30,
          teams,
          arrivals,
          untilMs: 40_000,
        });
        return {
          others: countInTime(ends, "a") + countInTime(ends, "b"),
          all: countInTime(ends),
          endedCount: ends.size,
        };
      };
      const least = play(policy);
      const slack = play(baseline);
      assert.is(least.others, 160, `${slack.others} by slack`);
      assert.is(least.endedCount, 720);
      assert.ok(least.all >= slack.all, `${least.all}, ${slack.all} by slack`);
      assert.ok(slack.others < 100, `${slack.others} by slack`);
    });

    it("lets it have the room that others leave", () => {
      const room = createRoom({ cores: 30, teams });
      const steps = [
        ...createSteps(60, { team: "hot" }),
        ...createSteps(2, { team: "a" }),
      ];
      const { fullPools } = policy.rank(steps, NOW_MS, room);
      const share = fullPools.get(CROWDED_POOL)?.shareByTeam.get("hot");
      assert.is(share, 28_000);
    });

    it("lets a small team begin one step that is larger than its share", () => {
      const room = createRoom({
        cores: 30,
        teams: [createTeam("small", 1), createTeam("large", 99)],
      });
      const small = createWaitingStep({
        dueMs: NOW_MS,
        team: "small",
        cores: 2,
      });
      const { ranked } = policy.rank(
        [small, ...createSteps(60, { team: "large" })],
        NOW_MS,
        room,
      );
      assert.is(
        ranked.find(({ step }) => step === small)?.isBeyondShare,
        false,
      );
    });
  });

  describe("teams without a weight and jobs without a team", () => {
    it("have no share that they could exceed", () => {
      const room = createRoom({
        cores: 10,
        usedCoresByTeam: { free: 8 },
        teams: [createTeam("free", 0), createTeam("a", 1)],
      });
      const steps = [
        ...createSteps(4, { team: "free" }),
        ...createSteps(4),
        ...createSteps(14, { team: "a" }),
      ];
      const { ranked } = policy.rank(steps, NOW_MS, room);
      const beyond = ranked.filter(({ isBeyondShare }) => isBeyondShare);
      assert.is(beyond.length, 4);
      assert.ok(beyond.every(({ step }) => step.job.team === "a"));
    });
  });

  describe("an overload whose usual delay makes every step late", () => {
    // Guards against the oldest of the late steps taking all the room: what
    // arrives afterwards waits until it is late as well.
    it("ends as many steps in time as the room allows, or nearly", () => {
      const cores = 10;
      const loadMs = 6_000;
      const arrivals: ReadyStep[] = [];
      for (let dueMs = 0; dueMs < loadMs; dueMs += 60) {
        arrivals.push(createWaitingStep({ dueMs }));
      }
      const usualDelay = { find: () => 1_500 };
      const ends = playCrowdedPool({
        policy: new LeastCostOrderPolicy(usualDelay),
        cores,
        arrivals,
        untilMs: 40_000,
      });
      const roomCount = cores * loadMs / 1_000;
      const counts = `${countInTime(ends)} of ${roomCount}`;
      assert.ok(countInTime(ends) >= 0.9 * roomCount, counts);
      assert.is(ends.size, arrivals.length);
    });
  });

  describe("a burst that cannot all end in time", () => {
    it("delays one long job in favour of many short ones", () => {
      const room = createRoom({ cores: 10 });
      const long = createWaitingStep({
        dueMs: NOW_MS,
        taskCount: 20,
        slackMs: 500,
      });
      const short = createSteps(14, { slackMs: 600 });
      const { ranked } = policy.rank([long, ...short], NOW_MS, room);
      assert.is(ranked.at(-1)?.step, long);
      assert.is(ranked.at(-1)?.place, "leastCost");
      assert.is(baseline.sort([long, ...short], NOW_MS)[0], long);
    });

    // Each sixth job has 24 tasks, the others 4, and tasks last between 0.4 and
    // 1.6 times their estimate.
    it("ends more jobs in time, and all of them", () => {
      const play = (order: LeastCostOrderPolicy | SlackOrderPolicy) => {
        const random = new SeededRandom(SEED);
        const runsMs = new Map<ReadyStep, number>();
        for (let dueMs = 0; dueMs < 6_000; dueMs += 25) {
          const taskCount = random.nextInt(6) === 0 ? 24 : 4;
          const step = createWaitingStep({ dueMs, taskCount });
          runsMs.set(step, 400 + random.nextInt(1_200));
        }
        return playCrowdedPool({
          policy: order,
          cores: 120,
          arrivals: [...runsMs.keys()],
          untilMs: 40_000,
          findRunMs: (step) => runsMs.get(step) ?? 0,
        });
      };
      const least = play(policy);
      const slack = play(baseline);
      assert.is(least.size, 240);
      const counts = `${countInTime(least)}, ${countInTime(slack)} by slack`;
      assert.ok(countInTime(least) > countInTime(slack), counts);
    });

    it("delays steps of low priority, of the queue before the team", () => {
      const teams = [createTeam("high", 0, 0), createTeam("low", 0, 1)];
      const room = createRoom({ cores: 10, teams });
      const urgent = createSteps(6, { team: "low", slackMs: 900 });
      const lowTeam = createSteps(10, {
        team: "low",
        slackMs: 900,
        priority: 1,
      });
      const highTeam = createSteps(6, {
        team: "high",
        slackMs: 900,
        priority: 1,
      });
      const { ranked } = policy.rank(
        [...lowTeam, ...highTeam, ...urgent],
        NOW_MS,
        room,
      );
      const delayed = ranked.filter(({ place }) => place === "leastCost");
      assert.ok(delayed.length > 0);
      assert.ok(delayed.every(({ step }) => lowTeam.includes(step)));
    });

    // Guards against jobs that are late only because their team's share is less
    // than what it asks for, in a pool that is full for a moment.
    it("keeps the order of slack while all can end in time", () => {
      const teams = [createTeam("large", 9), createTeam("small", 1)];
      const room = createRoom({ cores: 20, teams });
      const steps = [
        ...createSteps(15, { team: "large", slackMs: 1_500 }),
        ...createSteps(10, { team: "small", slackMs: 700 }),
      ];
      const { ranked, fullPools } = policy.rank(steps, NOW_MS, room);
      const full = fullPools.get(CROWDED_POOL);
      assert.equal([...full?.shareByTeam.keys() ?? []], ["small"]);
      assert.equal(
        ranked.map(({ step }) => toId(step)),
        baseline.sort(steps, NOW_MS).map(toId),
      );
    });

    it("delays nothing while all can end in time", () => {
      const room = createRoom({ cores: 10 });
      const steps = createSteps(18, { slackMs: 1_500 });
      const { ranked, fullPools } = policy.rank(steps, NOW_MS, room);
      assert.is(fullPools.size, 1);
      assert.ok(ranked.every(({ place }) => place === "inTime"));
    });
  });

  describe("late steps in a full pool", () => {
    it("come after those in time, and the useless ones last", () => {
      const room = createRoom({ cores: 1 });
      const useless = createWaitingStep({ dueMs: NOW_MS - 9_000 });
      const late = createWaitingStep({ dueMs: NOW_MS - 3_000 });
      const inTime = createWaitingStep({ dueMs: NOW_MS });
      assert.equal(
        policy.sort([useless, late, inTime], NOW_MS, room).map(toId),
        [inTime, late, useless].map(toId),
      );
    });

    // Guards against the oldest waiting on while younger ones get that part.
    it("get it in the order in which they came", () => {
      const room = createRoom({ cores: 20, freeCores: 1 });
      const [younger, older] = [5_000, 10_000].map((moreMs) =>
        createWaitingStep({ dueMs: NOW_MS - LONG_WAIT_MS - moreMs })
      );
      assert.ok(younger && older);
      const others = createSteps(5);
      const { ranked } = policy.rank([younger, ...others, older], NOW_MS, room);
      assert.equal(
        ranked.filter(({ place }) => place === "longWait")
          .map(({ step }) => step),
        [older],
      );
      assert.is(ranked[0]?.step, older);
    });

    // Guards against jobs that wait for as long as an overload lasts.
    it("get a small part of the pool after a long wait", () => {
      const old = createSteps(5, { taskCount: 2 }, -LONG_WAIT_MS);
      const arrivals = [...old, ...createSteps(60, {}, -10)];
      for (let dueMs = 0; dueMs < 30_000; dueMs += 50) {
        arrivals.push(...createSteps(4, {}, dueMs));
      }
      const play = (order: LeastCostOrderPolicy | SlackOrderPolicy) => {
        const ends = playCrowdedPool({
          policy: order,
          cores: 40,
          arrivals: arrivals.map((step) =>
            createWaitingStep({
              dueMs: step.job.acceptedAtMs,
              taskCount: step.step.taskCount,
            })
          ),
          untilMs: 15_000,
        });
        return [...ends.keys()]
          .filter(({ job }) => job.acceptedAtMs < -10).length;
      };
      assert.is(play(policy), 5);
      assert.is(play(baseline), 0);
    });
  });

  describe("long-running steps in a full pool", () => {
    it("come first, whatever their team uses", () => {
      const teams = [createTeam("hot", 1), createTeam("calm", 9)];
      const room = createRoom({
        cores: 10,
        usedCoresByTeam: { hot: 9 },
        teams,
      });
      const lasting = createWaitingStep({
        dueMs: NOW_MS,
        team: "hot",
        isEndless: true,
        priority: 9,
      });
      const steps = [...createSteps(9, { team: "calm" }), lasting];
      assert.is(policy.sort(steps, NOW_MS, room)[0], lasting);
    });
  });

  describe("any steps in any room", () => {
    it("keep their number, and start with one that fits by its place", () => {
      const step = fc.record({
        dueMs: fc.integer({ min: 0, max: NOW_MS }),
        taskCount: fc.integer({ min: 1, max: 30 }),
        estimateMs: fc.integer({ min: 0, max: 3_000 }),
        priority: fc.integer({ min: 0, max: 2 }),
        team: fc.constantFrom("a", "b", "c", undefined),
        isEndless: fc.boolean(),
      });
      fc.assert(
        fc.property(
          fc.array(step),
          fc.integer({ min: 0, max: 60 }),
          (options, freeCores) => {
            const steps = options.map(createWaitingStep);
            const teams = [createTeam("a", 3), createTeam("b", 1)];
            const room = createRoom({ cores: 60, freeCores, teams });
            const sorted = policy.sort(steps, NOW_MS, room);
            assert.equal(
              sorted.map(toId).toSorted(),
              steps.map(toId).toSorted(),
            );
            const firstEnding = sorted.findIndex(({ step }) => !step.isEndless);
            const ending = firstEnding < 0 ? [] : sorted.slice(firstEnding);
            assert.ok(ending.every(({ step }) => !step.isEndless));
          },
        ),
        { seed: SEED },
      );
    });
  });
});

function toId({ job }: ReadyStep): string {
  return job.spec.jobId;
}
