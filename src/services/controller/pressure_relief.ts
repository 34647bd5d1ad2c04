/** Relieves overloaded VMs; records each action before it is taken. */
import {
  canEverRun,
  type LearnedSize,
  type PressureAction,
  type PressurePolicy,
  UsageLearner,
} from "../../decisions/index.ts";
import type { DecisionRecord } from "../../domain/index.ts";
import type { PlatformTask, PlatformVm } from "../../ports/index.ts";
import type { ControllerOptions, Observation } from "./controller_options.ts";
import type { NoticeLog } from "./notice_log.ts";

/** Learns the sizes of tasks and acts on tasks that overload their VM. */
export class PressureRelief {
  readonly learner = new UsageLearner();
  readonly #options: ControllerOptions;
  readonly #policy: PressurePolicy;
  readonly #notices: NoticeLog;
  /** Recorded actions that the platform has not confirmed, by operation id. */
  readonly #unconfirmed = new Map<string, PressureAction>();

  constructor(
    options: ControllerOptions,
    policy: PressurePolicy,
    notices: NoticeLog,
  ) {
    this.#options = options;
    this.#policy = policy;
    this.#notices = notices;
  }

  /**
   * Learns task sizes from a report and relieves the overloaded VMs.
   *
   * @param observation - What the platform reported.
   */
  async relieve(observation: Observation): Promise<void> {
    const { view, tasks, tasksByVm } = observation;
    const { state } = this.#options.agreement;
    this.learner.record(tasks);
    const vms = view.list().map(({ platform }) => platform)
      .filter((platform) => platform !== undefined);
    this.#reportNeverRunnable(observation, vms);
    const actions = this.#policy.decide({
      vms,
      tasksByVm,
      findShare: (team) => state.find("team", team)?.resource.share ?? 1,
      monotonicMs: this.#options.clock.monotonicMs(),
    });
    for (const action of actions) {
      await this.#write(action);
    }
    await this.#actOnUnconfirmed(tasks);
  }

  /**
   * Discards the actions that are not confirmed; needed after leadership was
   * lost, because what they were recorded for may be over.
   */
  discardUnconfirmed(): void {
    this.#unconfirmed.clear();
  }

  #reportNeverRunnable(
    { tasks }: Observation,
    vms: readonly PlatformVm[],
  ): void {
    const workloads = new Map(
      tasks.map(({ team, queue }) => [`${team} ${queue}`, { team, queue }]),
    );
    for (const { team, queue } of workloads.values()) {
      const size = this.learner.findSize(team, queue);
      if (size !== undefined && !canEverRun(size, vms)) {
        this.#reportTooLarge(team, queue, size);
      }
    }
  }

  #reportTooLarge(team: string, queue: string, size: LearnedSize): void {
    this.#notices.report({
      key: `team/${team} queue/${queue} size`,
      reason: "larger than every VM",
      subjects: [`team/${team}`, `queue/${queue}`],
      summary:
        `work of team/${team} on queue/${queue} can never run: its reported usage is larger than every VM`,
      causes: [],
      figures: {
        coreCount: size.coreCount,
        memoryMb: size.memoryMb,
        sampleCount: size.sampleCount,
      },
    });
  }

  async #write(decided: PressureAction): Promise<void> {
    const { agreement, logger, random } = this.#options;
    const operationId = `task-${random.nextId()}`;
    const record = this.#createRecord(decided, operationId);
    const written = await agreement.propose({
      type: "record",
      records: [record],
    });
    if (written.isOk) {
      this.#unconfirmed.set(operationId, decided);
    } else {
      const { taskId } = decided.task;
      logger.info(
        { taskId, failure: written.error },
        "failed to record an action on a task; the action is not taken",
      );
    }
  }

  // Repeats the request under the same id until the platform confirms it or the
  // task ends.
  async #actOnUnconfirmed(tasks: readonly PlatformTask[]): Promise<void> {
    const running = new Set(tasks.map(({ taskId }) => taskId));
    for (const [operationId, { task, action }] of this.#unconfirmed) {
      const acted = running.has(task.taskId)
        ? await this.#options.platform.actOnTask(
          task.taskId,
          action,
          operationId,
        )
        : undefined;
      if (acted === undefined || acted.isOk) {
        this.#unconfirmed.delete(operationId);
      }
    }
  }

  #createRecord(
    { task, action, usedRatio, coresPerShare }: PressureAction,
    operationId: string,
  ): DecisionRecord {
    const { agreement, clock } = this.#options;
    return {
      decisionId: operationId,
      atMs: clock.nowMs(),
      action,
      subjects: [
        `vm/${task.vm}`,
        `team/${task.team}`,
        `queue/${task.queue}`,
      ],
      summary:
        `${action} of task ${task.taskId} of team/${task.team}: the tasks of vm/${task.vm} need more than it has`,
      revision: agreement.state.revision,
      causes: [],
      figures: { usedRatio, coresPerShare, priority: task.priority },
      rejected: action === "stop" && task.checkpointable
        ? ["waiting longer after the checkpoint"]
        : [],
      count: 1,
    };
  }
}
