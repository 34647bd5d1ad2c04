/** Compares weighted max-min and FIFO allocation of permits by simulation. */
import {
  FifoAllocator,
  type ShareAllocator,
  WeightedMaxMinAllocator,
} from "../decisions/index.ts";
import { computeEntitledSlots } from "./max_min_share.ts";
import {
  averageRunningByTeam,
  createSimulatedDeployment,
  keepCallersBusy,
  type SimulatedDeployment,
} from "./simulated_deployment.ts";

const ENTRY_COUNT = 5;
const BACKEND_COUNT = 20;
const SLOT_COUNT = 8;
const WORK_MS = 400;
const SETTLE_MS = 4_000;
const MEASURE_MS = 4_000;
const FIRST_REQUEST_MAX_MS = 5_000;
const MAX_RUNNING_COUNT = 1_000;

/** Teams with their shares and numbers of concurrent callers. */
const TEAMS = [
  { name: "team-1", share: 1, callerCount: 300 },
  { name: "team-2", share: 2, callerCount: 200 },
  { name: "team-3", share: 1, callerCount: 80 },
  { name: "team-4", share: 4, callerCount: 150 },
  { name: "team-5", share: 1, callerCount: 3 },
];
/** A team that sends its first request when the fleet is already full. */
const LATE_TEAM = { name: "late", share: 1, maxRunningCount: 5 };

/**
 * Measures both allocators under the same load.
 *
 * @param seed - Seed of the load balancing.
 * @returns For each allocator, the lowest ratio of used to entitled slots, the
 *   fraction of slots in use, and the wait (ms) of the late team's request.
 */
export async function measureFairness(seed: number) {
  const fair = await measureAllocator(seed, new WeightedMaxMinAllocator());
  const fifo = await measureAllocator(seed, new FifoAllocator());
  return {
    maxMinWorstShare: fair.worstShare,
    maxMinSlotUse: fair.slotUse,
    maxMinFirstWaitMs: fair.firstWaitMs,
    fifoWorstShare: fifo.worstShare,
    fifoSlotUse: fifo.slotUse,
    fifoFirstWaitMs: fifo.firstWaitMs,
  };
}

async function measureAllocator(seed: number, allocator: ShareAllocator) {
  const deployment = createSimulatedDeployment({
    seed,
    allocator,
    entryCount: ENTRY_COUNT,
    backendCount: BACKEND_COUNT,
    slotCount: SLOT_COUNT,
    teams: [
      ...TEAMS.map(({ name, share }) => ({
        name,
        share,
        maxRunningCount: MAX_RUNNING_COUNT,
      })),
      LATE_TEAM,
    ],
  });
  const chooseEntry = () =>
    `entry-${deployment.random.nextInt(ENTRY_COUNT) + 1}`;
  for (const { name, callerCount } of TEAMS) {
    const workMs = WORK_MS;
    keepCallersBusy(deployment, {
      team: name,
      callerCount,
      workMs,
      chooseEntry,
    });
  }
  await deployment.clock.advance(SETTLE_MS);
  const names = TEAMS.map(({ name }) => name);
  const means = await averageRunningByTeam(deployment, names, MEASURE_MS);
  const slotCount = BACKEND_COUNT * SLOT_COUNT;
  const entitled = computeEntitledSlots(
    TEAMS.map(({ name, share, callerCount }) => ({
      name,
      share,
      wantedCount: callerCount,
    })),
    slotCount,
  );
  const ratios = names.map((name) =>
    (means.get(name) ?? 0) / (entitled.get(name) ?? 1)
  );
  const usedCount = [...means.values()].reduce((sum, mean) => sum + mean, 0);
  return {
    worstShare: roundRatio(Math.min(...ratios)),
    slotUse: roundRatio(usedCount / slotCount),
    firstWaitMs: await measureFirstWait(deployment),
  };
}

async function measureFirstWait(
  deployment: SimulatedDeployment,
): Promise<number> {
  const startedMs = deployment.clock.monotonicMs();
  const work = { team: LATE_TEAM.name, queue: "jobs", workMs: 1 };
  await deployment.clock.runUntil(
    deployment.fleet.request("entry-2", work),
    FIRST_REQUEST_MAX_MS,
  );
  return deployment.clock.monotonicMs() - startedMs;
}

function roundRatio(ratio: number): number {
  return Math.round(ratio * 10_000) / 10_000;
}
