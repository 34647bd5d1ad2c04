/**
 * Composes the controller, which acts on the platform while its entry leads.
 * Entries whose setting `platformUrl` is null have no controller.
 */
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

/** Policies and observations of the controller that plans and explanations use. */
export interface ControllerView {
  readonly budgets: BudgetPolicy;
  readonly waves: WavePolicy;
  /** Returns the platform's last report; undefined where none is read. */
  readonly findPlatformVms: () => readonly PlatformVm[] | undefined;
}

/**
 * Starts the controller if the setting `platformUrl` names a platform.
 *
 * @param options - The entry's context, the recorder and the directory.
 * @returns The policies that the controller uses, and its last observation.
 */
export async function createController(
  options: CreateControllerOptions,
): Promise<ControllerView> {
  const { context, recorder, directory } = options;
  const { clock, fleet, settings, tasks } = context;
  const budgets = new DomainBudgetPolicy();
  const waves = new ZoneByZoneWavePolicy();
  if (settings.platformUrl === null) {
    return { budgets, waves, findPlatformVms: () => undefined };
  }
  // Imported on demand: the HTTP client of the platform would cost entries
  // without a platform memory and start time.
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
