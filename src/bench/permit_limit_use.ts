/** Measures how much of its limit a team can use with uneven load balancing. */
import { SeededRandom } from "../adapters/random/index.ts";
import { FleetIndexCache, TwoChoicesPicker } from "../decisions/index.ts";
import { BackendDirectory } from "../services/index.ts";
import { FakeClock, FakePermitSource } from "../testing/index.ts";
import {
  averageRunningByTeam,
  createSimulatedDeployment,
  createSimulatedState,
  keepCallersBusy,
} from "./simulated_deployment.ts";

const ENTRY_COUNT = 9;
const BACKEND_COUNT = 18;
const SLOT_COUNT = 8;
const LIMIT = 60;
const CALLER_COUNT = 120;
const WORK_MS = 400;
const SETTLE_MS = 5_000;
const MEASURE_MS = 5_000;
const TEAM = "team-1";
/** Percentage of calls that the first entry receives; the others share the rest. */
const FIRST_ENTRY_PERCENT = 60;
const PERCENT = 100;

/**
 * Compares the coordinator with a fixed split of the limit over the entries.
 *
 * @param seed - Seed of the load balancing.
 * @returns For each, the mean fraction of the limit in use.
 */
export async function measureLimitUse(seed: number) {
  return {
    coordinatorLimitUse: await measureCoordinator(seed),
    staticSplitLimitUse: await measureStaticSplit(seed),
  };
}

async function measureCoordinator(seed: number): Promise<number> {
  const deployment = createSimulatedDeployment({
    seed,
    entryCount: ENTRY_COUNT,
    backendCount: BACKEND_COUNT,
    slotCount: SLOT_COUNT,
    teams: [{ name: TEAM, share: 1, maxRunningCount: LIMIT }],
  });
  keepCallersBusy(deployment, {
    team: TEAM,
    callerCount: CALLER_COUNT,
    workMs: WORK_MS,
    chooseEntry: () => `entry-${drawEntry(deployment.random) + 1}`,
  });
  await deployment.clock.advance(SETTLE_MS);
  const means = await averageRunningByTeam(deployment, [TEAM], MEASURE_MS);
  return roundRatio((means.get(TEAM) ?? 0) / LIMIT);
}

// In the split, each entry owns a part of the limit and of the backend servers.
async function measureStaticSplit(seed: number): Promise<number> {
  const clock = new FakeClock();
  const random = new SeededRandom(seed);
  const maxRunningCount = Math.floor(LIMIT / ENTRY_COUNT);
  const team = { name: TEAM, share: 1, maxRunningCount };
  const state = createSimulatedState({
    teams: [team],
    backendCount: BACKEND_COUNT,
  });
  const fleet = new FleetIndexCache(() => state);
  const sources = Array.from({ length: ENTRY_COUNT }, (_, entryIndex) => {
    const directory = new BackendDirectory(clock);
    announceOwnBackends(directory, entryIndex);
    const picker = new TwoChoicesPicker(random);
    return {
      directory,
      source: new FakePermitSource({ clock, directory, fleet, picker, random }),
    };
  });
  let busyMs = 0;
  const queue = fleet.current().findQueue("jobs")?.resource;
  const runCaller = async () => {
    while (queue !== undefined) {
      const permit = await sources[drawEntry(random)]?.source.acquire({
        admission: {
          team: fleet.current().findTeam(TEAM)?.resource,
          teamName: TEAM,
          queue,
          poolNames: ["main"],
          causes: [],
        },
        excludedBackendIds: new Set(),
        waitUntilMs: clock.monotonicMs() + queue.maxWaitMs,
        signal: new AbortController().signal,
      });
      if (permit?.isOk) {
        await clock.sleep(WORK_MS);
        busyMs += WORK_MS;
        permit.value.release({ ended: true, healthy: true });
      }
      await clock.sleep(1);
    }
  };
  for (let count = 0; count < CALLER_COUNT; count += 1) {
    void runCaller();
  }
  const stepMs = 1_000;
  let settledBusyMs = 0;
  for (let atMs = 0; atMs < SETTLE_MS + MEASURE_MS; atMs += stepMs) {
    settledBusyMs = atMs === SETTLE_MS ? busyMs : settledBusyMs;
    sources.forEach(({ directory }, index) =>
      announceOwnBackends(directory, index, atMs)
    );
    await clock.advance(stepMs);
  }
  return roundRatio((busyMs - settledBusyMs) / MEASURE_MS / LIMIT);
}

function announceOwnBackends(
  directory: BackendDirectory,
  entryIndex: number,
  sequence = 0,
): void {
  for (
    let backendIndex = entryIndex;
    backendIndex < BACKEND_COUNT;
    backendIndex += ENTRY_COUNT
  ) {
    directory.accept({
      backendServerId: `server-${backendIndex}`,
      sequence,
      vm: `vm-${backendIndex}`,
      host: "127.0.0.1",
      port: 1,
      slotCount: SLOT_COUNT,
      connectionCount: 64,
      leaving: false,
      running: [],
    });
  }
}

function drawEntry(random: SeededRandom): number {
  const isFirst = random.nextInt(PERCENT) < FIRST_ENTRY_PERCENT;
  return isFirst ? 0 : 1 + random.nextInt(ENTRY_COUNT - 1);
}

function roundRatio(ratio: number): number {
  return Math.round(ratio * 10_000) / 10_000;
}
