/**
 * Simulates capacity moves: runs a move policy over generated demand, with the
 * decision classes that the daemon uses.
 */
import {
  DomainBudgetPolicy,
  FleetView,
  type MovePolicy,
  type PoolDemand,
  type RequestedAction,
} from "../decisions/index.ts";
import {
  FleetState,
  type Resource,
  type VmAssignment,
} from "../domain/index.ts";
import { computeEntitledSlots } from "./max_min_share.ts";
import type { DemandSeries } from "./move_demand.ts";

const SLOTS_PER_VM = 8;
/** Time that a move keeps a VM out of service. */
const MOVE_MS = 150_000;
const MS_PER_HOUR = 3_600_000;
const START_MS = MS_PER_HOUR;

/** Size of a simulated deployment, which has one pool for each service. */
export interface DeploymentSize {
  readonly zoneCount: number;
  /** Number of VMs in each pool. The last pool is the spare pool. */
  readonly vmCounts: readonly number[];
}

/** Results of one simulation. */
export interface MoveFigures {
  readonly moveCount: number;
  /**
   * Hours that VMs spent out of service for moves, or idle in the spare pool or
   * on loan, summed over all VMs.
   */
  readonly bufferCostVmHours: number;
  /** Shortfall from the weighted max-min shares, as a fraction of them. */
  readonly shareErrorRatio: number;
  /** Served demand as a fraction of all demand. */
  readonly workRatio: number;
}

/** Options of {@link runMovePolicy}. */
export interface MovePolicyRunOptions {
  readonly deployment: DeploymentSize;
  readonly policy: MovePolicy;
  readonly demand: ReadonlyMap<string, DemandSeries>;
  readonly stepCount: number;
  readonly stepMs: number;
}

interface Totals {
  moveCount: number;
  bufferVmMs: number;
  errorSlots: number;
  entitledSlots: number;
  wantedSlots: number;
  servedSlots: number;
}

/**
 * Returns the names of the pools of a deployment.
 *
 * @param deployment - Size of the deployment.
 * @returns Names in the order of {@link DeploymentSize.vmCounts}.
 */
export function listPoolNames({ vmCounts }: DeploymentSize): string[] {
  return vmCounts.map((_, index) => `pool-${index + 1}`);
}

/**
 * Simulates a deployment under a move policy.
 *
 * @param options - Deployment, policy, demand and length.
 * @returns The results of the simulation.
 */
export function runMovePolicy(options: MovePolicyRunOptions): MoveFigures {
  const state = createState(options.deployment);
  const totals: Totals = {
    moveCount: 0,
    bufferVmMs: 0,
    errorSlots: 0,
    entitledSlots: 0,
    wantedSlots: 0,
    servedSlots: 0,
  };
  for (let step = 0; step < options.stepCount; step += 1) {
    const nowMs = START_MS + step * options.stepMs;
    completeMoves(state, nowMs);
    const view = new FleetView(state);
    const demand = serveStep(view, options, step, totals);
    const input = { view, demand, nowMs, monotonicMs: nowMs };
    for (const requestedMove of options.policy.decide(input)) {
      totals.moveCount += Number(startMove(view, requestedMove, nowMs));
    }
  }
  return {
    moveCount: totals.moveCount,
    bufferCostVmHours: totals.bufferVmMs / MS_PER_HOUR,
    shareErrorRatio: totals.errorSlots / totals.entitledSlots,
    workRatio: totals.servedSlots / totals.wantedSlots,
  };
}

// Demand beyond a pool's own slots overflows to free slots of the spare pool.
function serveStep(
  view: FleetView,
  { deployment, demand, stepMs }: MovePolicyRunOptions,
  step: number,
  totals: Totals,
): PoolDemand[] {
  const pools = listPoolNames(deployment).map((pool) => {
    const wantedCount = demand.get(pool)?.[step] ?? 0;
    const slotCount = countServingVms(view, pool) * SLOTS_PER_VM;
    const ownCount = Math.min(wantedCount, slotCount);
    return { pool, wantedCount, slotCount, ownCount };
  });
  const spare = pools.at(-1);
  let freeCount = (spare?.slotCount ?? 0) - (spare?.ownCount ?? 0);
  const totalCount = pools.reduce((sum, pool) => sum + pool.slotCount, 0);
  const claimants = pools.map(({ pool, wantedCount }) => ({
    name: pool,
    share: 1,
    wantedCount,
  }));
  const entitled = computeEntitledSlots(claimants, totalCount);
  for (const { pool, wantedCount, ownCount } of pools) {
    const overflowCount = Math.min(freeCount, wantedCount - ownCount);
    freeCount -= overflowCount;
    const servedCount = ownCount + overflowCount;
    const entitledCount = entitled.get(pool) ?? 0;
    totals.wantedSlots += wantedCount;
    totals.servedSlots += servedCount;
    totals.entitledSlots += entitledCount;
    totals.errorSlots += Math.max(0, entitledCount - servedCount);
  }
  const idleCount = Math.floor(freeCount / SLOTS_PER_VM) +
    countIdleLoanedVms(view, pools);
  totals.bufferVmMs += (countBusyVms(view) + idleCount) * stepMs;
  return pools.map(({ pool, ownCount, slotCount }) => ({
    pool,
    busySlotCount: ownCount,
    slotCount,
  }));
}

