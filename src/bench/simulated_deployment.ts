/** Simulates a deployment, in order to compare permit policies. */
import { SeededRandom } from "../adapters/random/index.ts";
import type { ShareAllocator } from "../decisions/index.ts";
import { FleetState } from "../domain/index.ts";
import {
  FakeClock,
  FakeNetwork,
  PermitFleet,
  putResources,
  RecordingBackend,
} from "../testing/index.ts";

const RETRY_PAUSE_MS = 50;
const LATENCY_MS = 2;

/** A team of the simulated deployment. */
export interface SimulatedTeam {
  readonly name: string;
  readonly share: number;
  readonly maxRunningCount: number;
}

/** Options of {@link createSimulatedDeployment}. */
export interface SimulatedDeploymentOptions {
  readonly seed: number;
  readonly entryCount: number;
  readonly backendCount: number;
  readonly slotCount: number;
  readonly teams: readonly SimulatedTeam[];
  readonly allocator?: ShareAllocator;
}

/** A deployment that runs in simulated time. */
export interface SimulatedDeployment {
  readonly clock: FakeClock;
  readonly random: SeededRandom;
  readonly fleet: PermitFleet;
  readonly entryIds: readonly string[];
}

/**
 * Creates a configuration with one zone, one pool and one queue for that pool.
 *
 * @param options - Teams and number of backend servers.
 * @returns The state with all resources, including VMs and teams.
 */
export function createSimulatedState(
  options: Pick<SimulatedDeploymentOptions, "teams" | "backendCount">,
): FleetState {
  const state = new FleetState();
  const vms = Array.from({ length: options.backendCount }, (_, index) => ({
    kind: "vm",
    name: `vm-${index}`,
    zone: "zone-1",
    rack: "rack-1",
  }));
  putResources(state, [
    { kind: "zone", name: "zone-1", region: "region-1" },
    { kind: "pool", name: "main", vmSelector: {} },
    { kind: "queue", name: "jobs", poolSelector: {} },
    ...vms,
    ...options.teams.map((team) => ({ kind: "team", ...team })),
  ]);
  return state;
}

/**
 * Creates a deployment whose entries get permits from a coordinator.
 *
 * @param options - Size, teams and allocator.
 * @returns The deployment. Its clock does not move until it is advanced.
 */
export function createSimulatedDeployment(
  options: SimulatedDeploymentOptions,
): SimulatedDeployment {
  const clock = new FakeClock();
  const random = new SeededRandom(options.seed);
  const network = new FakeNetwork(clock, random);
  network.setDefaults({ delayMs: LATENCY_MS });
  const entryIds = Array.from(
    { length: options.entryCount },
    (_, index) => `entry-${index + 1}`,
  );
  const fleet = new PermitFleet({
    clock,
    random,
    network,
    state: createSimulatedState(options),
    entryIds,
    ...(options.allocator === undefined
      ? {}
      : { allocator: options.allocator }),
  });
  for (let index = 0; index < options.backendCount; index += 1) {
    fleet.addBackend(
      new RecordingBackend({
        backendServerId: `server-${index}`,
        vm: `vm-${index}`,
        clock,
        random,
        slotCount: options.slotCount,
      }),
    );
  }
  return { clock, random, fleet, entryIds };
}

/** Options of {@link keepCallersBusy}. */
export interface BusyCallerOptions {
  readonly team: string;
  readonly callerCount: number;
  readonly workMs: number;
  /** Chooses the entry for the next call, in place of the load balancer. */
  readonly chooseEntry: () => string;
}

/**
 * Starts callers that call forever. Each waits for an answer before its next call.
 *
 * @param deployment - The deployment.
 * @param options - Team, number of callers and choice of entries.
 */
export function keepCallersBusy(
  deployment: SimulatedDeployment,
  options: BusyCallerOptions,
): void {
  const { team, workMs, callerCount, chooseEntry } = options;
  const runCaller = async () => {
    for (;;) {
      const work = { team, queue: "jobs", workMs };
      const result = await deployment.fleet.request(chooseEntry(), work);
      await deployment.clock.sleep(result === "ran" ? 1 : RETRY_PAUSE_MS);
    }
  };
  for (let count = 0; count < callerCount; count += 1) {
    void runCaller();
  }
}

/**
 * Measures the mean number of running attempts of each team.
 *
 * @param deployment - The deployment.
 * @param teams - Names of the teams.
 * @param durationMs - Simulated time to average over, in milliseconds.
 * @returns The mean by team name.
 */
export async function averageRunningByTeam(
  deployment: SimulatedDeployment,
  teams: readonly string[],
  durationMs: number,
): Promise<Map<string, number>> {
  const stepMs = 10;
  const stepCount = Math.ceil(durationMs / stepMs);
  const means = new Map(teams.map((team) => [team, 0]));
  for (let step = 0; step < stepCount; step += 1) {
    await deployment.clock.advance(stepMs);
    for (const team of teams) {
      const running = deployment.fleet.countRunning(team);
      means.set(team, (means.get(team) ?? 0) + running / stepCount);
    }
  }
  return means;
}
