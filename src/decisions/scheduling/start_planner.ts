/** Plans on which runners the waiting tasks start. */
import {
  addAmounts,
  type Amounts,
  fitsInto,
  indexTeams,
  isWithinLimit,
  type JobRecord,
  type JobTeam,
  type Runner,
  type RunnerIncarnation,
  type SchedulingState,
  type TaskId,
  type TaskRecord,
} from "../../domain/index.ts";
import { type FleetRoom, measureFleetRoom } from "./fleet_room.ts";
import { listGangCandidates } from "./gang_candidates.ts";
import type { OrderPolicy } from "./order_policy.ts";
import {
  allocate,
  createDemand,
  type MutableDemand,
} from "./placement_demand.ts";
import type {
  Candidate,
  PlacementPolicy,
  PlacementTrust,
} from "./placement_policy.ts";
import { createTrust, mustWiden } from "./placement_trust.ts";
import { listReadySteps, type ReadyStep } from "./ready_step.ts";
import { RunnerReservations } from "./runner_reservations.ts";

/** A planned start of a task on a runner. */
export interface PlannedStart extends RunnerIncarnation {
  readonly task: TaskId;
  readonly runNumber: number;
}

/** Options of {@link StartPlanner}. */
export interface StartPlannerOptions {
  readonly order: OrderPolicy;
  readonly placement: PlacementPolicy;
}

/** Input of {@link StartPlanner.plan}. */
export interface PlanInput {
  readonly state: SchedulingState;
  /** Runners that may get work, by pool. */
  readonly candidates: ReadonlyMap<string, readonly Candidate[]>;
  /** Finds the ids of runners that may run a step; undefined when any may. */
  readonly findApproved: (step: ReadyStep) => ReadonlySet<string> | undefined;
  /** A job that is not stored, planned as if it were. */
  readonly preview?: JobRecord;
  /** Wall-clock time, in milliseconds. */
  readonly nowMs: number;
}

interface PlanningRound {
  readonly input: PlanInput;
  readonly teams: ReadonlyMap<string, JobTeam>;
  readonly usedByTeam: Map<string, Amounts>;
  readonly starts: PlannedStart[];
  /**
   * By pool, amounts that fit on no runner, so that larger ones are skipped.
   */
  readonly unplaceableByPool: Map<string, Amounts>;
}

/** Maximum number of starts in one plan, which bounds the time of planning. */
const MAX_PLANNED_STARTS = 400;

/** Assigns runners to waiting tasks, step by step in the policy's order. */
export class StartPlanner {
  readonly #order: OrderPolicy;
  readonly #placement: PlacementPolicy;
  readonly #reservations = new RunnerReservations();

  constructor({ order, placement }: StartPlannerOptions) {
    this.#order = order;
    this.#placement = placement;
  }

  /**
   * Plans starts within the limits of runners and teams.
   *
   * @param input - State, runners and time; the candidates are changed.
   * @returns The tasks to start; a gang is included whole or not at all.
   */
  plan(input: PlanInput): PlannedStart[] {
    const { state, nowMs } = input;
    const ready = listReadySteps(state.jobs, state.catalog, nowMs);
    if (input.preview !== undefined) {
      const open = [input.preview];
      ready.push(...listReadySteps({ open }, state.catalog, nowMs));
    }
    const round: PlanningRound = {
      input,
      teams: indexTeams(state.catalog).byId,
      usedByTeam: new Map(),
      starts: [],
      unplaceableByPool: new Map(),
    };
    const room = measureRoom(input, ready);
    for (const step of this.#order.sort(ready, nowMs, room)) {
      if (round.starts.length >= MAX_PLANNED_STARTS) {
        break;
      }
      if (step.step.isGang) {
        this.#planGang(step, round);
      } else {
        this.#planTasks(step, round);
      }
    }
    return round.starts;
  }

