import process from "node:process";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { SeededRandom } from "../../adapters/random/index.ts";
import { FleetState } from "../../domain/index.ts";
import {
  describe,
  FakeClock,
  FakeNetwork,
  it,
  PermitFleet,
  putResources,
  RecordingBackend,
} from "../../testing/index.ts";
import type { SimulatedRequest } from "../../testing/index.ts";

import { PERMIT_LEASE_MS, REPORT_TIMEOUT_MS } from "./permit_times.ts";

const ENTRY_IDS = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];
const SETTLE_MS = 3_000;
const LIMIT_GRACE_MS = 5;
const SLOT_COUNT = 4;
const PROPERTY_RUNS = Number(process.env["CARDAMOMSILL_TEST_RUNS"] ?? 10);
const PROPERTY_SEED = Number(process.env["CARDAMOMSILL_TEST_SEED"] ?? 5);

interface FleetFixture {
  readonly clock: FakeClock;
  readonly random: SeededRandom;
  readonly network: FakeNetwork;
  readonly state: FleetState;
  readonly fleet: PermitFleet;
  readonly violations: string[];
  setLimit(team: string, limit: number): void;
}

interface FleetFixtureOptions {
  readonly seed: number;
  readonly limits: Readonly<Record<string, number>>;
  readonly shares?: Readonly<Record<string, number>>;
  readonly backendCount?: number;
  readonly connectionCount?: number;
}

function createTeam(name: string, maxRunningCount: number, share = 1) {
  return { kind: "team", name, share, maxRunningCount };
}

function createResources(options: FleetFixtureOptions): unknown[] {
  const { limits, shares = {}, backendCount = 6 } = options;
  const vms = Array.from({ length: backendCount }, (_, at) => ({
    kind: "vm",
    name: `vm-${at}`,
    zone: `zone-${at % 2}`,
    rack: "rack-1",
    labels: { pool: at === backendCount - 1 ? "spare" : "main" },
  }));
  return [
    { kind: "zone", name: "zone-0", region: "region-1" },
    { kind: "zone", name: "zone-1", region: "region-1" },
    ...vms,
    { kind: "pool", name: "main", vmSelector: { pool: ["main"] } },
    {
      kind: "pool",
      name: "spare",
      vmSelector: { pool: ["spare"] },
      spare: true,
    },
    { kind: "queue", name: "jobs", poolSelector: {}, maxRunMs: 5_000 },
    ...Object.entries(limits).map(([name, limit]) =>
      createTeam(name, limit, shares[name])
    ),
  ];
}

function createFixture(options: FleetFixtureOptions): FleetFixture {
  const clock = new FakeClock();
  const random = new SeededRandom(options.seed);
  const network = new FakeNetwork(clock, random);
  const state = new FleetState();
  const violations: string[] = [];
  const limits = new Map(Object.entries(options.limits));
  const changedAtMs = new Map<string, number>();
  putResources(state, createResources(options));
  const fleet = new PermitFleet({
    clock,
    random,
    network,
    state,
    entryIds: ENTRY_IDS,
  });
  const checkStart = (
    backend: RecordingBackend,
    { team }: { team: string },
  ) => {
    const nowMs = clock.monotonicMs();
    const runningCount = fleet.countRunning(team);
    const isSettled =
      nowMs - (changedAtMs.get(team) ?? -Infinity) > LIMIT_GRACE_MS;
    if (isSettled && runningCount > (limits.get(team) ?? Infinity)) {
      violations.push(`${nowMs} ms: ${team} runs ${runningCount}`);
    }
    const { slotCount, running } = backend.announcement;
    if (running.length > slotCount) {
      violations.push(`${nowMs} ms: ${running.length} in ${slotCount} slots`);
    }
  };
  for (let at = 0; at < (options.backendCount ?? 6); at += 1) {
    fleet.addBackend(
      new RecordingBackend({
        backendServerId: `server-${at}`,
        vm: `vm-${at}`,
        clock,
        random,
        slotCount: SLOT_COUNT,
        connectionCount: options.connectionCount ?? 64,
        onStart: checkStart,
      }),
    );
  }
  return {
    clock,
    random,
    network,
    state,
    fleet,
    violations,
    setLimit: (team, limit) => {
      limits.set(team, limit);
      changedAtMs.set(team, clock.monotonicMs());
      putResources(state, [createTeam(team, limit)]);
    },
  };
}

