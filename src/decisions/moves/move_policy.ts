/** Plans capacity moves: spare pools lend VMs to pools with high demand. */
import type { FleetView, VmView } from "../fleet/index.ts";
import type { RequestedAction } from "./requested_action.ts";

/**
 * Window in which capacity moves count towards their limit, in milliseconds.
 */
export const MOVE_BOUND_WINDOW_MS = 3_600_000;
/** Prefix of the action ids of capacity moves. */
export const CAPACITY_ACTION_PREFIX = "capacity.";

/** Busy slots and all slots of a pool. */
export interface PoolDemand {
  readonly pool: string;
  readonly busySlotCount: number;
  readonly slotCount: number;
}

/** Input of {@link MovePolicy.decide}. */
export interface MoveInput {
  readonly view: FleetView;
  readonly demand: readonly PoolDemand[];
  /** Wall-clock time, which times of decision records are compared with. */
  readonly nowMs: number;
  /** Monotonic time, for measuring how long demand stays high or low. */
  readonly monotonicMs: number;
}

/** Decides which VMs spare pools lend, and which ones return to them. */
export interface MovePolicy {
  /**
   * Decides on capacity moves. Budgets are checked afterwards.
   *
   * @param input - The fleet and its demand.
   * @returns The requested moves, the most urgent first.
   */
  decide(input: MoveInput): RequestedAction[];
}

/** Thresholds at which pools borrow and return VMs. */
export interface MoveThresholds {
  /** Share of busy slots above which a pool borrows a VM. */
  readonly borrowAboveRatio: number;
  /** Share of busy slots below which a pool returns a borrowed VM. */
  readonly returnBelowRatio: number;
  /**
   * Share of a spare pool's VMs that is not lent, for overflow during peaks.
   */
  readonly reserveRatio: number;
}

/**
 * Default thresholds, far enough apart that a VM is not borrowed and returned
 * in turn.
 */
export const DEFAULT_THRESHOLDS: MoveThresholds = {
  borrowAboveRatio: 0.85,
  returnBelowRatio: 0.5,
  reserveRatio: 0,
};

/** A pool whose demand is beyond a threshold, and what it needs to do. */
export interface MoveNeed {
  readonly direction: "borrow" | "return";
  readonly demand: PoolDemand;
  readonly busyRatio: number;
}

/**
 * Finds the pools whose demand is beyond a threshold now.
 *
 * @param input - The fleet and its demand.
 * @param thresholds - When pools borrow and return VMs.
 * @returns One need for each such pool, the busiest first.
 */
export function findNeeds(
  input: MoveInput,
  thresholds: MoveThresholds,
): MoveNeed[] {
  const needs: MoveNeed[] = [];
  for (const demand of input.demand) {
    const pool = input.view.findPool(demand.pool)?.resource;
    if (pool === undefined || pool.spare || demand.slotCount === 0) {
      continue;
    }
    const busyRatio = demand.busySlotCount / demand.slotCount;
    if (busyRatio > thresholds.borrowAboveRatio) {
      needs.push({ direction: "borrow", demand, busyRatio });
    } else if (
      busyRatio < thresholds.returnBelowRatio &&
      findLoanedVm(input.view, demand.pool) !== undefined
    ) {
      needs.push({ direction: "return", demand, busyRatio });
    }
  }
  return needs.sort((left, right) => right.busyRatio - left.busyRatio);
}

/**
 * Creates the move for a need.
 *
 * @param input - The fleet and its demand.
 * @param need - The pool that borrows or returns a VM.
 * @param reserveRatio - Share of a spare pool's VMs that is not lent.
 * @returns The move, or undefined when the pool's last capacity move is under
 * way or no VM is available.
 */
