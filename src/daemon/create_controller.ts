/** Composes the controller; it works on the leader, where a platform is set. */
import { HttpPlatform } from "../adapters/platform/index.ts";
import {
  DomainBudgetPolicy,
  type FleetIndexCache,
  HysteresisMovePolicy,
  type PoolDemand,
  ZoneByZoneWavePolicy,
} from "../decisions/index.ts";
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

/**
 * Starts the controller when the setting `platformUrl` names a platform.
 *
 * @param options - The parts that it is built from.
 */
export function createController(options: CreateControllerOptions): void {
  const { context, recorder, directory } = options;
  const { clock, fleet, settings, tasks } = context;
  if (settings.platformUrl === null) {
    return;
  }
  const controller = new Controller({
    ...context,
    platform: new HttpPlatform({ url: settings.platformUrl }),
    recorder,
    budgets: new DomainBudgetPolicy(),
    waves: new ZoneByZoneWavePolicy(),
    moves: new HysteresisMovePolicy(),
    inForce: new FreshnessLeaseWait(clock),
    countRunning: (vm) => countRunning(directory, vm),
    listDemand: () => listDemand(directory, fleet),
  });
  tasks.startForever("controller", (signal) => controller.run(signal));
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
