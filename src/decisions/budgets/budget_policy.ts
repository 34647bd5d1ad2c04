/** Availability budgets, which limit how many VMs are unavailable at once. */
import type { AvailabilityBudget, Pool } from "../../domain/index.ts";
import type { FleetView, VmView } from "../fleet/index.ts";

/**
 * Budget of a pool that declares none. It allows one VM at a time, so that a
 * missing budget never takes a whole pool out of service.
 */
export const DEFAULT_BUDGETS: readonly AvailabilityBudget[] = [
  { domain: "pool", maxUnavailableVmCount: 1 },
];

/** Use of one budget in one failure domain. */
export interface BudgetUse {
  readonly pool: string;
  readonly budget: AvailabilityBudget;
  /** The failure domain, such as `pool/studio`, `zone/a` or `rack/a/1`. */
  readonly domainName: string;
  readonly vmCount: number;
  /** Unavailable VMs of the domain, each with its reason. */
  readonly unavailable: readonly VmView[];
}

/** Decides whether one more VM may be taken out of service. */
export interface BudgetPolicy {
  /**
   * Checks whether a VM may be taken out of service now.
   *
   * @param view - The fleet as it stands.
   * @param vm - The VM, which still serves its pool.
   * @returns The exhausted budget, or undefined when all budgets allow it.
   */
  findExhausted(view: FleetView, vm: VmView): BudgetUse | undefined;
  /**
   * Lists the use of all budgets of a pool.
   *
   * @param view - The fleet as it stands.
   * @param pool - Name of the pool.
   * @returns One use for each budget and failure domain.
   */
  listUses(view: FleetView, pool: string): BudgetUse[];
}

/**
 * Lists the budgets that apply to a pool.
 *
 * @param pool - The pool, or undefined when it was deleted.
 * @returns The declared budgets, or {@link DEFAULT_BUDGETS}.
 */
export function listBudgets(
  pool: Pool | undefined,
): readonly AvailabilityBudget[] {
  return pool === undefined || pool.budgets.length === 0
    ? DEFAULT_BUDGETS
    : pool.budgets;
}

/**
 * Describes the use of a budget.
 *
 * @param use - The budget and its use.
 * @returns A text such as `pool/studio in zone/a: 1 of at most 1 VMs
 * unavailable (vm/x is down)`.
 */
export function describeUse(use: BudgetUse): string {
  const spent = use.unavailable.map((vm) => describeOutage(vm)).join(", ");
  const where = use.budget.domain === "pool"
    ? `pool/${use.pool}`
    : `pool/${use.pool} in ${use.domainName}`;
  const count = use.unavailable.length;
  const detail = count === 0 ? "" : ` (${spent})`;
  return `${where}: ${count} of at most ${use.budget.maxUnavailableVmCount} VMs unavailable${detail}`;
}

function describeOutage({ name, outage, assignment }: VmView): string {
  switch (outage) {
    case "busy":
      return `vm/${name} is ${assignment?.phase} for action/${assignment?.actionId}`;
    case "missing":
      return `vm/${name} is not listed by the platform`;
    case "down":
      return `vm/${name} is down`;
    case "zoneOut":
      return `vm/${name} is in a zone that is out`;
    case undefined:
      return `vm/${name}`;
  }
}
