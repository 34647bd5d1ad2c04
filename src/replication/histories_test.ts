import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, FakeCluster, it, ReplicaHistory } from "../testing/index.ts";

const VOTERS = ["a", "b", "c", "d", "e"];
const VOTER_COUNTS = [3, 5];
const OBSERVER = "z";
const SEED = Number(process.env["SEED"] ?? 20_261);
const RUN_COUNT = Number(process.env["RUNS"] ?? 60);
const TIME_LIMIT_MS = Number(process.env["TIME_LIMIT_MS"] ?? 35_000);
const MAX_STEP_COUNT = 24;
const MAX_STEP_MS = 1_500;
const CHECK_INTERVAL_MS = 100;
const SETTLE_MS = 12_000;

const voter = fc.constantFrom(...VOTERS);
const anyEntry = fc.constantFrom(...VOTERS, OBSERVER);

const ACTIONS = {
  propose: { weight: 8, target: anyEntry },
  resend: { weight: 3, target: anyEntry },
  crash: { weight: 2, target: anyEntry },
  restart: { weight: 4, target: anyEntry },
  wipe: { weight: 2, target: voter },
  isolate: { weight: 2, target: anyEntry },
  cutOneWay: { weight: 2, target: voter },
  pause: { weight: 2, target: anyEntry },
  resume: { weight: 3, target: anyEntry },
  disturb: { weight: 1, target: anyEntry },
  handOver: { weight: 1, target: voter },
  heal: { weight: 3, target: anyEntry },
} as const;

type Action = keyof typeof ACTIONS;

const stepArbitrary = fc.oneof(
  ...Object.entries(ACTIONS).map(([action, { weight, target }]) => ({
    weight,
    arbitrary: fc.record({
      action: fc.constant(action as Action),
      target,
      other: voter,
      amount: fc.nat(100),
      waitMs: fc.nat(MAX_STEP_MS),
    }),
  })),
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

// Losing a second disk before the first one is replaced may lose data by design.
function mayWipe(cluster: FakeCluster): boolean {
  const leaderId = cluster.listLeaders()[0];
  if (leaderId === undefined) {
    return false;
  }
  const { voters } = cluster.replica(leaderId).state.membership;
  return voters.length === cluster.entryIds.length - 1 &&
    voters.every(({ entryId, storeId }) =>
      cluster.find(entryId).storeId === storeId
    );
}

async function takeStep(
  cluster: FakeCluster,
  history: ReplicaHistory,
  step: Step,
): Promise<void> {
  const { action, amount } = step;
  const { network } = cluster;
  const [target, other] = [step.target, step.other].map((entryId) =>
    cluster.entries.has(entryId) ? entryId : "a"
  ) as [string, string];
  switch (action) {
    case "propose":
      return history.propose(target);
    case "resend":
      return history.resend(target);
    case "crash":
      return cluster.crash(target, amount);
    case "wipe":
      return mayWipe(cluster) ? cluster.wipe(target) : undefined;
    case "restart":
      return await restartAll(cluster);
    case "isolate":
      return network.isolate(target);
    case "cutOneWay":
      return network.setFaults(target, other, { cut: true });
    case "pause":
      return cluster.pause(target);
    case "resume":
      return cluster.entryIds.forEach((entryId) => cluster.resume(entryId));
    case "disturb":
      return network.setDefaults({
        lossPercent: amount / 5,
        duplicatePercent: amount / 3,
        jitterMs: amount * 3,
      });
    case "handOver":
      return void cluster.find(target).replica?.transferLeadership();
    case "heal":
      network.setDefaults({});
      return network.heal();
  }
}

async function restartAll(cluster: FakeCluster): Promise<void> {
  for (const { entryId, replica } of cluster.entries.values()) {
    if (replica === undefined) {
      assert.is(await cluster.startEntry(entryId), undefined);
    }
  }
}

async function advance(
  cluster: FakeCluster,
  history: ReplicaHistory,
  durationMs: number,
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += CHECK_INTERVAL_MS) {
    await cluster.clock.advance(CHECK_INTERVAL_MS);
    history.check();
  }
}

async function runHistory(
  seed: number,
  voterCount: number,
  steps: readonly Step[],
): Promise<void> {
  const cluster = new FakeCluster({
    seed,
    voterIds: VOTERS.slice(0, voterCount),
    observerIds: [OBSERVER],
  });
  await cluster.start();
  await cluster.waitForLeader();
  const history = new ReplicaHistory(cluster);
  for (const step of steps) {
    await takeStep(cluster, history, step);
    await advance(cluster, history, step.waitMs);
  }
  cluster.network.setDefaults({});
  cluster.network.heal();
  cluster.entryIds.forEach((entryId) => cluster.resume(entryId));
  await restartAll(cluster);
  await advance(cluster, history, SETTLE_MS);
  const before = history.acceptedCount;
  history.propose(OBSERVER);
  await advance(cluster, history, SETTLE_MS);
  assert.is(history.acceptedCount, before + 1, "no change is accepted");
  cluster.entryIds.forEach((entryId) => history.checkComplete(entryId));
  cluster.entryIds.forEach((entryId) => cluster.crash(entryId));
}

describe("random histories of replicas", () => {
  it("keep every guarantee under random faults", async () => {
    const property = fc.asyncProperty(
      fc.nat(),
      fc.constantFrom(...VOTER_COUNTS),
      fc.array(stepArbitrary, { minLength: 4, maxLength: MAX_STEP_COUNT }),
      runHistory,
    );
    await fc.assert(property, {
      seed: SEED,
      numRuns: RUN_COUNT,
      interruptAfterTimeLimit: TIME_LIMIT_MS,
    });
  });
});