/** Keeps a fixed number of requests in progress on an entry. */
function keepBusy(
  fixture: FleetFixture,
  entryId: string,
  work: SimulatedRequest & { readonly atOnceCount: number },
): { stop: () => void; results: Map<string, number> } {
  let isStopped = false;
  const results = new Map<string, number>();
  const runOne = async () => {
    while (!isStopped) {
      const result = await fixture.fleet.request(entryId, work);
      results.set(result, (results.get(result) ?? 0) + 1);
      await fixture.clock.sleep(result === "ran" ? 1 : 20);
    }
  };
  for (let count = 0; count < work.atOnceCount; count += 1) {
    void runOne();
  }
  return { stop: () => isStopped = true, results };
}

function keepAllBusy(
  fixture: FleetFixture,
  work: { team: string; atOnceCount: number; workMs?: number },
) {
  return ENTRY_IDS.map((entryId) =>
    keepBusy(fixture, entryId, { queue: "jobs", workMs: 100, ...work })
  );
}

function sumBusyMs({ fleet }: FleetFixture): number {
  return [...fleet.backends.values()].reduce(
    (sum, { busyMs }) => sum + busyMs,
    0,
  );
}

function findBackend({ fleet }: FleetFixture, at: number): RecordingBackend {
  const backend = fleet.backends.get(`server-${at}`);
  assert.ok(backend);
  return backend as RecordingBackend;
}

async function findMeanRunning<T extends string>(
  fixture: FleetFixture,
  teams: readonly T[],
): Promise<Record<T, number>> {
  const sampleCount = 100;
  const sums = Object.fromEntries(teams.map((team) => [team, 0]));
  for (let count = 0; count < sampleCount; count += 1) {
    await fixture.clock.advance(20);
    for (const team of teams) {
      sums[team] = (sums[team] ?? 0) +
        fixture.fleet.countRunning(team) / sampleCount;
    }
  }
  return sums as Record<T, number>;
}

async function findRefusal(fixture: FleetFixture, entryId: string) {
  const permit = await fixture.fleet.acquire(entryId, {
    team: "red",
    queue: "jobs",
    workMs: 1,
    maxWaitMs: 500,
  });
  return permit.isErr ? permit.error : undefined;
}

const faultArbitrary = fc.record({
  afterMs: fc.integer({ min: 50, max: 2_500 }),
  kind: fc.constantFrom(
    "kill",
    "restart",
    "isolate",
    "cutMessages",
    "heal",
    "changeLeader",
    "loseAnnouncements",
    "loseMessages",
    "lowerLimit",
    "raiseLimit",
    "killLeader",
  ),
  target: fc.integer({ min: 0, max: ENTRY_IDS.length - 1 }),
});

type Fault = typeof faultArbitrary extends fc.Arbitrary<infer T> ? T : never;

function isolate(fixture: FleetFixture, entryId: string): void {
  fixture.network.isolate(entryId);
  fixture.fleet.agreement.isolate(entryId);
}

function causeFault(fixture: FleetFixture, { kind, target }: Fault): void {
  const { fleet, network } = fixture;
  const entryId = ENTRY_IDS[target] ?? "";
  switch (kind) {
    case "kill":
      return fleet.killEntry(entryId);
    case "killLeader":
      return fleet.killEntry(fleet.agreement.leaderId ?? "");
    case "restart":
      if (!fleet.entries.get(entryId)?.isAlive) {
        fleet.startEntry(entryId);
      }
      return;
    case "isolate":
      return isolate(fixture, entryId);
    case "cutMessages":
      return network.isolate(entryId);
    case "heal":
      network.heal();
      network.setDefaults({});
      return fleet.agreement.heal();
    case "changeLeader":
      return fleet.agreement.changeLeader();
    case "loseAnnouncements":
      for (const backend of fleet.backends.values()) {
        backend.lossPercent = 40;
        backend.duplicatePercent = 40;
      }
      return;
    case "loseMessages":
      return network.setDefaults({
        lossPercent: 10,
        duplicatePercent: 20,
        jitterMs: 30,
      });
    case "lowerLimit":
      return fixture.setLimit("red", 2);
    case "raiseLimit":
      return fixture.setLimit("red", 7);
  }
}

