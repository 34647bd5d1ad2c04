/** Maintenance waves: which VMs are rebooted next. */
import type { Maintenance, StoredResource } from "../../domain/index.ts";
import type { RequestedAction } from "../moves/index.ts";
import {
  createCause,
  type FleetView,
  selectsVm,
  type VmView,
} from "../fleet/index.ts";

const MS_PER_DAY = 86_400_000;
/** Time within which every VM is maintained once. */
export const MAINTENANCE_PERIOD_MS = 14 * MS_PER_DAY;
/** Age of the last maintenance at which the next one may start. */
export const MAINTENANCE_EARLIEST_MS = 7 * MS_PER_DAY;
/** Time after which a VM that was rebooted counts as lost. */
export const RETURN_DEADLINE_MS = 600_000;
/** Time after a VM's return in which its failure stops the wave. */
export const WAVE_OBSERVATION_MS = 3_600_000;

const ROUTINE_PREFIX = "routine.";
const DECLARED_PREFIX = "maintenance.";

/** Decides which VMs are maintained next, before budgets are asked. */
export interface WavePolicy {
  /**
   * Lists the VMs that are due.
   *
   * @param view - The fleet as it stands.
   * @param nowMs - Wall-clock time.
   * @returns Due VMs in the order in which they should be taken.
   */
  listDue(view: FleetView, nowMs: number): RequestedAction[];
}

/**
 * Takes declared actions first, then the VMs whose maintenance is oldest, one
 * zone of a pool after the other, so that a bad change meets one zone only.
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

/** Takes the oldest VM first, wherever it is; the baseline. */
export class OldestFirstWavePolicy implements WavePolicy {
  listDue(view: FleetView, nowMs: number): RequestedAction[] {
    return listDueActions(view, nowMs).sort((left, right) =>
      findAgeRank(left.vm) - findAgeRank(right.vm)
    );
  }
}

/**
 * Lists the declared reboots that still have to reach a VM.
 *
 * @param view - The fleet as it stands.
 * @returns Actions that are not cancelled.
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
 * @param actionId - The wave.
 * @param nowMs - Wall-clock time.
 * @returns A VM that the wave took and that did not come back or fails again.
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
 * @param nowMs - Wall-clock time.
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
    // Revisions, not times: the clocks of entries differ.
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
  const at = left.findIndex((value, position) => value !== right[position]);
  return at < 0 ? 0 : (left[at] ?? 0) - (right[at] ?? 0);
}

/**
 * Finds the declared action that a VM is being rebooted for.
 *
 * @param view - The fleet as it stands.
 * @param vm - The VM.
 * @returns The action, or undefined when it was cancelled, deleted or no longer
 * selects the VM, and for routine maintenance.
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
 * Tells whether the maintenance of a VM is still asked for.
 *
 * @param view - The fleet as it stands.
 * @param vm - A VM in a step of maintenance.
 * @returns False when its declared action is gone; routine always stays.
 */
export function isMaintenanceWanted(view: FleetView, vm: VmView): boolean {
  const isRoutine = vm.assignment?.actionId.startsWith(ROUTINE_PREFIX) ?? false;
  return isRoutine || findReboot(view, vm) !== undefined;
}
