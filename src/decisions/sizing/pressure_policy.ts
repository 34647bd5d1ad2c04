/** Relieves VMs whose running tasks use nearly all cores or memory. */
import type {
  PlatformTask,
  PlatformVm,
  TaskAction,
} from "../../ports/index.ts";

/** Maximum share of a VM's cores or memory that its tasks may use. */
export const MAX_USED_RATIO = 0.9;
/**
 * Time until the reported usage, which lags behind, shows the effect of an
 * action, in milliseconds.
 */
export const ESCALATION_MS = 30_000;
const MAX_REMEMBERED_COUNT = 10_000;

/** Input of {@link PressurePolicy.decide}. */
export interface PressureInput {
  readonly vms: readonly PlatformVm[];
  readonly tasksByVm: ReadonlyMap<string, readonly PlatformTask[]>;
  /** Returns the share (weight) of a team. */
  readonly findShare: (team: string) => number;
  readonly monotonicMs: number;
}

/** An action on one task, with its figures. */
export interface PressureAction {
  readonly task: PlatformTask;
  readonly action: TaskAction;
  readonly usedRatio: number;
  /** Cores that the team uses in the whole fleet, divided by its share. */
  readonly coresPerShare: number;
}

/** Decides which tasks are slowed down or stopped on overloaded VMs. */
export interface PressurePolicy {
  /**
   * Decides which tasks are throttled, checkpointed or stopped.
   *
   * @param input - VMs and tasks with their usage.
   * @returns At most one action for each overloaded VM.
   */
  decide(input: PressureInput): PressureAction[];
}

interface RememberedAction {
  readonly action: TaskAction;
  readonly atMs: number;
}

/**
 * Throttles a task, then checkpoints it if it can be, then stops it. Tasks with
 * the lowest priority come first. Among tasks of the same priority, those of
 * the team that uses the most cores for its share come first.
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