async function runFaults(seed: number, faults: readonly Fault[]) {
  const fixture = createFixture({
    seed,
    limits: { red: 7, blue: 5, green: 30 },
  });
  for (const entryId of ENTRY_IDS) {
    for (
      const [team, workMs] of [["red", 300], ["blue", 40], [
        "green",
        900,
      ]] as const
    ) {
      keepBusy(fixture, entryId, {
        team,
        queue: "jobs",
        workMs,
        atOnceCount: 3,
        ...(team === "green" ? { cancelAfterMs: 200 } : {}),
      });
    }
  }
  await fixture.clock.advance(SETTLE_MS);
  for (const fault of faults) {
    causeFault(fixture, fault);
    await fixture.clock.advance(fault.afterMs);
  }
  await fixture.clock.advance(SETTLE_MS);
  return fixture;
}

describe("fleet permits", () => {
  describe("limits and slots under faults", () => {
    it("are never exceeded", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.integer({ min: 1, max: 1_000_000 }),
          fc.array(faultArbitrary, { minLength: 3, maxLength: 10 }),
          async (seed, faults) => {
            const fixture = await runFaults(seed, faults);
            assert.equal(fixture.violations, []);
          },
        ),
        {
          numRuns: PROPERTY_RUNS,
          seed: PROPERTY_SEED,
          // Each run takes about half a second, and the seed reproduces it, so
          // failures are not shrunk.
          endOnFailure: true,
        },
      );
    });
  });

  describe("a single busy team", () => {
    it("uses 95% of its limit although entries are loaded unevenly", async () => {
      const fixture = createFixture({ seed: 11, limits: { red: 20 } });
      const busy = [12, 10, 6, 2, 0];
      ENTRY_IDS.forEach((entryId, at) =>
        keepBusy(fixture, entryId, {
          team: "red",
          queue: "jobs",
          workMs: 100,
          atOnceCount: busy[at] ?? 0,
        })
      );
      await fixture.clock.advance(SETTLE_MS);
      const beforeMs = sumBusyMs(fixture);
      await fixture.clock.advance(5_000);
      const meanRunning = (sumBusyMs(fixture) - beforeMs) / 5_000;
      assert.ok(meanRunning >= 0.95 * 20, `${meanRunning} of 20 on average`);
      assert.equal(fixture.violations, []);
    });
  });

  describe("a full fleet", () => {
    it("divides slots by share and lends unused ones to other teams", async () => {
      const fixture = createFixture({
        seed: 12,
        limits: { red: 100, blue: 100 },
        shares: { red: 3, blue: 1 },
      });
      const red = keepAllBusy(fixture, { team: "red", atOnceCount: 10 });
      keepAllBusy(fixture, { team: "blue", atOnceCount: 10 });
      await fixture.clock.advance(SETTLE_MS + 2_000);
      const shared = await findMeanRunning(fixture, ["red", "blue"]);
      assert.ok(
        Math.abs(shared.red - 18) < 1.5 && Math.abs(shared.blue - 6) < 1.5,
        `red ${shared.red}, blue ${shared.blue} of 24 slots`,
      );
      red.forEach(({ stop }) => stop());
      await fixture.clock.advance(2_000);
      const lent = await findMeanRunning(fixture, ["red", "blue"]);
      assert.ok(lent.blue > 21, `blue has ${lent.blue} of 24 slots`);
      keepAllBusy(fixture, { team: "red", atOnceCount: 10 });
      await fixture.clock.advance(2_000);
      const returned = await findMeanRunning(fixture, ["red", "blue"]);
      assert.ok(Math.abs(returned.red - 18) < 1.5, `red has ${returned.red}`);
    });

    it("serves a small team's first request before a large backlog", async () => {
      const fixture = createFixture({
        seed: 13,
        limits: { red: 100, blue: 5 },
      });
      keepAllBusy(fixture, { team: "red", atOnceCount: 60 });
      await fixture.clock.advance(SETTLE_MS);
      const startedMs = fixture.clock.monotonicMs();
      const work = { team: "blue", queue: "jobs", workMs: 1 };
      const result = await fixture.clock.runUntil(
        fixture.fleet.request("entry-4", work),
        5_000,
      );
      const totalMs = fixture.clock.monotonicMs() - startedMs;
      assert.is(result, "ran");
      assert.ok(totalMs < 200, `it took ${totalMs} ms`);
    });
  });

  describe("an entry that crashes while its work runs", () => {
    it("counts its attempts until backend servers report their end", async () => {
      const fixture = createFixture({ seed: 14, limits: { red: 4 } });
      await fixture.clock.advance(SETTLE_MS);
      for (let count = 0; count < 4; count += 1) {
        const work = { team: "red", queue: "jobs", workMs: 4_500 };
        void fixture.fleet.request("entry-2", work);
      }
      await fixture.clock.advance(300);
      fixture.fleet.killEntry("entry-2");
      const later = keepBusy(fixture, "entry-3", {
        team: "red",
        queue: "jobs",
        workMs: 50,
        atOnceCount: 4,
      });
      await fixture.clock.advance(3_900);
      assert.is(later.results.get("ran") ?? 0, 0);
      await fixture.clock.advance(2_500);
      assert.ok((later.results.get("ran") ?? 0) > 0, "nothing ran afterwards");
      assert.equal(fixture.violations, []);
    });
  });

  describe("an entry that is cut off from the coordinator", () => {
    it("starts nothing after its lease, even with a current configuration", async () => {
      const fixture = createFixture({ seed: 19, limits: { red: 100 } });
      keepAllBusy(fixture, { team: "red", atOnceCount: 2 });
      const cut = keepBusy(fixture, "entry-3", {
        team: "red",
        queue: "jobs",
        workMs: 10,
        atOnceCount: 2,
      });
      await fixture.clock.advance(SETTLE_MS);
      fixture.network.isolate("entry-3");
      await fixture.clock.advance(PERMIT_LEASE_MS + REPORT_TIMEOUT_MS);
      const ranCount = cut.results.get("ran") ?? 0;
      await fixture.clock.advance(3_000);
      assert.is(cut.results.get("ran") ?? 0, ranCount);
      fixture.network.heal();
      await fixture.clock.advance(2_000);
      assert.ok(
        (cut.results.get("ran") ?? 0) > ranCount,
        "entry-3 did not start work again",
      );
      assert.equal(fixture.violations, []);
    });
  });

  describe("configuration and announcements", () => {
    const CASES = [
      {
        title: "starts nothing on a leaving server after 3 s",
        change: (fixture: FleetFixture) => {
          findBackend(fixture, 1).isLeaving = true;
        },
        maxMs: 3_000,
        closedAt: [1],
      },
      {
        title: "starts nothing in a zone that was taken out of service",
        change: (fixture: FleetFixture) =>
          putResources(fixture.state, [{
            kind: "zone",
            name: "zone-1",
            region: "region-1",
            labels: { service: "out" },
          }]),
        maxMs: LIMIT_GRACE_MS,
        closedAt: [1, 3, 5],
      },
    ];
    for (const { title, change, maxMs, closedAt } of CASES) {
      it(title, async () => {
        const fixture = createFixture({ seed: 15, limits: { red: 100 } });
        keepAllBusy(fixture, { team: "red", atOnceCount: 8 });
        await fixture.clock.advance(SETTLE_MS);
        change(fixture);
        isolate(fixture, "entry-3");
        await fixture.clock.advance(maxMs);
        const before = closedAt.map((at) =>
          findBackend(fixture, at).startedCount
        );
        await fixture.clock.advance(3_000);
        const after = closedAt.map((at) =>
          findBackend(fixture, at).startedCount
        );
        assert.equal(after, before);
        assert.ok(before.every((count) => count > 0), "nothing ran before");
        assert.ok(findBackend(fixture, 2).startedCount > 0);
      });
    }

    it("uses the spare pool only when the ordinary one is full", async () => {
      const fixture = createFixture({ seed: 16, limits: { red: 100 } });
      await fixture.clock.advance(SETTLE_MS);
      const first = keepAllBusy(fixture, { team: "red", atOnceCount: 3 });
      await fixture.clock.advance(1_000);
      assert.is(findBackend(fixture, 5).startedCount, 0);
      first.forEach(({ stop }) => stop());
      keepAllBusy(fixture, { team: "red", atOnceCount: 6 });
      await fixture.clock.advance(1_000);
      assert.ok(findBackend(fixture, 5).startedCount > 0);
    });
  });

  describe("the directory of backend servers", () => {
    it("is the same on all entries after one leaves and one stops", async () => {
      const fixture = createFixture({ seed: 20, limits: { red: 1 } });
      await fixture.clock.advance(SETTLE_MS);
      findBackend(fixture, 0).isLeaving = true;
      findBackend(fixture, 1).stop();
      await fixture.clock.advance(5_000);
      for (const { directory } of fixture.fleet.entries.values()) {
        const serving = directory.listServing()
          .map(({ announcement }) => announcement.backendServerId);
        const expected = [2, 3, 4, 5].map((at) => `server-${at}`);
        assert.equal(serving.sort(), expected);
      }
    });

    it("limits an entry to its share of the connections", async () => {
      const connectionCount = 2 * ENTRY_IDS.length;
      const limits = { red: 100 };
      const fixture = createFixture({ seed: 21, limits, connectionCount });
      keepBusy(fixture, "entry-2", {
        team: "red",
        queue: "jobs",
        workMs: 50,
        atOnceCount: 24,
      });
      await fixture.clock.advance(SETTLE_MS);
      const { holdings } = fixture.fleet.entries.get("entry-2")?.source ?? {};
      const held = [0, 1, 2, 3, 4, 5].map((at) =>
        holdings?.countBackend(`server-${at}`)
      );
      assert.equal(held, [2, 2, 2, 2, 2, 2]);
    });
  });

  describe("refusals", () => {
    const CASES = [
      {
        title: "reports that the team has reached its limit",
        limit: 1,
        prepare: () => undefined,
        kind: "teamLimitReached",
      },
      {
        title: "reports that no slot is free",
        limit: 100,
        prepare: () => undefined,
        kind: "overloaded",
      },
      {
        title: "reports zones that are out of service",
        limit: 100,
        prepare: (fixture: FleetFixture) =>
          putResources(
            fixture.state,
            ["zone-0", "zone-1"].map((name) => ({
              kind: "zone",
              name,
              region: "region-1",
              labels: { service: "out" },
            })),
          ),
        kind: "zoneOut",
      },
      {
        title: "reports that no backend server announces itself",
        limit: 100,
        prepare: (fixture: FleetFixture) =>
          fixture.fleet.backends.forEach((backend) => backend.stop()),
        kind: "noBackendServer",
      },
      {
        title: "reports that the coordinator is unreachable",
        limit: 100,
        prepare: (fixture: FleetFixture) => isolate(fixture, "entry-5"),
        kind: "overloaded",
      },
    ];
    for (const { title, limit, prepare, kind } of CASES) {
      it(title, async () => {
        const fixture = createFixture({ seed: 17, limits: { red: limit } });
        keepAllBusy(fixture, { team: "red", atOnceCount: 8, workMs: 4_900 });
        await fixture.clock.advance(SETTLE_MS);
        prepare(fixture);
        await fixture.clock.advance(4_000);
        const failure = await fixture.clock.runUntil(
          findRefusal(fixture, "entry-5"),
          1_000,
        );
        assert.is(failure?.kind, kind);
        assert.ok((failure?.retryAfterMs ?? 0) > 0);
      });
    }

    it("settles a thousand cancelled requests at once", async () => {
      const fixture = createFixture({ seed: 18, limits: { red: 1 } });
      await fixture.clock.advance(SETTLE_MS);
      const callers = Array.from(
        { length: 1_000 },
        () => new AbortController(),
      );
      const waiting = callers.map(({ signal }) =>
        fixture.fleet.acquire("entry-1", {
          team: "red",
          queue: "jobs",
          workMs: 1,
          signal,
        })
      );
      await fixture.clock.advance(100);
      callers.forEach((caller) => caller.abort());
      const results = await fixture.clock.runUntil(Promise.all(waiting), 1);
      const cancelledCount =
        results.filter((result) =>
          result.isErr && result.error.kind === "cancelled"
        ).length;
      assert.is(cancelledCount, 999);
    });
  });
});