export function createCapacityMove(
  input: MoveInput,
  need: MoveNeed,
  reserveRatio: number,
): RequestedAction | undefined {
  const { view } = input;
  const { pool } = need.demand;
  if (isMoveUnderWay(view, pool)) {
    return undefined;
  }
  const isBorrow = need.direction === "borrow";
  const vm = isBorrow
    ? findSpareVm(input, pool, reserveRatio)
    : findLoanedVm(view, pool);
  const home = isBorrow ? vm?.pool : vm?.assignment?.loanedFrom;
  if (vm === undefined || home === undefined) {
    return undefined;
  }
  const targetPool = isBorrow ? pool : home;
  return {
    vm,
    purpose: "capacity",
    actionId: `${CAPACITY_ACTION_PREFIX}${pool}`,
    targetPool,
    loanedFrom: home,
    summary: isBorrow
      ? `vm/${vm.name} is lent from spare pool/${home} to pool/${pool}, whose demand stays high`
      : `vm/${vm.name} returns from pool/${pool} to spare pool/${home}, because demand has fallen`,
    causes: [],
    figures: {
      busyRatio: need.busyRatio,
      busySlotCount: need.demand.busySlotCount,
      slotCount: need.demand.slotCount,
    },
    rejected: [],
  };
}

/**
 * Counts the recent capacity moves of all controllers.
 *
 * @param input - The fleet with its decision records.
 * @returns Number of moves started within {@link MOVE_BOUND_WINDOW_MS}.
 */
export function countRecentMoves({ view, nowMs }: MoveInput): number {
  const oldestMs = nowMs - MOVE_BOUND_WINDOW_MS;
  return view.state.listRecords().filter((record) =>
    record.action === "move" && record.atMs > oldestMs &&
    record.subjects.some((subject) =>
      subject.startsWith(`action/${CAPACITY_ACTION_PREFIX}`)
    )
  ).length;
}

function isMoveUnderWay(view: FleetView, pool: string): boolean {
  return view.state.listAssignments().some((assignment) =>
    assignment.phase !== "serving" && assignment.purpose === "capacity" &&
    assignment.actionId === `${CAPACITY_ACTION_PREFIX}${pool}`
  );
}

// Prefers a VM in the zone where the borrower has the fewest VMs, so that the
// borrower is spread over zones.
function findSpareVm(
  input: MoveInput,
  borrower: string,
  reserveRatio: number,
): VmView | undefined {
  const { view } = input;
  const zoneCounts = new Map<string, number>();
  for (const { vm } of view.listPool(borrower)) {
    const count = zoneCounts.get(vm.resource.zone) ?? 0;
    zoneCounts.set(vm.resource.zone, count + 1);
  }
  const candidates = view.state.list("pool")
    .filter(({ resource }) => resource.spare)
    .filter(({ resource }) => isLendable(input, resource.name, reserveRatio))
    .flatMap(({ resource }) => view.listPool(resource.name))
    .filter(({ outage, assignment }) =>
      outage === undefined && assignment?.phase === "serving"
    );
  const count = ({ vm }: VmView) => zoneCounts.get(vm.resource.zone) ?? 0;
  return candidates.sort((left, right) => count(left) - count(right))[0];
}

// A busy spare pool lends no VM, so that capacity remains for its own work and
// for the overflow of short peaks.
function isLendable(
  { view, demand }: MoveInput,
  pool: string,
  reserveRatio: number,
): boolean {
  const own = demand.find((candidate) => candidate.pool === pool);
  const isBusy = own !== undefined && own.slotCount > 0 &&
    own.busySlotCount / own.slotCount >= DEFAULT_THRESHOLDS.borrowAboveRatio;
  const homeCount =
    view.state.list("vm").filter(({ resource }) =>
      view.claims.findDesired(resource)?.resource.name === pool
    ).length;
  const leftCount = view.listPool(pool).length - 1;
  return !isBusy && leftCount >= Math.floor(homeCount * reserveRatio);
}

function findLoanedVm(view: FleetView, pool: string): VmView | undefined {
  return view.listPool(pool).find(({ assignment }) =>
    assignment?.phase === "serving" && assignment.loanedFrom !== undefined
  );
}
