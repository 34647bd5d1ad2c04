import * as assert from "uvu/assert";
import fc from "fast-check";
import { SeededRandom } from "../../adapters/random/index.ts";
import { FleetState } from "../../domain/index.ts";
import {
  describe,
  FakeBackend,
  FakeClock,
  FakeNetwork,
  it,
  PermitFleet,
  putResources,
} from "../../testing/index.ts";
import type { Work } from "../../testing/index.ts";

const ENTRY_IDS = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];
const SETTLE_MS = 3_000;
const LIMIT_GRACE_MS = 5;
const SLOT_COUNT = 4;

interface World {
  readonly clock: FakeClock;
  readonly random: SeededRandom;
  readonly network: FakeNetwork;
  readonly state: FleetState;
  readonly fleet: PermitFleet;
  readonly violations: string[];
  setLimit(team: string, limit: number): void;
}

interface WorldOptions {
  readonly seed: number;
  readonly limits: Readonly<Record<string, number>>;
  readonly shares?: Readonly<Record<string, number>>;
  readonly backendCount?: number;
}

function createTeam(name: string, maxRunningCount: number, share = 1) {
  return { kind: "team", name, share, maxRunningCount };
}

function createResources(options: WorldOptions): unknown[] {
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

function createWorld(options: WorldOptions): World {
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
  const checkStart = (backend: FakeBackend, { team }: { team: string }) => {
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
      new FakeBackend({
        backendServerId: `server-${at}`,
        vm: `vm-${at}`,
        clock,
        random,
        slotCount: SLOT_COUNT,
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

/** Keeps a number of requests in progress at an entry. */
function keepBusy(
  world: World,
  entryId: string,
  work: Work & { readonly atOnceCount: number },
): { stop: () => void; results: Map<string, number> } {
  let isStopped = false;
  const results = new Map<string, number>();
  const runOne = async () => {
    while (!isStopped) {
      const result = await world.fleet.request(entryId, work);
      results.set(result, (results.get(result) ?? 0) + 1);
      await world.clock.sleep(result === "ran" ? 1 : 20);
    }
  };
  for (let count = 0; count < work.atOnceCount; count += 1) {
    void runOne();
  }
  return { stop: () => isStopped = true, results };
}

const faultArbitrary = fc.record({
  afterMs: fc.integer({ min: 50, max: 2_500 }),
  kind: fc.constantFrom(
    "kill",
    "restart",
    "isolate",
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

function isolate(world: World, entryId: string): void {
  world.network.isolate(entryId);
  world.fleet.agreement.isolate(entryId);
}

function causeFault(world: World, { kind, target }: Fault): void {
  const { fleet, network } = world;
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
      return isolate(world, entryId);
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
      return world.setLimit("red", 2);
    case "raiseLimit":
      return world.setLimit("red", 7);
  }
}

async function runFaults(seed: number, faults: readonly Fault[]) {
  const world = createWorld({ seed, limits: { red: 7, blue: 5, green: 30 } });
  for (const entryId of ENTRY_IDS) {
    for (
      const [team, workMs] of [["red", 300], ["blue", 40], [
        "green",
        900,
      ]] as const
    ) {
      keepBusy(world, entryId, {
        team,
        queue: "jobs",
        workMs,
        atOnceCount: 3,
        ...(team === "green" ? { cancelAfterMs: 200 } : {}),
      });
    }
  }
  await world.clock.advance(SETTLE_MS);
  for (const fault of faults) {
    causeFault(world, fault);
    await world.clock.advance(fault.afterMs);
  }
  await world.clock.advance(SETTLE_MS);
  return world;
}

describe("fleet permits", () => {
  describe("limits and slots under faults", () => {
    it("are exceeded at no moment", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.integer({ min: 1, max: 1_000_000 }),
          fc.array(faultArbitrary, { minLength: 3, maxLength: 10 }),
          async (seed, faults) => {
            const world = await runFaults(seed, faults);
            assert.equal(world.violations, []);
          },
        ),
        {
          numRuns: Number(process.env["PERMIT_RUNS"] ?? 12),
          seed: Number(process.env["PERMIT_SEED"] ?? 5),
        },
      );
    });
  });
});