function countIdleLoanedVms(
  view: FleetView,
  pools: readonly { pool: string; slotCount: number; ownCount: number }[],
): number {
  return pools.reduce((sum, { pool, slotCount, ownCount }) => {
    const idleCount = Math.floor((slotCount - ownCount) / SLOTS_PER_VM);
    const loanCount = view.listPool(pool).filter(({ assignment }) =>
      assignment?.loanedFrom !== undefined && assignment.phase === "serving"
    ).length;
    return sum + Math.min(idleCount, loanCount);
  }, 0);
}

function countServingVms(view: FleetView, pool: string): number {
  return view.listPool(pool).filter(({ outage }) => outage === undefined)
    .length;
}

function countBusyVms(view: FleetView): number {
  return view.list().filter(({ outage }) => outage === "busy").length;
}

function startMove(
  view: FleetView,
  requestedMove: RequestedAction,
  nowMs: number,
): boolean {
  const vm = view.find(requestedMove.vm.name);
  const isExhausted = vm === undefined ||
    new DomainBudgetPolicy().findExhausted(view, vm) !== undefined;
  if (isExhausted || vm.assignment?.phase !== "serving") {
    return false;
  }
  const operationId = `${vm.name} cordoned ${nowMs}`;
  const applied = view.state.apply({
    type: "assign",
    expectedOperationId: vm.assignment.operationId,
    assignment: {
      ...vm.assignment,
      phase: "cordoned",
      purpose: requestedMove.purpose,
      actionId: requestedMove.actionId,
      targetPool: requestedMove.targetPool,
      loanedFrom: requestedMove.loanedFrom,
      operationId,
      startedAtMs: nowMs,
    },
    record: {
      decisionId: operationId,
      atMs: nowMs,
      action: "move",
      subjects: [`vm/${vm.name}`, `action/${requestedMove.actionId}`],
      summary: requestedMove.summary,
      revision: view.revision,
      causes: [],
      figures: { ...requestedMove.figures },
      rejected: [],
      count: 1,
    },
  });
  view.refresh(vm.name);
  return applied.isOk;
}

function completeMoves(state: FleetState, nowMs: number): void {
  const completed = state.listAssignments().filter(({ phase, startedAtMs }) =>
    phase !== "serving" && nowMs - startedAtMs >= MOVE_MS
  );
  for (const assignment of completed) {
    const pool = assignment.targetPool ?? assignment.pool;
    const isReturned = assignment.loanedFrom === pool;
    updateAssignment(state, assignment, { phase: "draining" });
    updateAssignment(state, assignment, { phase: "rebooting" });
    updateAssignment(state, assignment, { phase: "joining" });
    updateAssignment(state, assignment, {
      phase: "serving",
      pool,
      targetPool: undefined,
      loanedFrom: isReturned ? undefined : assignment.loanedFrom,
    });
  }
}

function updateAssignment(
  state: FleetState,
  { vm }: VmAssignment,
  changes: Partial<VmAssignment>,
): void {
  const current = state.findAssignment(vm);
  if (current !== undefined) {
    const operationId = `${current.operationId} ${changes.phase}`;
    const applied = state.apply({
      type: "assign",
      expectedOperationId: current.operationId,
      assignment: { ...current, ...changes, operationId },
    });
    if (applied.isErr) {
      throw new Error(applied.error.message);
    }
  }
}

function createState({ zoneCount, vmCounts }: DeploymentSize): FleetState {
  const state = new FleetState();
  const puts: Resource[] = vmCounts.flatMap((vmCount, index) => {
    const name = `pool-${index + 1}`;
    const budgets = [{ domain: "pool" as const, maxUnavailableVmCount: 2 }];
    const pool: Resource = {
      kind: "pool",
      name,
      labels: {},
      vmSelector: { pool: [name] },
      spare: index === vmCounts.length - 1,
      budgets,
    };
    const vms = Array.from({ length: vmCount }, (_, number): Resource => ({
      kind: "vm",
      name: `vm-${index + 1}-${number + 1}`,
      labels: { pool: name },
      zone: `zone-${(number % zoneCount) + 1}`,
      rack: "rack-1",
    }));
    return [pool, ...vms];
  });
  const change = {
    operationId: "declare-fleet",
    expectedRevision: 0,
    puts,
    deletes: [],
  };
  state.apply({ type: "change", change, operator: "bench", atMs: 0 });
  for (const { name, pool } of new FleetView(state).list()) {
    const assignment: VmAssignment = {
      vm: name,
      pool: pool ?? "",
      phase: "serving",
      actionId: "adopt",
      operationId: `${name} adopt`,
      startedAtMs: 0,
    };
    state.apply({ type: "assign", assignment });
  }
  return state;
}
