/** Port for the platform that runs VMs and tasks. */
import type { Result } from "true-myth";
import * as v from "valibot";
import type { Failure } from "../domain/index.ts";

/** Schema of {@link PlatformTask}. */
export const platformTaskSchema = v.object({
  taskId: v.string(),
  vm: v.string(),
  team: v.string(),
  queue: v.string(),
  priority: v.number(),
  checkpointable: v.boolean(),
  usedCores: v.number(),
  usedMemoryMb: v.number(),
  /** Time for which the task has run, in milliseconds. */
  runMs: v.optional(v.number(), 0),
});

/** A task running on a VM, with its last reported usage. */
export type PlatformTask = v.InferOutput<typeof platformTaskSchema>;

/** Schema of {@link PlatformVm}. */
export const platformVmSchema = v.object({
  vm: v.string(),
  zone: v.string(),
  rack: v.string(),
  state: v.picklist(["up", "draining", "drained", "rebooting", "down"]),
  bootCount: v.number(),
  runningCount: v.number(),
  coreCount: v.optional(v.number()),
  memoryMb: v.optional(v.number()),
});

/** A VM as the platform reports it. */
export type PlatformVm = v.InferOutput<typeof platformVmSchema>;

/** Schema of {@link TaskAction}. */
export const taskActionSchema = v.picklist(["checkpoint", "throttle", "stop"]);

/** Action of the platform on a task. */
export type TaskAction = v.InferOutput<typeof taskActionSchema>;

/** Commands to the platform. Repeating an operation id has no second effect. */
export interface Platform {
  /** Lists the VMs of the fleet. */
  listVms(): Promise<Result<readonly PlatformVm[], Failure>>;
  /** Lists running tasks with their usage; the usage figures are delayed. */
  listTasks(): Promise<Result<readonly PlatformTask[], Failure>>;
  /** Requests that a VM take no new work and finish its running work. */
  drain(vm: string, operationId: string): Promise<Result<void, Failure>>;
  /** Reboots a VM; refused unless it is drained and runs no work. */
  reboot(vm: string, operationId: string): Promise<Result<void, Failure>>;
  /** Allows a VM to take new work again. */
  undrain(vm: string, operationId: string): Promise<Result<void, Failure>>;
  /** Checkpoints, throttles or stops a task. */
  actOnTask(
    taskId: string,
    action: TaskAction,
    operationId: string,
  ): Promise<Result<void, Failure>>;
}
