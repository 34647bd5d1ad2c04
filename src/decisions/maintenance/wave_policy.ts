/** Chooses the VMs that are rebooted next for maintenance, in waves. */
import type { Maintenance, StoredResource } from "../../domain/index.ts";
import type { RequestedAction } from "../moves/index.ts";
import {
  createCause,
  type FleetView,
  selectsVm,
  type VmView,
} from "../fleet/index.ts";

const MS_PER_DAY = 86_400_000;
/** Period in which every VM is maintained once, in milliseconds. */
export const MAINTENANCE_PERIOD_MS = 14 * MS_PER_DAY;
/**
 * Time after a VM's maintenance at which the next may start, in milliseconds.
 */
export const MAINTENANCE_EARLIEST_MS = 7 * MS_PER_DAY;
/**
 * Time after which a VM that has not come back from a reboot counts as lost, in
 * milliseconds.
 */
export const RETURN_DEADLINE_MS = 600_000;
/**
 * Time after a VM's return in which its failure stops the wave, in
 * milliseconds.
 */
export const WAVE_OBSERVATION_MS = 3_600_000;

const ROUTINE_PREFIX = "routine.";
const DECLARED_PREFIX = "maintenance.";

/**
 * Decides which VMs are due for maintenance. Budgets are checked afterwards.
 */
export interface WavePolicy {
  /**
   * Lists the VMs that are due.
   *
   * @param view - The fleet as it stands.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns One action for each due VM, in the order in which to start them.
   */
  listDue(view: FleetView, nowMs: number): RequestedAction[];
}

/**
 * Lists declared actions first, then routine maintenance. Within each, it goes
 * through the zones of a pool one after the other, so that a faulty change
 * affects one zone only. Zones with maintenance under way come first, then the
 * zone of the VM whose last maintenance is the oldest. In a zone, the VM whose
 * last maintenance is the oldest comes first.
 */
export class ZoneByZoneWavePolicy implements WavePolicy {
  listDue(view: FleetView, nowMs: number): RequestedAction[] {
    const due = listDueActions(view, nowMs);
    const startedZones = new Set(
      view.list().filter(isInMaintenance).map((vm) => formatPoolZone(vm)),
    );
    const oldestByZone = new Map<string, number>();
    for (const { vm } of due) {
      const oldest = oldestByZone.get(formatPoolZone(vm)) ?? Infinity;
      oldestByZone.set(formatPoolZone(vm), Math.min(oldest, findAgeRank(vm)));
    }
    const rank = ({ vm }: RequestedAction) => [
      startedZones.has(formatPoolZone(vm)) ? 0 : 1,
      oldestByZone.get(formatPoolZone(vm)) ?? 0,
      findAgeRank(vm),
    ];
    return due.sort((left, right) =>
      Number(left.actionId.startsWith(ROUTINE_PREFIX)) -
        Number(right.actionId.startsWith(ROUTINE_PREFIX)) ||
      compareRanks(rank(left), rank(right))
    );
  }
}

/**
 * Baseline: lists the VM whose last maintenance is the oldest first, whatever
 * its zone.
 */
export class OldestFirstWavePolicy implements WavePolicy {
  listDue(view: FleetView, nowMs: number): RequestedAction[] {
    return listDueActions(view, nowMs).sort((left, right) =>
      findAgeRank(left.vm) - findAgeRank(right.vm)
    );
  }
}

/**
 * Lists the declared reboots that are not cancelled.
 *
 * @param view - The fleet as it stands.
 */
export function listReboots(view: FleetView): StoredResource<Maintenance>[] {
  return view.state.list("maintenance").filter(({ resource }) =>
    resource.action === "reboot" && !resource.cancelled
  );
}

/**
 * Finds the VM whose failure stops a wave.
 *
 * @param view - The fleet as it stands.
 * @param actionId - Id of the wave's action.
 * @param nowMs - Wall-clock time, in milliseconds.
 * @returns A VM of the wave that did not come back or failed after its return,
 * or undefined when there is none.
 */
export function findWaveFailure(
  view: FleetView,
  actionId: string,
  nowMs: number,
): VmView | undefined {
  return view.list().find((vm) =>
    vm.assignment?.actionId === actionId && hasFailed(vm, nowMs)
  );
}

/**
 * Tells whether a VM was rebooted and has not come back in time.
 *
 * @param vm - The VM.
 * @param nowMs - Wall-clock time, in milliseconds.
 * @returns True when it counts as lost.
 */
