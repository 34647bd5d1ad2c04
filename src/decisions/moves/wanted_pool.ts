/** Finds the pool that a VM should be in, by labels, selectors and loans. */
import type {
  DecisionCause,
  Pool,
  StoredResource,
  VmAssignment,
} from "../../domain/index.ts";
import { createCause, type FleetView, type VmView } from "../fleet/index.ts";

/** The pool that a VM should be in. */
export interface WantedPool {
  /**
   * The pool, or undefined when the VM has none and no single pool claims it.
   */
  readonly pool: string | undefined;
  /**
   * Pools whose selectors match the VM; it stays where it is unless there is
   * one.
   */
  readonly claiming: readonly StoredResource<Pool>[];
  /** Spare pool that lends the VM; undefined when it is not on loan. */
  readonly loanedFrom: string | undefined;
  readonly causes: readonly DecisionCause[];
}

/**
 * Finds the pool that a VM should be in.
 *
 * @param view - The fleet as it stands.
 * @param vm - The VM.
 * @returns The pool of the one selector that claims it, or the pool that it is
 * lent to; the present pool when none or several selectors claim it.
 */
export function findWantedPool(view: FleetView, vm: VmView): WantedPool {
  const claiming = view.claims.list(vm.vm.resource);
  const causes = [
    createCause(vm.vm, "labels", JSON.stringify(vm.vm.resource.labels)),
    ...claiming.map((pool) =>
      createCause(
        pool,
        "vmSelector",
        JSON.stringify(pool.resource.vmSelector),
      )
    ),
  ];
  const [only] = claiming;
  if (only === undefined || claiming.length > 1) {
    return { pool: vm.pool, claiming, loanedFrom: undefined, causes };
  }
  const loan = findLoan(view, vm.assignment, only.resource);
  return loan === undefined
    ? { pool: only.resource.name, claiming, loanedFrom: undefined, causes }
    : { pool: loan, claiming, loanedFrom: only.resource.name, causes };
}

// A loan lasts while labels still place the VM in the spare pool that lends it
// and the pool that borrows it exists.
function findLoan(
  view: FleetView,
  assignment: VmAssignment | undefined,
  home: Pool,
): string | undefined {
  if (assignment?.loanedFrom !== home.name || !home.spare) {
    return undefined;
  }
  const borrower = assignment.phase === "serving"
    ? assignment.pool
    : assignment.targetPool ?? assignment.pool;
  const isDeclared = view.findPool(borrower) !== undefined;
  return isDeclared && borrower !== home.name ? borrower : undefined;
}
