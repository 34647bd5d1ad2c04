/** Composes the controller; it works on the leader, where a platform is set. */
import {
  type BudgetPolicy,
  DomainBudgetPolicy,
  EscalatingPressurePolicy,
  type FleetIndexCache,
  HysteresisMovePolicy,
  type PoolDemand,
  type WavePolicy,
  ZoneByZoneWavePolicy,
} from "../decisions/index.ts";
import type { PlatformVm } from "../ports/index.ts";
import {
  type BackendDirectory,
  Controller,
  type DecisionRecorder,
  FreshnessLeaseWait,
} from "../services/index.ts";
import type { EntryContext } from "./entry_context.ts";

/** Options of {@link createController}. */
export interface CreateControllerOptions {
  readonly context: EntryContext;
  readonly recorder: DecisionRecorder;
  readonly directory: BackendDirectory;
}

/** What operators' questions are answered from. */
export interface ControllerParts {
  readonly budgets: BudgetPolicy;
  readonly waves: WavePolicy;
  /** The platform's last report; undefined on entries that do not observe it. */
  readonly findPlatformVms: () => readonly PlatformVm[] | undefined;
}

/**
 * Starts the controller when the setting `platformUrl` names a platform.
 *
 * @param options - The parts that it is built from.
 * @returns The policies that it decides by, and what it last observed.
 */
export async function createController(
  options: CreateControllerOptions,
): Promise<ControllerParts> {
  const { context, recorder, directory } = options;
  const { clock, fleet, settings, tasks } = context;
  const budgets = new DomainBudgetPolicy();
  const waves = new ZoneByZoneWavePolicy();
  if (settings.platformUrl === null) {
    return { budgets, waves, findPlatformVms: () => undefined };
  }
  // Loaded only here: its HTTP client costs every entry memory and start time.
  const { HttpPlatform } = await import("../adapters/platform/index.ts");
  const controller = new Controller({
    ...context,
    platform: new HttpPlatform({ url: settings.platformUrl }),
    recorder,
    budgets,
    waves,
    moves: new HysteresisMovePolicy(),
    pressure: new EscalatingPressurePolicy(),
    inForce: new FreshnessLeaseWait(clock),
    countRunningRequests: (vm) => countRunning(directory, vm),
    listDemand: () => listDemand(directory, fleet),
  });
  tasks.startForever("controller", (signal) => controller.run(signal));
  return { budgets, waves, findPlatformVms: () => controller.platformVms };
}

function countRunning(directory: BackendDirectory, vm: string): number {
  return directory.listAll()
    .filter(({ announcement }) => announcement.vm === vm)
    .reduce((sum, { announcement }) => sum + announcement.running.length, 0);
}

function listDemand(
  directory: BackendDirectory,
  fleet: FleetIndexCache,
): PoolDemand[] {
  const index = fleet.current();
  const byPool = new Map<string, PoolDemand>();
  for (const { announcement } of directory.listServing()) {
    const pool = index.findVm(announcement.vm)?.pool;
    if (pool === undefined) {
      continue;
    }
    const known = byPool.get(pool);
    byPool.set(pool, {
      pool,
      busySlotCount: (known?.busySlotCount ?? 0) + announcement.running.length,
      slotCount: (known?.slotCount ?? 0) + announcement.slotCount,
    });
  }
  return [...byPool.values()];
}