export function isOverdue(vm: VmView, nowMs: number): boolean {
  const { assignment } = vm;
  return assignment !== undefined &&
    (assignment.phase === "rebooting" || assignment.phase === "joining") &&
    nowMs - assignment.startedAtMs > RETURN_DEADLINE_MS;
}

function hasFailed(vm: VmView, nowMs: number): boolean {
  const isDown = vm.outage === "down" || vm.outage === "missing";
  const sinceJoinMs = nowMs - (vm.assignment?.startedAtMs ?? 0);
  return isOverdue(vm, nowMs) || (isDown && sinceJoinMs <= WAVE_OBSERVATION_MS);
}

function listDueActions(view: FleetView, nowMs: number): RequestedAction[] {
  const reboots = listReboots(view);
  const actions: RequestedAction[] = [];
  for (const vm of view.list()) {
    if (vm.assignment?.phase !== "serving") {
      continue;
    }
    const { maintainedAtMs = 0, maintainedRevision = 0 } = vm.assignment;
    // Compares revisions, because the clocks of entries differ.
    const declared = reboots.find((reboot) =>
      reboot.revision > maintainedRevision &&
      selectsVm(reboot.resource, vm.vm.resource)
    );
    if (declared !== undefined) {
      actions.push(createDeclaredAction(vm, declared));
    } else if (nowMs - maintainedAtMs >= MAINTENANCE_EARLIEST_MS) {
      actions.push(createRoutineAction(vm, nowMs - maintainedAtMs));
    }
  }
  return actions;
}

function createDeclaredAction(
  vm: VmView,
  reboot: StoredResource<Maintenance>,
): RequestedAction {
  const { name, vmSelector } = reboot.resource;
  return createMaintenanceAction(vm, {
    actionId: `${DECLARED_PREFIX}${name}`,
    summary: `vm/${vm.name} reboots for maintenance/${name}`,
    causes: [createCause(reboot, "vmSelector", JSON.stringify(vmSelector))],
    figures: {},
  });
}

function createRoutineAction(vm: VmView, ageMs: number): RequestedAction {
  return createMaintenanceAction(vm, {
    actionId: `${ROUTINE_PREFIX}${vm.pool}`,
    summary: `vm/${vm.name} reboots for its routine maintenance`,
    causes: [],
    figures: {
      lastMaintenanceAgeDays: Math.floor(ageMs / MS_PER_DAY),
      periodDays: MAINTENANCE_PERIOD_MS / MS_PER_DAY,
    },
  });
}

function createMaintenanceAction(
  vm: VmView,
  action: Pick<RequestedAction, "actionId" | "summary" | "causes" | "figures">,
): RequestedAction {
  return {
    ...action,
    vm,
    purpose: "maintenance",
    targetPool: undefined,
    loanedFrom: undefined,
    rejected: [],
  };
}

function isInMaintenance({ assignment }: VmView): boolean {
  return assignment !== undefined && assignment.phase !== "serving" &&
    assignment.purpose === "maintenance";
}

function formatPoolZone({ vm, pool }: VmView): string {
  return `${pool} ${vm.resource.zone}`;
}

function findAgeRank({ assignment }: VmView): number {
  return assignment?.maintainedAtMs ?? 0;
}

function compareRanks(left: number[], right: number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}

/**
 * Finds the declared action for which a VM is being rebooted.
 *
 * @param view - The fleet as it stands.
 * @param vm - The VM.
 * @returns The action, or undefined when it was cancelled, was deleted or no
 * longer selects the VM, and for routine maintenance.
 */
export function findReboot(
  view: FleetView,
  vm: VmView,
): StoredResource<Maintenance> | undefined {
  return listReboots(view).find(({ resource }) =>
    vm.assignment?.actionId === `${DECLARED_PREFIX}${resource.name}` &&
    selectsVm(resource, vm.vm.resource)
  );
}

/**
 * Tells whether the maintenance of a VM is still requested.
 *
 * @param view - The fleet as it stands.
 * @param vm - A VM whose maintenance has begun.
 * @returns False when its declared action no longer applies; always true for
 * routine maintenance.
 */
export function isMaintenanceWanted(view: FleetView, vm: VmView): boolean {
  const isRoutine = vm.assignment?.actionId.startsWith(ROUTINE_PREFIX) ?? false;
  return isRoutine || findReboot(view, vm) !== undefined;
}
