/** Relief of VMs whose running tasks need more than the VM has. */
import type {
  PlatformTask,
  PlatformVm,
  TaskAction,
} from "../../ports/index.ts";

/** Share of a VM's cores and memory that its tasks may use. */
export const MAX_USED_RATIO = 0.9;
/** Time that an action gets to show in the lagging usage, in milliseconds. */
export const ESCALATION_MS = 30_000;
const MAX_REMEMBERED_COUNT = 10_000;

/** What a pressure policy looks at. */
export interface PressureInput {
  readonly vms: readonly PlatformVm[];
  readonly tasksByVm: ReadonlyMap<string, readonly PlatformTask[]>;
  /** Share (weight) of each team. */
  readonly findShare: (team: string) => number;
  readonly monotonicMs: number;
}

/** An action on one task, with the figures that led to it. */
export interface PressureAction {
  readonly task: PlatformTask;
  readonly action: TaskAction;
  readonly usedRatio: number;
  /** Cores that the team uses in the fleet for each unit of its share. */
  readonly coresPerShare: number;
}

/** Decides which tasks make room. */
export interface PressurePolicy {
  /**
   * Decides which tasks are throttled, checkpointed or stopped.
   *
   * @param input - VMs and tasks with their usage.
   * @returns At most one action for each VM under pressure.
   */
  decide(input: PressureInput): PressureAction[];
}

interface RememberedAction {
  readonly action: TaskAction;
  readonly atMs: number;
}

/**
 * Throttles, then checkpoints, then stops: the lowest priority first, and
 * within it the team that is furthest over its share.
 */
export class EscalatingPressurePolicy implements PressurePolicy {
  readonly #last = new Map<string, RememberedAction>();

  decide(input: PressureInput): PressureAction[] {
    const usedByTeam = sumCoresByTeam(input);
    const actions: PressureAction[] = [];
    for (const vm of input.vms) {
      const tasks = input.tasksByVm.get(vm.vm) ?? [];
      const usedRatio = findUsedRatio(vm, tasks);
      if (usedRatio > MAX_USED_RATIO) {
        const ranked = rankVictims(tasks, usedByTeam, input);
        const action = this.#choose(ranked, usedRatio, input.monotonicMs);
        actions.push(...action);
      }
    }
    this.#forgetOldest();
    return actions;
  }

  #choose(
    ranked: readonly Victim[],
    usedRatio: number,
    nowMs: number,
  ): PressureAction[] {
    const isWaiting = ranked.some(({ task }) => {
      const last = this.#last.get(task.taskId);
      return last !== undefined && nowMs - last.atMs < ESCALATION_MS;
    });
    if (isWaiting) {
      return [];
    }
    for (const { task, coresPerShare } of ranked) {
      const action = findNextAction(task, this.#last.get(task.taskId)?.action);
      if (action !== undefined) {
        this.#last.set(task.taskId, { action, atMs: nowMs });
        return [{ task, action, usedRatio, coresPerShare }];
      }
    }
    return [];
  }

  #forgetOldest(): void {
    for (const taskId of this.#last.keys()) {
      if (this.#last.size <= MAX_REMEMBERED_COUNT) {
        return;
      }
      this.#last.delete(taskId);
    }
  }
}

interface Victim {
  readonly task: PlatformTask;
  readonly coresPerShare: number;
}

function rankVictims(
  tasks: readonly PlatformTask[],
  usedByTeam: ReadonlyMap<string, number>,
  input: PressureInput,
): Victim[] {
  return tasks
    .map((task) => ({
      task,
      coresPerShare: (usedByTeam.get(task.team) ?? 0) /
        Math.max(input.findShare(task.team), Number.EPSILON),
    }))
    .sort((left, right) =>
      left.task.priority - right.task.priority ||
      right.coresPerShare - left.coresPerShare ||
      right.task.usedCores - left.task.usedCores
    );
}

function findNextAction(
  task: PlatformTask,
  last: TaskAction | undefined,
): TaskAction | undefined {
  switch (last) {
    case undefined:
      return "throttle";
    case "throttle":
      return task.checkpointable ? "checkpoint" : "stop";
    case "checkpoint":
      return "stop";
    case "stop":
      return undefined;
  }
}

function findUsedRatio(
  { coreCount = Infinity, memoryMb = Infinity }: PlatformVm,
  tasks: readonly PlatformTask[],
): number {
  const usedCores = tasks.reduce((sum, task) => sum + task.usedCores, 0);
  const usedMb = tasks.reduce((sum, task) => sum + task.usedMemoryMb, 0);
  return Math.max(usedCores / coreCount, usedMb / memoryMb);
}

function sumCoresByTeam({ tasksByVm }: PressureInput): Map<string, number> {
  const used = new Map<string, number>();
  for (const task of [...tasksByVm.values()].flat()) {
    used.set(task.team, (used.get(task.team) ?? 0) + task.usedCores);
  }
  return used;
}
