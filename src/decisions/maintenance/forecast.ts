/** Forecasts when all VMs of a pool will be maintained, or what prevents it. */
import type { BudgetPolicy, BudgetUse } from "../budgets/index.ts";
import { describeUse } from "../budgets/index.ts";
import type { FleetView, VmView } from "../fleet/index.ts";
import {
  findWaveFailure,
  MAINTENANCE_EARLIEST_MS,
  MAINTENANCE_PERIOD_MS,
  type WavePolicy,
} from "./wave_policy.ts";

/**
 * Key of the figure in a decision record that says how long an action kept a VM
 * out of service, in milliseconds.
 */
export const ACTION_DURATION_FIGURE = "actionDurationMs";
const DEFAULT_ACTION_DURATION_MS = 300_000;
const LEARNED_ACTION_COUNT = 50;

/** Forecast of the maintenance of one pool. */
export interface MaintenanceForecast {
  readonly pool: string;
  readonly vmCount: number;
  readonly dueVmCount: number;
  /** Number of VMs that the budgets allow out of service at once. */
  readonly parallelVmCount: number;
  /** Time that one VM is expected to be out of service, in milliseconds. */
  readonly actionDurationMs: number;
  /**
   * Wall-clock time at which all VMs will be maintained, in milliseconds;
   * undefined when something prevents it.
   */
  readonly doneAtMs: number | undefined;
  /**
   * Whether every VM will be maintained within two weeks of its last
   * maintenance.
   */
  readonly isInTime: boolean;
  /**
   * Text that names the failed wave or the exhausted budget that prevents it.
   */
  readonly preventedBy: string | undefined;
}

/** Policies that a forecast applies. */
export interface ForecastPolicies {
  readonly budgets: BudgetPolicy;
  readonly waves: WavePolicy;
}

/**
 * Forecasts the maintenance of a pool.
 *
 * @param view - The fleet as it stands.
 * @param pool - Name of the pool.
 * @param nowMs - Wall-clock time, in milliseconds.
 * @param parts - Policies for budgets and waves.
 * @returns When all VMs will be maintained, or what prevents it.
 */
export function forecastMaintenance(
  view: FleetView,
  pool: string,
  nowMs: number,
  parts: ForecastPolicies,
): MaintenanceForecast {
  const members = view.listPool(pool);
  const due = parts.waves.listDue(view, nowMs)
    .filter(({ vm }) => vm.pool === pool);
  const busy = members.filter(({ outage }) => outage === "busy");
  const parallelVmCount = countParallel(parts.budgets.listUses(view, pool));
  const actionDurationMs = learnDurationMs(view, pool);
  const preventedBy = describeFailedWave(view, members, nowMs) ??
    (due.length > 0 && parallelVmCount === 0
      ? findExhaustedBudget(parts.budgets.listUses(view, pool))
      : undefined);
  const waitingMs = Math.ceil(
    (due.length + busy.length) / Math.max(1, parallelVmCount),
  ) * actionDurationMs;
  const doneAtMs = Math.max(
    nowMs + waitingMs,
    findLastStartMs(members) + actionDurationMs,
  );
  const deadlineMs = Math.min(...members.map(findDeadlineMs), Infinity);
  return {
    pool,
    vmCount: members.length,
    dueVmCount: due.length,
    parallelVmCount,
    actionDurationMs,
    doneAtMs: preventedBy === undefined ? doneAtMs : undefined,
    isInTime: preventedBy === undefined && nowMs + waitingMs <= deadlineMs,
    preventedBy,
  };
}

// Zones and racks are maintained in parallel, each within its own budget, and
// the budget of the pool limits their sum. Lost VMs use up part of a budget.
function countParallel(uses: readonly BudgetUse[]): number {
  const sums = new Map<string, number>();
  for (const { budget, unavailable } of uses) {
    const lost = unavailable.filter(({ outage }) => outage !== "busy");
    const left = Math.max(0, budget.maxUnavailableVmCount - lost.length);
    sums.set(budget.domain, (sums.get(budget.domain) ?? 0) + left);
  }
  return Math.min(...sums.values());
}

function findExhaustedBudget(uses: readonly BudgetUse[]): string | undefined {
  const spent = uses.find(({ budget, unavailable }) =>
    unavailable.length >= budget.maxUnavailableVmCount
  );
  return spent && `the budget of ${describeUse(spent)}`;
}

function describeFailedWave(
  view: FleetView,
  members: readonly VmView[],
  nowMs: number,
): string | undefined {
  const actions = new Set(
    members.map(({ assignment }) => assignment?.actionId),
  );
  for (const actionId of actions) {
    const failed = actionId === undefined
      ? undefined
      : findWaveFailure(view, actionId, nowMs);
    if (failed !== undefined) {
      return `action/${actionId} is stopped, because vm/${failed.name} did not come back or failed after it`;
    }
  }
  return undefined;
}

function learnDurationMs(view: FleetView, pool: string): number {
  const durations = view.state.listRecords()
    .filter(({ subjects }) => subjects.includes(`pool/${pool}`))
    .map(({ figures }) => figures[ACTION_DURATION_FIGURE])
    .filter((durationMs) => durationMs !== undefined)
    .slice(-LEARNED_ACTION_COUNT)
    .sort((left, right) => left - right);
  const median = durations[Math.floor(durations.length / 2)];
  return median ?? DEFAULT_ACTION_DURATION_MS;
}

function findLastStartMs(members: readonly VmView[]): number {
  const starts = members.map(({ assignment }) =>
    (assignment?.maintainedAtMs ?? 0) + MAINTENANCE_EARLIEST_MS
  );
  return Math.max(0, ...starts);
}

function findDeadlineMs({ assignment }: VmView): number {
  return (assignment?.maintainedAtMs ?? Infinity) + MAINTENANCE_PERIOD_MS;
}
