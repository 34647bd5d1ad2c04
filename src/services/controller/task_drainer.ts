/**
 * Drains tasks from a VM: checkpoints them, waits for them to end, and stops
 * them only when the maintenance action carries the force label.
 */
import { createCause, type VmView } from "../../decisions/index.ts";
import type {
  Maintenance,
  StoredResource,
  VmAssignment,
} from "../../domain/index.ts";
import type { PlatformTask, TaskAction } from "../../ports/index.ts";
import type { ControllerOptions, Observation } from "./controller_options.ts";
import type { NoticeLog } from "./notice_log.ts";

/** Drain deadline when no maintenance action declares one, in milliseconds. */
export const DEFAULT_DRAIN_DEADLINE_MS = 600_000;
/** Label of a maintenance action that allows stopping running tasks. */
export const FORCE_LABEL = "force";
const FORCE_VALUE = "true";

/** Checkpoints and, where allowed, stops the tasks of a draining VM. */
export class TaskDrainer {
  readonly #options: ControllerOptions;
  readonly #notices: NoticeLog;

  constructor(options: ControllerOptions, notices: NoticeLog) {
    this.#options = options;
    this.#notices = notices;
  }

  /**
   * Checkpoints the tasks of a VM. After the drain deadline, stops them or
   * reports that they still run.
   *
   * @param vm - The draining VM.
   * @param assignment - The current step of the VM.
   * @param observation - What the platform reported.
   * @param maintenance - The maintenance action behind the drain, if any.
   */
  async drain(
    vm: VmView,
    assignment: VmAssignment,
    observation: Observation,
    maintenance: StoredResource<Maintenance> | undefined,
  ): Promise<void> {
    const tasks = observation.tasksByVm.get(vm.name) ?? [];
    for (const task of tasks.filter(({ checkpointable }) => checkpointable)) {
      await this.#act(task, "checkpoint", assignment);
    }
    const runningCount = Math.max(
      tasks.length,
      vm.platform?.runningCount ?? 0,
      this.#options.countRunningRequests(vm.name),
    );
    const drainedForMs = this.#options.clock.nowMs() - assignment.startedAtMs;
    const deadlineMs = maintenance?.resource.drainDeadlineMs ??
      DEFAULT_DRAIN_DEADLINE_MS;
    if (runningCount === 0 || drainedForMs < deadlineMs) {
      return;
    }
    if (maintenance?.resource.labels[FORCE_LABEL] === FORCE_VALUE) {
      await this.#stop(tasks, assignment, maintenance);
      return;
    }
    this.#reportMissedDeadline(vm, assignment, maintenance, {
      runningCount,
      deadlineMs,
    });
  }

  async #stop(
    tasks: readonly PlatformTask[],
    assignment: VmAssignment,
    maintenance: StoredResource<Maintenance>,
  ): Promise<void> {
    for (const task of tasks) {
      await this.#act(task, "stop", assignment, maintenance);
    }
  }

  async #act(
    task: PlatformTask,
    action: TaskAction,
    assignment: VmAssignment,
    maintenance?: StoredResource<Maintenance>,
  ): Promise<void> {
    // The id is derived from the step, so that repeating the action has no
    // further effect.
    const operationId = `${assignment.operationId}.${task.taskId}.${action}`;
    await this.#options.platform.actOnTask(task.taskId, action, operationId);
    const subject = `vm/${assignment.vm}`;
    const verb = action === "stop" ? "stopped" : "checkpointed";
    this.#notices.report({
      key: operationId,
      reason: action,
      action,
      subjects: [subject, `team/${task.team}`, `action/${assignment.actionId}`],
      summary:
        `task ${task.taskId} of team/${task.team} is ${verb}, because ${subject} drains`,
      causes: maintenance === undefined
        ? []
        : [createCause(maintenance, `labels.${FORCE_LABEL}`, FORCE_VALUE)],
    });
  }

  #reportMissedDeadline(
    vm: VmView,
    assignment: VmAssignment,
    maintenance: StoredResource<Maintenance> | undefined,
    figures: Readonly<Record<string, number>>,
  ): void {
    this.#notices.report({
      key: `vm/${vm.name} drain`,
      reason: assignment.operationId,
      subjects: [
        `vm/${vm.name}`,
        `pool/${assignment.pool}`,
        `action/${assignment.actionId}`,
      ],
      summary:
        `vm/${vm.name} is still running work after its drain deadline; the action is held until the work ends`,
      causes: maintenance === undefined ? [] : [
        createCause(
          maintenance,
          "drainDeadlineMs",
          String(maintenance.resource.drainDeadlineMs),
        ),
      ],
      figures,
      rejected: [
        `stopping the work: the action does not carry the label ${FORCE_LABEL}=${FORCE_VALUE}`,
      ],
    });
  }
}
