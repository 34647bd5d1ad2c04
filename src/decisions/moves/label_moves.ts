/** Finds the moves that labels of VMs and selectors of pools require. */
import type { FleetView, VmView } from "../fleet/index.ts";
import { findWantedPool, type WantedPool } from "./wanted_pool.ts";
import type { RequestedAction } from "./requested_action.ts";

/** A VM that stays where it is, because no pool or several pools claim it. */
export interface Clash {
  readonly vm: VmView;
  readonly wanted: WantedPool;
}

/** Moves and clashes that follow from labels and selectors. */
export interface LabelMoves {
  readonly moves: readonly RequestedAction[];
  readonly clashes: readonly Clash[];
}

/**
 * Compares the pools that VMs are in with those that labels and selectors
 * require.
 *
 * @param view - The fleet as it stands.
 * @returns The requested moves, and the VMs that no single pool claims.
 */
export function findLabelMoves(view: FleetView): LabelMoves {
  const moves: RequestedAction[] = [];
  const clashes: Clash[] = [];
  for (const vm of view.list()) {
    const wanted = findWantedPool(view, vm);
    if (wanted.claiming.length !== 1) {
      clashes.push({ vm, wanted });
    } else if (isMisplaced(vm, wanted)) {
      moves.push(createMove(vm, wanted));
    }
  }
  return { moves, clashes };
}

/**
 * Describes why no single pool claims a VM.
 *
 * @param clash - The VM and the pools that claim it.
 * @returns A text that names the pools and says where the VM stays.
 */
export function describeClash({ vm, wanted }: Clash): string {
  const names = wanted.claiming.map(({ resource }) => `pool/${resource.name}`);
  const where = vm.pool === undefined
    ? "it has no pool"
    : `it stays in pool/${vm.pool}`;
  const who = names.length === 0
    ? "no pool's selector claims"
    : `the selectors of ${names.join(" and ")} all claim`;
  return `${who} vm/${vm.name}; ${where}`;
}

function isMisplaced(vm: VmView, wanted: WantedPool): boolean {
  return vm.assignment?.phase === "serving" && wanted.pool !== vm.pool;
}

function createMove(vm: VmView, wanted: WantedPool): RequestedAction {
  const newest = Math.max(...wanted.causes.map(({ revision }) => revision));
  return {
    vm,
    purpose: "move",
    // All moves that follow from one change belong to one wave.
    actionId: `move.r${newest}`,
    targetPool: wanted.pool,
    loanedFrom: undefined,
    summary: `vm/${vm.name} moves from pool/${vm.pool} to pool/${wanted.pool}`,
    causes: wanted.causes,
    figures: {},
    rejected: [],
  };
}
