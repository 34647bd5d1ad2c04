import process from "node:process";
import * as fc from "fast-check";
import * as assert from "uvu/assert";
import { describe, FakeCluster, it } from "../testing/index.ts";

const FIRST_IDS = ["a1", "a2", "b1", "b2", "c1"];
const SPARE_COUNT = 12;
const SPARE_IDS = Array.from({ length: SPARE_COUNT }, (_, at) => `s${at + 1}`);
const SEED = Number(process.env["SEED"] ?? 20_290);
const RUN_COUNT = Number(process.env["RUNS"] ?? 60);
const TIME_LIMIT_MS = Number(process.env["TIME_LIMIT_MS"] ?? 20_000);
const CHECK_INTERVAL_MS = 100;
/** Time until a new machine takes the place of one that is gone. */
const REPLACEMENT_MS = 1_000;
/** Time after its start in which a machine may still catch up. */
const CATCH_UP_MS = 4_000;
/** Time in which processes that are in touch settle. */
const CONTACT_MS = 3_000;
/** Time with a majority in touch within which it must have a leader. */
const LEADER_WITHIN_MS = CATCH_UP_MS + CONTACT_MS;
const MAX_STEP_COUNT = 14;
const MAX_WAIT_MS = 6_000;
const MAX_OUTAGE_MS = 12_000;
const SETTLE_MS = 30_000;

/** The machines of a deployment, each of which has a successor if it is gone. */
class ReplacedMachines {
  readonly cluster: FakeCluster;
  /** Present machine by its place; two places of a letter share a zone. */
  readonly #idByPlace = new Map(FIRST_IDS.map((id) => [id, id]));
  readonly #startedMs = new Map<string, number>();
  readonly #freeIds = [...SPARE_IDS];
  #events: { readonly atMs: number; readonly act: () => void }[] = [];
  #majoritySinceMs: number | undefined;
  #leaderSeenMs = 0;

  constructor(seed: number) {
    this.cluster = new FakeCluster({
      seed,
      voterIds: FIRST_IDS,
      spareIds: SPARE_IDS,
      replica: { admitsMembers: true },
    });
  }

  get #nowMs(): number {
    return this.cluster.clock.monotonicMs();
  }

  async start(): Promise<void> {
    for (const id of FIRST_IDS) {
      await this.cluster.startEntry(id);
      this.#startedMs.set(id, this.#nowMs);
    }
    await this.cluster.waitForLeader();
    await this.advance(CATCH_UP_MS);
  }

  /** Takes a machine and its disk away for good, and adds a new one. */
  replace(place: string, afterMs = REPLACEMENT_MS): void {
    const nextId = this.#freeIds.shift();
    if (nextId === undefined) {
      return;
    }
    this.#stop(place);
    this.#idByPlace.set(place, nextId);
    this.#later(afterMs, () => this.#startAt(place));
  }

  /** Adds a new machine and then takes an old one away for good. */
  replacePlanned(place: string, afterMs: number): void {
    const nextId = this.#freeIds.shift();
    if (nextId === undefined) {
      return;
    }
    void this.cluster.startEntry(nextId);
    this.#later(afterMs, () => {
      this.#stop(place);
      this.#idByPlace.set(place, nextId);
      this.#startedMs.set(nextId, this.#nowMs);
    });
  }

  /** Stops machines, whose disks stay, for a while or for good. */
  stop(places: readonly string[], durationMs = Infinity): void {
    places.forEach((place) => this.#stop(place));
    if (durationMs < Infinity) {
      this.#later(
        durationMs,
        () => places.forEach((place) => this.#startAt(place)),
      );
    }
  }

  /**
   * Lets the leader crash while a change of the membership is under way.
   *
   * @param afterMs - Time from the proposal to the crash (ms).
   */
  async crashLeaderInChange(afterMs: number): Promise<void> {
    const { clock, entries } = this.cluster;
    const countChanges = () =>
      [...entries.values()].flatMap(({ logger }) => logger.lines)
        .filter(({ message }) => message === "changing the membership").length;
    const before = countChanges();
    while (countChanges() === before) {
      await clock.advance(1);
    }
    await clock.advance(afterMs);
    const [leaderId] = this.cluster.listLeaders();
    const place = [...this.#idByPlace].find(([, id]) => id === leaderId)?.[0];
    this.stop(place === undefined ? [] : [place], REPLACEMENT_MS);
  }

  /** Whether all machines are there and have had the time to catch up. */
  get areAllCaughtUp(): boolean {
    return this.#events.length === 0 &&
      this.#listUp().length === FIRST_IDS.length &&
      this.#listUp().every((id) =>
        this.#nowMs - (this.#startedMs.get(id) ?? 0) >= CATCH_UP_MS
      );
  }

  async advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += CHECK_INTERVAL_MS) {
      await this.cluster.clock.advance(CHECK_INTERVAL_MS);
      const due = this.#events.filter(({ atMs }) => atMs <= this.#nowMs);
      this.#events = this.#events.filter(({ atMs }) => atMs > this.#nowMs);
      due.forEach(({ act }) => act());
      this.#check();
    }
  }

  crashAll(): void {
    this.#listUp().forEach((id) => this.cluster.crash(id));
  }

  #listUp(): string[] {
    return [...this.#idByPlace.values()].filter((id) =>
      this.cluster.entries.get(id)?.replica !== undefined
    );
  }

  #check(): void {
    const isMajority = this.#listUp().length > FIRST_IDS.length / 2;
    this.#majoritySinceMs = isMajority
      ? this.#majoritySinceMs ?? this.#nowMs
      : undefined;
    if (this.cluster.listLeaders().length > 0) {
      this.#leaderSeenMs = this.#nowMs;
    }
    const sinceMs = Math.max(
      this.#majoritySinceMs ?? Infinity,
      this.#leaderSeenMs,
    );
    assert.ok(
      this.#nowMs - sinceMs <= LEADER_WITHIN_MS,
      `${this.#listUp().join(", ")} run, and none of them leads`,
    );
  }

  #stop(place: string): void {
    const id = this.#idByPlace.get(place) ?? "";
    if (this.cluster.entries.get(id)?.replica !== undefined) {
      this.cluster.crash(id);
    }
  }

  #startAt(place: string): void {
    const id = this.#idByPlace.get(place) ?? "";
    if (this.cluster.entries.get(id)?.replica === undefined) {
      this.#startedMs.set(id, this.#nowMs);
      void this.cluster.startEntry(id);
    }
  }

  #later(delayMs: number, act: () => void): void {
    this.#events.push({ atMs: this.#nowMs + delayMs, act });
  }
}