  #planTasks(ready: ReadyStep, round: PlanningRound): void {
    const demand = this.#createDemand(ready, round);
    const unplaceable = round.unplaceableByPool.get(ready.pool);
    if (unplaceable !== undefined && fitsInto(unplaceable, demand.held)) {
      return;
    }
    const candidates = round.input.candidates.get(ready.pool) ?? [];
    for (const [index, task] of ready.record.tasks.entries()) {
      if (task.state !== "waiting") {
        continue;
      }
      if (!isWithinTeamLimit(ready, round, 1)) {
        return;
      }
      const chosen = this.#choose(ready, candidates, demand, [task], round);
      if (chosen === undefined) {
        if (ready.step.isEndless) {
          const { nowMs } = round.input;
          this.#reservations.reserveRoomiest(candidates, demand, nowMs);
        }
        // Others of the step may go where this one has failed.
        if (task.failedOn !== undefined) {
          continue;
        }
        const isOpen = ({ free, probe }: Candidate) =>
          probe !== "waits" && fitsInto(demand.held, free);
        if (!candidates.some(isOpen)) {
          round.unplaceableByPool.set(ready.pool, demand.held);
        }
        return;
      }
      this.#allocateFor(ready, demand, chosen, round);
      round.starts.push(createStart(ready, index, task.runNumber + 1, chosen));
    }
  }

  #choose(
    ready: ReadyStep,
    candidates: readonly Candidate[],
    demand: MutableDemand,
    tasks: readonly TaskRecord[],
    { input: { nowMs } }: PlanningRound,
  ): Candidate | undefined {
    const trust = createTrust(ready, tasks);
    demand.trust = trust;
    const chosen = this.#placement.choose(candidates, demand);
    if (
      chosen !== undefined ||
      !mustWiden(ready, demand, candidates, tasks, nowMs)
    ) {
      return chosen;
    }
    demand.trust = { ...trust, hasNoOther: true };
    return this.#placement.choose(candidates, demand);
  }

  // Places all members or none: a part of a gang would only occupy capacity
  // while it waits for the others.
  #planGang(ready: ReadyStep, round: PlanningRound): void {
    const { tasks, waitingCount } = ready.record;
    if (
      waitingCount < tasks.length ||
      !isWithinTeamLimit(ready, round, tasks.length)
    ) {
      return;
    }
    const candidates = round.input.candidates.get(ready.pool) ?? [];
    const trust = createTrust(ready, tasks);
    for (const group of listGangCandidates(ready, candidates)) {
      if (this.#placeGang(ready, group, trust, round)) {
        return;
      }
    }
    const demand = { ...this.#createDemand(ready, round), trust };
    const { nowMs } = round.input;
    if (mustWiden(ready, demand, candidates, tasks, nowMs)) {
      const widened = { ...trust, hasNoOther: true };
      this.#placeGang(ready, candidates, widened, round);
    }
  }

  #placeGang(
    ready: ReadyStep,
    group: readonly Candidate[],
    trust: PlacementTrust,
    round: PlanningRound,
  ): boolean {
    const demand = { ...this.#createDemand(ready, round), trust };
    const trial = group.map((candidate) => ({ ...candidate }));
    const chosen: Candidate[] = [];
    for (const _task of ready.record.tasks) {
      const candidate = this.#placement.choose(trial, demand);
      if (candidate === undefined) {
        return false;
      }
      allocate(candidate, demand);
      chosen.push(candidate);
    }
    const runNumber = 1 +
      Math.max(...ready.record.tasks.map((task) => task.runNumber));
    const real = this.#createDemand(ready, round);
    chosen.forEach((copy, index) => {
      const candidate = group.find(({ runnerId }) =>
        runnerId === copy.runnerId
      );
      if (candidate !== undefined) {
        this.#allocateFor(ready, real, candidate, round);
        round.starts.push(createStart(ready, index, runNumber, candidate));
      }
    });
    return true;
  }

  #createDemand(ready: ReadyStep, { input }: PlanningRound): MutableDemand {
    return createDemand(ready, input.findApproved(ready));
  }

  #allocateFor(
    ready: ReadyStep,
    demand: MutableDemand,
    chosen: Candidate,
    round: PlanningRound,
  ): void {
    allocate(chosen, demand);
    const { team } = ready.job;
    if (team !== undefined) {
      const used = findTeamUsage(team, round);
      round.usedByTeam.set(team, addAmounts(used, ready.step.needs));
    }
  }
}

function measureRoom(
  { state, candidates, nowMs }: PlanInput,
  ready: readonly ReadyStep[],
): FleetRoom {
  const pools = new Set(ready.map(({ pool }) => pool));
  const openIds = new Set<string>();
  for (const pool of pools) {
    candidates.get(pool)?.forEach(({ runnerId }) => openIds.add(runnerId));
  }
  const mayPlaceOn = ({ runnerId }: Runner) => openIds.has(runnerId);
  return measureFleetRoom({ state, pools, mayPlaceOn, nowMs });
}

function isWithinTeamLimit(
  ready: ReadyStep,
  round: PlanningRound,
  count: number,
): boolean {
  const { team } = ready.job;
  const limit = team === undefined ? undefined : round.teams.get(team)?.limit;
  if (team === undefined || limit === undefined) {
    return true;
  }
  const used = addAmounts(findTeamUsage(team, round), ready.step.needs, count);
  return isWithinLimit(used, limit);
}

function findTeamUsage(team: string, round: PlanningRound): Amounts {
  return round.usedByTeam.get(team) ??
    round.input.state.jobs.findUsedByTeam(team);
}

function createStart(
  ready: ReadyStep,
  index: number,
  runNumber: number,
  { runnerId, bornAtMs }: Candidate,
): PlannedStart {
  return {
    task: {
      jobId: ready.job.spec.jobId,
      occurrence: ready.occurrence,
      step: ready.stepIndex,
      index,
    },
    runNumber,
    runnerId,
    bornAtMs,
  };
}
