import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import type { AgreementStatus } from "../ports/index.ts";
import { describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c", "d", "e"];
const SEED = Number(process.env["SEED"] ?? 20_271);
const RUN_COUNT = Number(process.env["RUNS"] ?? 100);
const TIME_LIMIT_MS = Number(process.env["TIME_LIMIT_MS"] ?? 20_000);
const CHECK_INTERVAL_MS = 10;
const MAX_WAIT_MS = 800;
const MIN_STEP_COUNT = 10;
const MAX_STEP_COUNT = 80;
/** Time after the last repair within which a leader must be found again. */
const SETTLE_MS = 15_000;

type Action =
  | "pause"
  | "suspend"
  | "setAhead"
  | "setBack"
  | "slowDisk"
  | "fullDisk"
  | "delay"
  | "cut"
  | "cutOneWay"
  | "handOver"
  | "restart";

const LOST_CONTACT: readonly Action[] = ["pause", "cut", "cutOneWay"];
const ALL_BUT_SET_BACK: readonly Action[] = [
  ...LOST_CONTACT,
  "suspend",
  "setAhead",
  "slowDisk",
  "fullDisk",
  "delay",
  "handOver",
  "restart",
];
const MIXES: Readonly<Record<string, readonly Action[]>> = {
  "wall clocks set ahead": [...LOST_CONTACT, "setAhead"],
  "suspensions and wall clocks set back": [
    ...LOST_CONTACT,
    "suspend",
    "setBack",
  ],
  "slow disks": [...LOST_CONTACT, "slowDisk", "restart"],
  "late resignations": [...LOST_CONTACT, "delay", "fullDisk", "handOver"],
  "all but wall clocks set back": ALL_BUT_SET_BACK,
  "all of these": [...ALL_BUT_SET_BACK, "setBack"],
};

function createStepArbitrary(actions: readonly Action[]) {
  return fc.record({
    action: fc.constantFrom(...actions),
    /** Whether the leader, if there is one, takes the place of the target. */
    atLeader: fc.boolean(),
    target: fc.constantFrom(...VOTERS),
    other: fc.constantFrom(...VOTERS),
    /** The voters whose wall clocks are set. */
    voters: fc.subarray(VOTERS),
    durationMs: fc.integer({ min: 100, max: 3_000 }),
    amountMs: fc.integer({ min: 10, max: 3_000 }),
    waitMs: fc.nat(MAX_WAIT_MS),
  });
}

type Step = ReturnType<typeof createStepArbitrary> extends fc.Arbitrary<infer T>
  ? T
  : never;

class LeaseHistory {
  readonly #cluster: FakeCluster;
  readonly #stopped = new Set<string>();
  #repairs: { readonly atMs: number; readonly act: () => void }[] = [];
  #newestTerm = 0;

  constructor(cluster: FakeCluster) {
    this.#cluster = cluster;
  }

  take(step: Step): void {
    const { action, other, voters, amountMs } = step;
    const cluster = this.#cluster;
    const { clock, network } = cluster;
    const leader = this.listHolders()[0]?.entryId;
    const target = step.atLeader ? leader ?? step.target : step.target;
    const { disk } = cluster.find(target);
    const repairLater = (act: () => void) =>
      this.#repairs.push({ atMs: clock.monotonicMs() + step.durationMs, act });
    switch (action) {
      case "pause":
      case "suspend":
        if (!this.#stopped.has(target)) {
          this.#stopped.add(target);
          cluster[action](target);
          repairLater(() => this.#resume(target));
        }
        return;
      case "setAhead":
        voters.forEach((id) => cluster.find(id).clock.setAhead(amountMs));
        return;
      case "setBack":
        voters.forEach((id) => cluster.find(id).clock.setAhead(-amountMs));
        return;
      case "slowDisk":
        disk.beforeOperation = () => clock.sleep(amountMs);
        repairLater(() => disk.beforeOperation = undefined);
        return;
      case "fullDisk":
        disk.isFull = true;
        repairLater(() => disk.isFull = false);
        return;
      case "delay":
        network.setFaults(target, other, { delayMs: amountMs });
        repairLater(() => network.setFaults(target, other, {}));
        return;
      case "cut":
      case "cutOneWay":
        network.setFaults(target, other, { cut: true });
        network.setFaults(other, target, { cut: action === "cut" });
        repairLater(() => network.heal());
        return;
      case "handOver":
        void cluster.find(target).replica?.transferLeadership();
        return;
      case "restart":
        if (!this.#stopped.has(target)) {
          this.#stopped.add(target);
          cluster.crash(target);
          repairLater(() => this.#restart(target));
        }
        return;
    }
  }

  async advance(durationMs: number): Promise<void> {
    const { clock } = this.#cluster;
    for (let passed = 0; passed < durationMs; passed += CHECK_INTERVAL_MS) {
      await clock.advance(CHECK_INTERVAL_MS);
      const nowMs = clock.monotonicMs();
      const due = this.#repairs.filter(({ atMs }) => atMs <= nowMs);
      this.#repairs = this.#repairs.filter(({ atMs }) => atMs > nowMs);
      due.forEach(({ act }) => act());
      this.#check();
    }
  }

  #resume(entryId: string): void {
    this.#stopped.delete(entryId);
    this.#cluster.resume(entryId);
  }

  #restart(entryId: string): void {
    this.#stopped.delete(entryId);
    const { disk } = this.#cluster.find(entryId);
    disk.isFull = false;
    disk.beforeOperation = undefined;
    void this.#cluster.startEntry(entryId);
  }

  /** Lists the running processes that hold the leader lease. */
  listHolders(): AgreementStatus[] {
    return VOTERS.filter((entryId) => !this.#stopped.has(entryId))
      .map((entryId) => this.#cluster.find(entryId).replica?.status())
      .filter((status) => status !== undefined)
      .filter(({ leaderSinceMs }) => leaderSinceMs !== undefined);
  }

  #check(): void {
    const holders = this.listHolders();
    for (const { entryId, term } of holders) {
      assert.ok(
        term >= this.#newestTerm,
        `${entryId} holds the lease of term ${term} after one of term ${this.#newestTerm}`,
      );
      this.#newestTerm = Math.max(this.#newestTerm, term);
    }
    assert.ok(
      holders.length <= 1,
      `lease holders: ${holders.map(({ entryId }) => entryId).join(", ")}`,
    );
  }
}

async function runHistory(seed: number, steps: readonly Step[]): Promise<void> {
  const cluster = new FakeCluster({ seed, voterIds: VOTERS });
  await cluster.start();
  await cluster.waitForLeader();
  const history = new LeaseHistory(cluster);
  for (const step of steps) {
    history.take(step);
    await history.advance(step.waitMs);
  }
  await history.advance(SETTLE_MS);
  assert.is(history.listHolders().length, 1, "there is no leader at the end");
  VOTERS.forEach((entryId) => cluster.crash(entryId));
}

describe("random histories of leader leases", () => {
  for (const [title, actions] of Object.entries(MIXES)) {
    // Guards against callers that one leader answers from an older state than
    // another one has answered from before.
    it(`have one lease holder at a time with ${title}`, async () => {
      const property = fc.asyncProperty(
        fc.nat(),
        fc.array(createStepArbitrary(actions), {
          minLength: MIN_STEP_COUNT,
          maxLength: MAX_STEP_COUNT,
          size: "max",
        }),
        runHistory,
      );
      await fc.assert(property, {
        seed: SEED,
        numRuns: RUN_COUNT,
        interruptAfterTimeLimit: TIME_LIMIT_MS,
      });
    });
  }
});