async function play(
  act: (machines: ReplacedMachines) => Promise<void>,
  seed = SEED,
): Promise<void> {
  const machines = new ReplacedMachines(seed);
  await machines.start();
  await act(machines);
  machines.crashAll();
}

const ZONE_A = ["a1", "a2"];

const stepArbitrary = fc.record({
  action: fc.constantFrom(
    "replace",
    "replace",
    "replacePlanned",
    "restart",
    "stopZone",
    "handOver",
  ),
  place: fc.constantFrom(...FIRST_IDS),
  durationMs: fc.integer({ min: 100, max: MAX_OUTAGE_MS }),
  waitMs: fc.nat(MAX_WAIT_MS),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

async function takeStep(
  machines: ReplacedMachines,
  { action, durationMs, place, waitMs }: Step,
): Promise<void> {
  // More losses at once are beyond what the deployment is made for.
  if (machines.areAllCaughtUp) {
    switch (action) {
      case "replace":
        machines.replace(place);
        break;
      case "replacePlanned":
        machines.replacePlanned(place, durationMs);
        break;
      case "restart":
        machines.stop([place], durationMs);
        break;
      case "stopZone":
        machines.stop(
          FIRST_IDS.filter((other) => other[0] === place[0]),
          durationMs,
        );
        break;
      case "handOver": {
        const [leaderId = ""] = machines.cluster.listLeaders();
        void machines.cluster.entries.get(leaderId)?.replica
          ?.transferLeadership();
        break;
      }
    }
  }
  await machines.advance(waitMs);
}

// Guards against deployments without a leader although a majority of their
// machines runs: machines that were replaced went on counting as voters.
describe("voters that are replaced", () => {
  it("leave a group that survives the loss of a zone", () =>
    play(async (machines) => {
      machines.replace("c1");
      await machines.advance(11_000);
      machines.stop(ZONE_A);
      await machines.advance(SETTLE_MS);
    }));

  it("leave such a group after the loss of a machine that comes last", () =>
    play(async (machines) => {
      machines.replacePlanned("b1", 2_000);
      await machines.advance(13_000);
      machines.stop(ZONE_A);
      await machines.advance(SETTLE_MS);
    }));

  it("leave such a group when two are replaced at once", () =>
    play(async (machines) => {
      machines.replace("b1");
      machines.replace("c1");
      await machines.advance(SETTLE_MS);
      machines.stop(ZONE_A);
      await machines.advance(SETTLE_MS);
    }));

  it("leave such a group when two are replaced as planned at once", () =>
    play(async (machines) => {
      machines.replacePlanned("b1", 2_000);
      machines.replacePlanned("c1", 2_000);
      await machines.advance(SETTLE_MS);
      machines.stop(ZONE_A);
      await machines.advance(SETTLE_MS);
    }));

  for (const gapMs of [3_000, 4_500, 9_000]) {
    it(`keep a leader when all are replaced, one every ${gapMs} ms`, () =>
      play(async (machines) => {
        for (const place of FIRST_IDS) {
          machines.replace(place);
          await machines.advance(gapMs);
        }
        await machines.advance(SETTLE_MS);
      }));
  }

  // A change that is not committed counts for those that have it only.
  for (const afterMs of [0, 1, 3, 10, 100]) {
    it(`keep a leader if one crashes ${afterMs} ms after it began a change`, () =>
      play(async (machines) => {
        for (const place of ["c1", "b1", "a1"]) {
          machines.replace(place);
          await machines.advance(REPLACEMENT_MS);
          await machines.crashLeaderInChange(afterMs);
          await machines.advance(SETTLE_MS / 2);
          machines.stop(ZONE_A, CONTACT_MS);
          await machines.advance(SETTLE_MS / 2);
        }
      }));
  }

  it("keep a leader in random histories of replacements and restarts", async () => {
    const property = fc.asyncProperty(
      fc.nat(),
      fc.array(stepArbitrary, { minLength: 4, maxLength: MAX_STEP_COUNT }),
      (seed, steps) =>
        play(async (machines) => {
          for (const step of steps) {
            await takeStep(machines, step);
          }
          await machines.advance(SETTLE_MS);
        }, seed),
    );
    await fc.assert(property, {
      seed: SEED,
      numRuns: RUN_COUNT,
      interruptAfterTimeLimit: TIME_LIMIT_MS,
    });
  });
});
